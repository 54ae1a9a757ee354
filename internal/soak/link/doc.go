// Package link passes TCP connections on to a target and harms them on demand: it delays, resets, silences or cuts them.
package link
