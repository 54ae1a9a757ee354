// Package steer implements the entry host on the platform: it replicates the store, gossips with its peers and forwards
// requests directly to upstreams.
package steer
