// Package balance chooses the upstream for a request by the latencies and failures of the daemon's own requests.
package balance
