// Package membership decides which daemons of a failure domain hold shares, by a lease from the domain's leaseholder and by views that change in two steps.
package membership
