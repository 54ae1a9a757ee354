// Package caller is a stand-in for callers: it looks up entry hosts, caches the answers and sends requests at fixed rates.
package caller
