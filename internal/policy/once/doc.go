// Package once stores idempotency keys, so that a request that its caller sends again doesn't run twice.
package once
