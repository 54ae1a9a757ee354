// Package mirror keeps a copy of the store's entries, which daemons update from the store or from each other.
package mirror
