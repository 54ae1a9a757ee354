// Package configuration applies numbered patches to the configuration and validates every version as a whole before it is
// committed.
package configuration
