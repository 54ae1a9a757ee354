// Package receipt writes refusals as short signed strings that any daemon with the key can read back.
package receipt
