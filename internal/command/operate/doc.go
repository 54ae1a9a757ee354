// Package operate implements the operators' commands: those that call a daemon's operator API, and the log trace.
package operate
