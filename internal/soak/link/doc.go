// Package link is a TCP proxy with fault injection: it delays, stalls, resets or blackholes the connections to a
// target.
package link
