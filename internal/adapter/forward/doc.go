// Package forward prepares the heads of messages that pass through a daemon.
package forward
