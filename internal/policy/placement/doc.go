// Package placement chooses the upstream of a request by affinity, load and distance, and refuses what none can serve in time.
package placement
