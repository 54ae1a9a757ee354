// Package caller simulates callers. It looks up entry hosts, caches the results and sends requests at fixed mean rates.
package caller
