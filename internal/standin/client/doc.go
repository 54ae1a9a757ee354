// Package client sends requests as the platform's clients do: on kept connections, by the directory's answers, some without patience.
package client
