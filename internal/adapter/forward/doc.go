// Package forward prepares the headers and URLs of HTTP messages that a daemon forwards.
package forward
