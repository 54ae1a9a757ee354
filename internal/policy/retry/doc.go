// Package retry limits the extra load that retries may cause.
package retry
