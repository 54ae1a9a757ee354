// Package instance is a stand-in for a server of the platform that records what it runs and fails on demand.
package instance
