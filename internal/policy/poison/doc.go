// Package poison detects requests that crash the upstreams that run them, by the fingerprints of the requests.
package poison
