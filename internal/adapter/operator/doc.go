// Package operator implements the operator API, which offers the operations of a daemon as JSON over HTTP, and its client.
package operator
