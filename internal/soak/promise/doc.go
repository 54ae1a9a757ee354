// Package promise checks the guarantees of the system during a run, from the requests that callers send and servers
// receive.
package promise
