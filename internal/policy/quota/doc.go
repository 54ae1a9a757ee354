// Package quota divides a limit among the daemons entitled to it, and lends idle share for short leases.
package quota
