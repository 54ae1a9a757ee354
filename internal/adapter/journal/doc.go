// Package journal writes log lines asynchronously, so that a slow output never blocks the code that logs.
package journal
