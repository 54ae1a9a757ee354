// Package pacing decides when bytes may be put on a capped link, urgent work first.
package pacing
