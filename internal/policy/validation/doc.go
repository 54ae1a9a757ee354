// Package validation finds contradictions and entries without effect in a configuration, and compares two versions of it.
package validation
