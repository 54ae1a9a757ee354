// Package site runs daemons of the platform in one process, with stand-ins for the store and the servers.
package site
