// Package soak implements the command that runs daemons as processes under random faults and checks the invariants.
package soak
