package membership

import "github.com/daisygap/daisygap"

// newer tells whether a view replaces another one.
func newer(view, other daisygap.View) bool {
	if view.Epoch != other.Epoch {
		return view.Epoch > other.Epoch
	}
	return view.Seq > other.Seq
}

// Timing holds the spans that the safety of the leases rests on.
type Timing struct {
	// Lease is the length of a member's lease; it outlasts the take-over of a failed leaseholder.
	Lease daisygap.Millis
	// MaxRequestTime is the longest time that a request may still run after its daemon's lease has lapsed.
	MaxRequestTime daisygap.Millis
}
