// Package store simulates the platform's key-value service in memory, with faults that tests can enable.
package store
