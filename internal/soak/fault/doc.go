// Package fault runs daemons as separate processes against a simulated store, simulated servers and simulated callers,
// and injects faults from the outside. A seed determines the sequence of the faults.
package fault
