// Package caller sends requests as callers do: on kept connections, by the directory's answers, some without patience.
package caller
