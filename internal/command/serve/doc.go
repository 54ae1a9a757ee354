// Package serve runs the daemon.
package serve
