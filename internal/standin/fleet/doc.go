// Package fleet runs a store, upstreams and daemons in one process on loopback addresses, for the demo and for
// end-to-end tests.
package fleet
