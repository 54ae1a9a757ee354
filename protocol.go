package daisygap

import "net/http"

// RequestHead is what the head of a request says to the steering decisions.
type RequestHead struct {
	ID string
	// AffinityKey is the affinity key of what the request concerns, or "".
	AffinityKey string
	// Timeout is how long the caller waits; HasLeft tells whether it said so.
	Timeout    Millis
	HasTimeout bool
}

// AttemptHead is what an upstream is told beside the request itself.
type AttemptHead struct {
	// Instance is the only one that may run the request.
	Instance string
	TimeLeft Millis
}

// LoadReport is an upstream's own count of requests.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseHead is what the head of an upstream's answer says.
type ResponseHead struct {
	// ID is the request that the upstream answers.
	ID string
	// NotExecuted tells that the upstream did not run the request and won't.
	NotExecuted bool
	// Misdirected tells that another instance has the address.
	Misdirected bool
	// HasStamp tells that the answer carries the upstream's proof of origin.
	HasStamp bool
	// Encoded tells that the body is not as the upstream made it.
	Encoded bool
	// Load is nil when the answer carries no report.
	Load *LoadReport
}

// Protocol translates between the steering decisions and the heads of HTTP messages.
type Protocol interface {
	ReadRequestHead(r *http.Request) RequestHead
	WriteAttemptHead(h http.Header, o AttemptHead)
	ReadResponseHead(res *http.Response) ResponseHead
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter(h http.Header, after Millis)
}

// Directory answers callers that ask for entry hosts, and the platform's checks.
type Directory interface {
	// EntryHosts returns the addresses for a caller of a region and domain, best first.
	EntryHosts(region, domain string) []string
	// Ready tells whether the daemon takes callers.
	Ready() bool
}
