// Package port finds loopback addresses that stay free while their owner restarts.
package port
