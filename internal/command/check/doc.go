// Package check reads settings and configuration files and reports what is wrong in them.
package check
