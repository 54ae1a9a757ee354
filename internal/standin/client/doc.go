// Package client simulates callers of the platform. They resolve daemons through the directory, reuse connections, and
// some cancel requests early.
package client
