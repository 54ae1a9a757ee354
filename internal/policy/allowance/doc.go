// Package allowance limits the rate of each customer's requests over all daemons together. Each daemon has a Limiter, which admits and
// counts requests, a Relay, which sums the reports of a group of daemons, and a Ledger with the buckets of the customers whose slots the
// daemon coordinates. See docs/design/allowances.md.
package allowance
