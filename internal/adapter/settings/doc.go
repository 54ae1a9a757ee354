// Package settings reads a daemon's settings file and checks it.
package settings
