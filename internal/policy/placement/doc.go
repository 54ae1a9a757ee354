// Package placement chooses the upstream of a request by affinity, load and distance, and refuses requests that no upstream
// can serve in time.
package placement
