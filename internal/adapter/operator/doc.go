// Package operator offers the operations of a daemon over HTTP and JSON, and calls them for the command line.
package operator
