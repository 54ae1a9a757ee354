// Package configuration applies numbered patches to the configuration and checks every version in full before it is committed.
package configuration
