package daisygap

import "fmt"

// Reason is the reason for which a request was refused.
type Reason string

// Reasons, as written in responses, receipts, metrics and totals.
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
	ReasonSlow            Reason = "slow"
	ReasonStopping        Reason = "stopping"
	ReasonMemoryFull      Reason = "memory_full"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonOverAllowance   Reason = "over_allowance"
	ReasonForbiddenRegion Reason = "forbidden_region"
)

// RunState states whether a refused request may have been run by an upstream.
type RunState string

// Run states.
const (
	NotRun     RunState = "no"
	RunUnknown RunState = "unknown"
)

// RefusalMetrics are the measurements that led to a refusal.
type RefusalMetrics struct {
	Queued  int `json:"queued"`
	Running int `json:"running"`
	Limit   int `json:"limit"`
	// Wait is the estimated time in the queue, and TimeLeft the time until the request's deadline.
	Wait     Millis `json:"wait"`
	TimeLeft Millis `json:"left"`
}

// Refusal is a refused request with the data that explains the refusal.
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

// Error returns the reason and the run state.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (run: %s)", r.Reason, r.Run)
}
