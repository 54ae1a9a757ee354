package steer

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// eventRate is the maximum number of log lines per second for one kind of event; lines over the rate are only counted.
const eventRate = 20

var (
	droppedEvents      = metrics.NewCounter(`daisygap_events_over_rate_total`)
	departuresByAnswer = metrics.NewCounter(`daisygap_upstreams_leaving_total{source="answer"}`)
	departuresByStore  = metrics.NewCounter(`daisygap_upstreams_leaving_total{source="store"}`)
	coldRequests       = metrics.NewCounter(`daisygap_cold_requests_total`)
	pausesBegun        = metrics.NewCounter(`daisygap_upstream_pauses_total`)
)

// eventLimits limits the rate of log lines for each kind of event.
type eventLimits struct {
	mu     sync.Mutex
	counts map[string]eventCount
}

type eventCount struct {
	second daisygap.Millis
	lines  int
}

// allow reports whether a line of a kind may be written. For the first line of a kind in a new second, suppressed is the
// number of lines dropped in the last second that had any.
func (l *eventLimits) allow(kind string, now daisygap.Millis) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]eventCount)
	}
	c := l.counts[kind]
	if second := now / 1_000; c.second != second {
		suppressed = max(0, c.lines-eventRate)
		c = eventCount{second: second}
	}
	c.lines++
	l.counts[kind] = c
	return c.lines <= eventRate, suppressed
}

// event logs an event unless the rate limit of its kind is exceeded. It logs the number of suppressed lines with the next
// event of the kind in a later second.
func (d *Daemon) event(name, kind string, fields func() daisygap.Fields) {
	allowed, suppressed := d.events.allow(kind, d.Clock.Now())
	if suppressed > 0 {
		d.Log.Event("events suppressed", daisygap.Fields{"of": name, "kind": kind, "lines": suppressed})
	}
	if !allowed {
		droppedEvents.Inc()
		return
	}
	d.Log.Event(name, fields())
}

// maxRankLabel is the priority from which on requests share a histogram, since customers may have many different ones.
const maxRankLabel = 99

// logDelivered records the latency of a delivered response and logs the response. Late and failed ones count as separate
// kinds of events, so that the rate limit for ordinary ones doesn't suppress them.
func (e *exchange) logDelivered(a *attempt) {
	took := e.d.Clock.Now() - e.started
	metrics.GetOrCreateHistogram(fmt.Sprintf(`daisygap_request_seconds{rank="%d",repeat="%t"}`, min(max(e.route.Priority, 0), maxRankLabel), e.route.Idempotent)).Update(took.Duration().Seconds())
	kind := "answer"
	if took > e.route.TargetLatency {
		kind = "late answer"
	}
	if a.res.StatusCode >= http.StatusInternalServerError {
		kind = "failed answer"
	}
	e.d.event(kind, kind, func() daisygap.Fields {
		f := e.fields(a)
		f["status"], f["took_ms"] = a.res.StatusCode, took
		return f
	})
}

func (e *exchange) logRefusal(status int, reason daisygap.Reason, run daisygap.RunState, c placement.Choice) {
	if e.customer != nil {
		customerUsage.AddRefusal(e.customer.Name)
	}
	e.d.event("refusal", string(reason), func() daisygap.Fields {
		f := e.fields(nil)
		f["status"], f["reason"], f["run"], f["verdict"] = status, reason, run, c.Verdict
		if c.PassedOver > 0 {
			f["passed_over"] = c.PassedOver
		}
		if reason == daisygap.ReasonUnknownKey {
			f["key_sent"] = e.head.Key != ""
		}
		if reason == daisygap.ReasonPoisoned {
			f["fingerprint"] = formatFingerprint(e.fingerprint)
		}
		f["load"], f["load_age_ms"], f["wait_ms"], f["retry_ms"], f["took_ms"] = c.Load, c.ReportAge, int(c.Wait), c.RetryAfter, e.d.Clock.Now()-e.started
		return f
	})
}

func (e *exchange) logFailedAttempt(a *attempt) {
	e.d.event("offer failed", "offer failed "+string(a.reason), func() daisygap.Fields {
		f := e.fields(a)
		f["reason"] = a.reason
		if a.broken {
			f["fingerprint"] = formatFingerprint(e.fingerprint)
		}
		return f
	})
}

func (e *exchange) logRetry(a *attempt, reason daisygap.Reason) {
	e.d.event("retry", "retry "+string(reason), func() daisygap.Fields {
		f := e.fields(a)
		f["reason"] = reason
		return f
	})
}

// sourceAnswer is the source of what an upstream announced in its response to this daemon.
const sourceAnswer = "answer"

// logNotice logs that an upstream's response began its departure or a pause, or changed its rate.
func (e *exchange) logNotice(u *placement.Upstream, n placement.Notice) {
	fields := func() daisygap.Fields {
		return daisygap.Fields{"id": e.head.ID, "upstream": u.ID, "run": u.StartTime, "from": sourceAnswer}
	}
	if n.LeavingBegan {
		departuresByAnswer.Inc()
		e.d.event("upstream leaving", "upstream leaving", fields)
	}
	if n.Rate != nil {
		e.d.logRateChange(*n.Rate, sourceAnswer, e.head.ID)
	}
	if n.PauseBegan {
		pausesBegun.Inc()
		e.d.event("upstream paused", "upstream paused", func() daisygap.Fields {
			f := fields()
			f["pause_ms"] = n.PausedFor
			return f
		})
	}
}

func (e *exchange) logEnd(kind string, a *attempt) {
	e.d.event(kind, kind, func() daisygap.Fields { return e.fields(a) })
}

// fields returns the log fields that describe the request and, if a isn't nil, the attempt.
func (e *exchange) fields(a *attempt) daisygap.Fields {
	f := daisygap.Fields{"id": e.head.ID, "offers": e.possibleRuns, "unreached": e.unreachable}
	if e.snapshot != nil {
		f["version"], f["revision"] = e.snapshot.config.Version, e.d.revision()
	}
	if e.route != nil {
		f["route"] = e.route.Name
	}
	if e.pool != "" {
		f["pool"], f["left_ms"] = e.pool, e.deadline-e.d.Clock.Now()
	}
	if e.customer != nil {
		f["customer"] = e.customer.Name
	}
	if a != nil {
		if a.choice.PassedOver > 0 {
			f["passed_over"] = a.choice.PassedOver
		}
		if e.permitRequests > 0 {
			f["permits"] = e.permitRequests
		}
		f["upstream"], f["verdict"], f["load"], f["load_age_ms"], f["offer_ms"] = a.choice.Upstream.ID, a.choice.Verdict, a.choice.Load, a.choice.ReportAge, a.duration
		if a.err != nil {
			f["error"] = a.err.Error()
		}
	}
	return f
}
