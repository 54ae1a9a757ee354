// Package mirror keeps a copy of the store's entries that daemons feed from the store or from each other.
package mirror
