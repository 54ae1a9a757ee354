// Package membership decides which daemons of a failure domain hold shares of its limits. Each member needs a lease from the
// domain's leaseholder, and the member list (the view) changes in two steps, so that shares in use never exceed a limit.
package membership
