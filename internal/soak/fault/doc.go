// Package fault runs daemons as processes between stand-ins, and brings about faults from outside them by a seed.
package fault
