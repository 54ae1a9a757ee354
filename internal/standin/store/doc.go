// Package store is a small in-memory stand-in for the platform's key-value service, with faults that tests switch on.
package store
