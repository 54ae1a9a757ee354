// Package peer implements the protocol between daemons, which is JSON-RPC 2.0 over TCP or TLS.
package peer
