// Package routing chooses the domain that serves a request and precomputes the answers to look-ups.
package routing
