package daisygap

import (
	"context"
	"encoding/json"
	"errors"
)

// ErrStoreUnreachable is returned when the store could not be reached and nothing was written.
var ErrStoreUnreachable = errors.New("the store can't be reached, nothing was changed; try again later")

// ErrOutcomeUnknown is returned when the outcome of a write to the store is unknown, so that the version may or may not
// be committed. It is safe to send the patch again with the same ID.
var ErrOutcomeUnknown = errors.New("the store did not confirm whether the patch was committed; send it again with the same --id")

// StaleError is returned when a patch was written against an older version than the current one.
// PatchesSince holds the patches after that version.
type StaleError struct {
	Base         uint64  `json:"base"`
	Current      uint64  `json:"current"`
	PatchesSince []Patch `json:"since"`
}

// Error states that nothing was changed.
func (e *StaleError) Error() string {
	return "the patch was written against an older version, nothing was changed"
}

// MemberStatus is the status of a daemon from the view of its domain's leaseholder.
type MemberStatus struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	Leaving bool   `json:"leaving"`
	// Age is the time since the daemon's last heartbeat.
	Age           Millis `json:"age"`
	IsLeaseholder bool   `json:"holder"`
}

// MemberList is the reply to a query for the members of a domain. If Members is empty, the query should be sent to
// LeaseholderAddress instead.
type MemberList struct {
	Members            []MemberStatus `json:"list,omitempty"`
	LeaseholderAddress string         `json:"holder,omitempty"`
}

// DomainStatus is the status of a domain from the view of one daemon.
type DomainStatus struct {
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Hosts are the entry hosts that accept new work.
	Hosts   []string           `json:"hosts"`
	Lost    bool               `json:"lost"`
	Drained bool               `json:"drained"`
	Loads   map[string]Load    `json:"loads"`
	Offload map[string]float64 `json:"give,omitempty"`
	// DrainTimeLeft is the estimated time until a drained domain receives no new work. It is 0 if the time is unknown or
	// the drain is complete.
	DrainTimeLeft Millis `json:"left,omitempty"`
}

// UpstreamStatus is the status of an upstream from the view of one daemon of its domain.
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

// Status is the state of one daemon, and its view of the domains and upstreams.
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

// Operations is the interface of a daemon for operators.
type Operations interface {
	Status() Status
	Ready() bool
	// Document returns the current configuration version and its JSON document with the signing keys masked.
	Document() (version uint64, document json.RawMessage, err error)
	// History returns the patches after a version, and whether older ones among them have been dropped.
	History(ctx context.Context, since uint64) (patches []Patch, truncated bool, err error)
	// Commit writes a patch as the next version, at most once for each patch ID. The error is a StaleError, a FieldError,
	// ErrStoreUnreachable or ErrOutcomeUnknown.
	Commit(ctx context.Context, base uint64, p Patch) (version uint64, err error)
	// Members queries all domains for their daemons, and returns the names of the domains that could not be reached.
	Members(ctx context.Context) (list []MemberStatus, missing []string)
	// Explain decodes the receipt of a refused request.
	Explain(receipt string) (*Refusal, error)
	// RefusalTotals sums the refusals of all domains, and returns the names of those that could not be reached.
	RefusalTotals(ctx context.Context) (totals []RefusalTotal, missing []string)
	// Lookup returns the answer that a caller at an address would get for a kind.
	Lookup(address, kind string) (json.RawMessage, error)
}
