// Package daisygap defines the data types, clock and interfaces that the packages of the traffic steering system share.
package daisygap
