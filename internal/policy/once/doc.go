// Package once remembers idempotency keys, so that a request that its caller sends again isn't run twice.
package once
