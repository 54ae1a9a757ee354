// Package roster decides from gossip heartbeats which daemons are alive.
package roster
