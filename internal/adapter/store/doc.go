// Package store speaks to the platform's key-value service over HTTP and JSON.
package store
