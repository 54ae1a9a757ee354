// Package load is the command that sends requests at fixed rates and measures what becomes of them.
package load
