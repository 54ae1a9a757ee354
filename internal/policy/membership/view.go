package membership

import "github.com/daisygap/daisygap"

// newer reports whether a view replaces another one.
func newer(view, other daisygap.View) bool {
	if view.Epoch != other.Epoch {
		return view.Epoch > other.Epoch
	}
	return view.Seq > other.Seq
}

// Timing holds the durations that the safety of the leases depends on.
type Timing struct {
	// Lease is the length of a member's lease. It is longer than the takeover from a failed leaseholder takes, so that members
	// keep their leases in the meantime.
	Lease daisygap.Millis
	// MaxRequestTime is the longest time that a request may run after its daemon's lease has expired.
	MaxRequestTime daisygap.Millis
}
