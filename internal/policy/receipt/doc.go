// Package receipt encodes refusals as short signed strings that any daemon with the signing key can verify and decode.
package receipt
