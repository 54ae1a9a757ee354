// Package process runs daemons as separate processes. It sends signals only to processes that it started.
package process
