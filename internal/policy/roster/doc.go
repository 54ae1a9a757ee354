// Package roster decides from heartbeats which daemons are alive.
package roster
