package daisygap

import "net/http"

// RequestHead is the part of a request's headers that steering decisions depend on.
type RequestHead struct {
	ID string
	// AffinityKey identifies the object that the request concerns. It is "" if the request names none.
	AffinityKey string
	// Timeout is how long the caller waits. HasTimeout reports whether the request states it.
	Timeout    Millis
	HasTimeout bool
	// Key is the customer's key, or "" if the request has no usable one.
	Key CustomerKey
}

// AttemptHead is what a daemon adds to the headers of a request that it sends to an upstream.
type AttemptHead struct {
	// Instance is the ID of the only instance that may run the request.
	Instance string
	TimeLeft Millis
	// NeedsKeys reports whether the configuration has customers, so that the caller's key must be removed. Customer is the name of the
	// customer, or "" if the request belongs to none.
	NeedsKeys bool
	Customer  string
}

// LoadReport is an upstream's own count of its requests and slots.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes on the upstream's machine at the moment, relative to the usual time. It is 0 if the
	// upstream doesn't report it.
	Slowness float64
}

// ResponseHead is the part of an upstream's response headers that steering decisions depend on.
type ResponseHead struct {
	// ID is the ID of the request that the upstream responds to.
	ID string
	// NotExecuted reports whether the upstream guarantees that it did not and will not run the request.
	NotExecuted bool
	// Misdirected reports whether the address now belongs to another instance.
	Misdirected bool
	// HasStamp reports whether the response carries the stamp that proves its origin.
	HasStamp bool
	// Encoded reports whether the body was altered by a content encoding on its way from the upstream.
	Encoded bool
	// Load is nil if the response carries no load report.
	Load *LoadReport
	// Leaving reports whether the upstream is about to stop and wants no new work.
	Leaving bool
	// Pause is how long the upstream wants no request from this daemon, or 0.
	Pause Millis
	// NamesRate reports whether the upstream limits the requests per second that it takes from all daemons together to Rate.
	NamesRate bool
	Rate      float64
	// RateUnknown reports whether the response has an invalid rate, which neither sets nor ends a limit.
	RateUnknown bool
	// Malformed is a header with an invalid value, which is otherwise ignored, or "".
	Malformed string
}

// StatusHead is the part of the headers of a response to a status check that steering decisions depend on.
type StatusHead struct {
	// Instance is the ID of the instance that responded, or "".
	Instance string
	// KnowsCold reports whether the response names the time for which the instance is still cold, which is Cold.
	KnowsCold bool
	Cold      Millis
}

// Protocol reads and writes the HTTP headers that steering decisions depend on.
type Protocol interface {
	ReadRequestHead(r *http.Request) RequestHead
	WriteAttemptHead(h http.Header, o AttemptHead)
	ReadResponseHead(res *http.Response) ResponseHead
	ReadStatusHead(res *http.Response) StatusHead
	// HideUpstreamHead removes the headers that an upstream means for the daemon alone from a response to a caller.
	HideUpstreamHead(h http.Header)
	// WriteRetryAfter sets the time after which the caller should retry.
	WriteRetryAfter(h http.Header, after Millis)
}

// Directory answers callers that look up entry hosts, and the readiness checks of the platform.
type Directory interface {
	// EntryHosts returns the entry host addresses for a caller in a region and domain, best first.
	EntryHosts(region, domain string) []string
	// Ready reports whether the daemon accepts callers.
	Ready() bool
}

// IsFinalStatus reports whether a status is that of a final response. Others are no response: net/http can't send those below 100, and
// callers may wait for more after the rest.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}
