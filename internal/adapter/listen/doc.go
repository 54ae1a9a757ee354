// Package listen protects the listeners of a daemon from faulty handlers and from clients that nobody controls.
package listen
