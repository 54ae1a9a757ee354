// Package operate holds the operators' commands, which call a daemon's operator face.
package operate
