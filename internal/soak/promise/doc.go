// Package promise checks while a run goes on what callers and upstreams of the system see.
package promise
