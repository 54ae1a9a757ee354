// Package run registers all commands and runs the one that the arguments name.
package run
