// Package fleet starts a store, upstreams and daemons in one process on loopback, for the demo and for tests of whole paths.
package fleet
