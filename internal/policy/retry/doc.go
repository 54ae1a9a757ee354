// Package retry bounds how much extra work retries may cause.
package retry
