// Package term holds what the commands share towards the terminal: exit codes, tables and JSON.
package term
