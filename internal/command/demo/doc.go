// Package demo runs a whole deployment in one process on loopback and shows a flood, a drain and a patch.
package demo
