// Package pacing decides when bytes may be written to a rate-limited link, urgent writes first.
package pacing
