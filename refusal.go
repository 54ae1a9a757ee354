package daisygap

import "fmt"

// Reason says why a request was refused.
type Reason string

// The reasons, as they stand in answers, receipts, metrics and totals.
const (
	ReasonQueueFull       Reason = "queue_full"
	ReasonDeadline        Reason = "deadline"
	ReasonExpired         Reason = "expired"
	ReasonCancelled       Reason = "cancelled"
	ReasonLinkFull        Reason = "link_full"
	ReasonNoCapacity      Reason = "no_capacity"
	ReasonNotAllowed      Reason = "not_allowed"
	ReasonFenced          Reason = "fenced"
	ReasonDraining        Reason = "draining"
	ReasonPoisoned        Reason = "poisoned"
	ReasonDuplicate       Reason = "duplicate"
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonUnknownKind     Reason = "unknown_kind"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonUnreachable     Reason = "unreachable"
	ReasonUpstreamFailed  Reason = "upstream_failed"
	ReasonUpstreamShed    Reason = "upstream_shed"
)

// RunState tells whether a refused request may have been run by an upstream.
type RunState string

// The two run states.
const (
	NotRun     RunState = "no"
	RunUnknown RunState = "unknown"
)

// RefusalMetrics are the measures that a refusal was decided on.
type RefusalMetrics struct {
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
	Limit    int    `json:"limit"`
	Wait     Millis `json:"wait"`
	TimeLeft Millis `json:"left"`
}

// Refusal is one request turned away, with all that explains it.
type Refusal struct {
	Reason     Reason         `json:"reason"`
	Run        RunState       `json:"run"`
	ID         string         `json:"id"`
	Kind       string         `json:"kind"`
	Rank       Rank           `json:"rank"`
	Host       string         `json:"host"`
	Domain     string         `json:"domain"`
	Version    uint64         `json:"version"`
	Time       Millis         `json:"time"`
	RetryAfter Millis         `json:"retry"`
	Metrics    RefusalMetrics `json:"figures"`
}

// Error returns the reason and whether the request was run.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (run: %s)", r.Reason, r.Run)
}
