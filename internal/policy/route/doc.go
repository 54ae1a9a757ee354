// Package route finds the route of a request by its host and the longest path prefix.
package route
