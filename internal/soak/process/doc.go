// Package process runs daemons as processes of their own, and signals only those that it started.
package process
