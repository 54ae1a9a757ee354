package daisygap

import "net/http"

// Call is what the head of a request says to the steering decisions.
type Call struct {
	ID string
	// Object is the affinity key of what the request concerns, or "".
	Object string
	// Left is how long the caller waits; HasLeft tells whether it said so.
	Left    Millis
	HasLeft bool
}

// Offer is what an upstream is told beside the request itself.
type Offer struct {
	// Instance is the only one that may run the request.
	Instance string
	Left     Millis
}

// LoadReport is an upstream's own count of requests.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	// ID is the request that the upstream answers.
	ID string
	// NotRun tells that the upstream did not run the request and won't.
	NotRun bool
	// Misdirected tells that another instance has the address.
	Misdirected bool
	// Sealed tells that the answer carries the upstream's proof of origin.
	Sealed bool
	// Encoded tells that the body is not as the upstream made it.
	Encoded bool
	// Load is nil when the answer carries no report.
	Load *LoadReport
}

// Protocol translates between the steering decisions and the heads of HTTP messages.
type Protocol interface {
	ReadCall(r *http.Request) Call
	WriteOffer(h http.Header, o Offer)
	ReadAnswer(res *http.Response) Answer
	// WriteRetry tells a caller when to come back.
	WriteRetry(h http.Header, after Millis)
}

// Directory answers callers that ask for entry hosts, and the platform's checks.
type Directory interface {
	// EntryHosts returns the addresses for a caller of a region and domain, best first.
	EntryHosts(region, domain string) []string
	// Ready tells whether the daemon takes callers.
	Ready() bool
}
