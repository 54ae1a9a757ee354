// Package upstream admits requests to the slots of upstream servers and carries them there over HTTP.
package upstream
