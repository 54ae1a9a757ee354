// Package check implements the command that validates settings and configuration files.
package check
