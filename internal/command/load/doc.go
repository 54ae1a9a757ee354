// Package load implements the command that sends requests at fixed rates and measures their outcomes and latencies.
package load
