package daisygap

import (
	"context"
	"encoding/json"
	"errors"
)

// ErrStoreUnreachable is returned when the store can't be reached before anything was written.
var ErrStoreUnreachable = errors.New("the store can't be reached, nothing was changed; try again later")

// ErrOutcomeUnknown is returned when the store doesn't tell whether a version was committed; the same patch ID may be sent again.
var ErrOutcomeUnknown = errors.New("the store doesn't say whether the patch was committed; send it again with the same --id")

// StaleError is returned when a patch was written against an older version; Since holds what changed after it.
type StaleError struct {
	Base         uint64  `json:"base"`
	Current      uint64  `json:"current"`
	PatchesSince []Patch `json:"since"`
}

// Error says that nothing was applied.
func (e *StaleError) Error() string {
	return "the patch was written against an older version, nothing was changed"
}

// MemberStatus is one daemon as its domain's leaseholder knows it.
type MemberStatus struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving"`
	// Age is the time since its last heartbeat.
	Age           Millis `json:"age"`
	IsLeaseholder bool   `json:"holder"`
}

// MemberList answers the question for a domain's members; Holder is the address to ask instead when List is empty.
type MemberList struct {
	Members            []MemberStatus `json:"list,omitempty"`
	LeaseholderAddress string         `json:"holder,omitempty"`
}

// DomainStatus is one domain as a daemon knows it.
type DomainStatus struct {
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Hosts are the entry hosts that take new work.
	Hosts   []string           `json:"hosts"`
	Lost    bool               `json:"lost"`
	Drained bool               `json:"drained"`
	Loads   map[string]Load    `json:"loads"`
	Offload map[string]float64 `json:"give,omitempty"`
	// DrainTimeLeft estimates the time until a domain under drain gets no new work; 0 when it isn't known or over.
	DrainTimeLeft Millis `json:"left,omitempty"`
}

// UpstreamStatus is one upstream as a daemon of its domain sees it.
type UpstreamStatus struct {
	Name     string `json:"name"`
	Group    string `json:"group"`
	Slots    int    `json:"slots"`
	Share    int    `json:"share"`
	Lent     int    `json:"lent"`
	Borrowed int    `json:"borrowed"`
	Running  int    `json:"running"`
	Drained  bool   `json:"drained"`
}

// Status is what one daemon knows.
type Status struct {
	Host          string           `json:"host"`
	Domain        string           `json:"domain"`
	Region        string           `json:"region"`
	Version       uint64           `json:"version"`
	Ready         bool             `json:"ready"`
	Leased        bool             `json:"leased"`
	IsLeaseholder bool             `json:"holder"`
	Stopping      bool             `json:"stopping"`
	InFlight      int64            `json:"in_flight"`
	View          View             `json:"view"`
	Domains       []DomainStatus   `json:"domains"`
	Upstreams     []UpstreamStatus `json:"upstreams"`
}

// Operations is what a daemon does for operators.
type Operations interface {
	Status() Status
	Ready() bool
	// Document returns the version in force and its JSON; signing keys are masked.
	Document() (version uint64, document json.RawMessage, err error)
	// History returns the patches after a version; far tells that older ones are no longer kept.
	History(ctx context.Context, since uint64) (patches []Patch, far bool, err error)
	// Commit makes a patch the next version, once for its ID; the error is a Stale, a FieldError, ErrNoStore or ErrOutcomeUnknown.
	Commit(ctx context.Context, base uint64, p Patch) (version uint64, err error)
	// Members asks all domains for their daemons, and names the domains that could not be reached.
	Members(ctx context.Context) (list []MemberStatus, missing []string)
	// Explain reads a receipt.
	Explain(receipt string) (*Refusal, error)
	// RefusalTotals sums refusals, and names what could not be reached.
	RefusalTotals(ctx context.Context) (totals []RefusalTotal, missing []string)
	// Lookup answers an operator's look-up question.
	Lookup(address, kind string) (json.RawMessage, error)
}
