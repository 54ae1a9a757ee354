// Package site runs steering daemons of the platform in one process, with a simulated store and simulated servers.
package site
