// Package soak is the command that runs real daemons under random faults and checks what must always hold.
package soak
