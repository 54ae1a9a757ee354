// Package upstream is a small stand-in for an upstream server: slots, service times, cold starts, shedding, drains and crashes.
package upstream
