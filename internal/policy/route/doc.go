// Package route finds the route of a request by its host and longest path prefix, and divides the requests of a route
// among pools.
package route
