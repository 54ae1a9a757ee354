// Package journal writes log lines without ever holding up the one who logs.
package journal
