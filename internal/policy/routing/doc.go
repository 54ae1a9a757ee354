// Package routing chooses the domain that serves a request, and answers lookups of entry hosts.
package routing
