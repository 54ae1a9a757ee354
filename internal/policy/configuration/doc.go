// Package configuration applies numbered patches to the configuration and validates every version as a whole.
package configuration
