// Package steer is the daemon on the platform: it mirrors the store, gossips with its peers and carries requests straight to upstreams.
package steer
