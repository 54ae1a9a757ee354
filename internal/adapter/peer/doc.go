// Package peer speaks jsonrpc2 over TCP between the daemons of the system.
package peer
