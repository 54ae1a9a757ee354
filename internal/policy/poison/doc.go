// Package poison recognises requests that crash the upstreams which run them.
package poison
