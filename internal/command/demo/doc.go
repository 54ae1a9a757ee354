// Package demo implements the command that runs a deployment in one process on loopback and demonstrates overload, a drain
// and a configuration patch, or checks the invariants under random faults.
package demo
