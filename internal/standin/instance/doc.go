// Package instance simulates a server of the platform. It records the requests that it runs and injects faults on
// demand.
package instance
