// Package caller reads callers' HTTP requests and answers look-ups.
package caller
