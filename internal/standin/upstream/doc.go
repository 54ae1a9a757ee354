// Package upstream simulates an upstream server with slots, service times, cold starts, load shedding, draining and
// crashes.
package upstream
