package placement

import "github.com/daisygap/daisygap"

// Result is how a request at an upstream ended.
type Result int

// The results of a request.
const (
	// Answered is a response without a server error.
	Answered Result = iota
	// Failed is a server error, or a response that is invalid or incomplete.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that no connection to the upstream could be established or it timed out.
	Unreachable
	// Misdirected means that another instance answered at the upstream's address.
	Misdirected
	// Canceled means that the request ended early on this side, so it says nothing about the upstream.
	Canceled
)

// Outcome is how a request ended, and what it revealed about its upstream.
type Outcome struct {
	Result Result
	// Refused reports whether the connection to an unreachable upstream was refused, which shows that no process listens.
	Refused bool
	// Rejected reports whether an answer's status is 400 to 499. Such answers are often much faster than the work, so that their time says
	// nothing about the upstream's speed.
	Rejected bool
	// ResponseTime is the time from sending the request to the complete response, or to the start of streaming for a large one.
	ResponseTime daisygap.Millis
	// ConnectTime is the time that opening a connection took, or 0 if one was reused.
	ConnectTime daisygap.Millis
	// Load is the upstream's load report, or nil.
	Load *daisygap.LoadReport
	// Leaving reports whether the upstream said that it is leaving, and Pause is how long it wants no requests in ms, or 0.
	Leaving bool
	Pause   daisygap.Millis
	// KnowsRate reports whether the response says which rate of requests the upstream takes from all daemons together: Rate requests per
	// second if NamesRate is set, or any rate. SentAt is when the request was sent.
	KnowsRate bool
	NamesRate bool
	Rate      float64
	SentAt    daisygap.Millis
}
