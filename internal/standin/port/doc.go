// Package port allocates loopback addresses that stay free while their owner restarts.
package port
