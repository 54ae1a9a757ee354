// Package serve implements the command that runs the daemon.
package serve
