// Package lastgood keeps rows of the previous configuration version in force whose successors could not be decoded.
package lastgood
