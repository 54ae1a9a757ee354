// Package run registers all commands and dispatches to the one named on the command line.
package run
