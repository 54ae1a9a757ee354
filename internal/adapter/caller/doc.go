// Package caller reads HTTP requests from callers and serves look-ups of entry hosts.
package caller
