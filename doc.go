// Package daisygap holds the data, the clock and the interfaces that every part of the traffic steering system shares.
package daisygap
