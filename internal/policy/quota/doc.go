// Package quota divides a limit among the daemons that may use it, and lends unused parts of a daemon's share to other
// daemons for a limited time.
package quota
