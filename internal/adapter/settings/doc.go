// Package settings reads and validates the settings file of a daemon.
package settings
