// Package term holds the terminal input and output that the commands share: arguments, exit codes, tables and JSON.
package term
