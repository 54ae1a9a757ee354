// Package balance chooses the upstream for a request from what the daemon saw of its own requests.
package balance
