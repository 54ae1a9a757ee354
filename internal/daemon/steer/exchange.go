package steer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

const (
	// maxBufferedBody is the largest body in bytes that is held in memory; larger ones are passed through.
	maxBufferedBody = 1 << 20
	// minRemainingTarget is the part of a route's target that must be left for another offer.
	minRemainingTarget = 0.25
	// maxUnreachable is the number of upstreams that may prove unreachable before a request is given up.
	maxUnreachable = 3
)

// exchange is one request on its way through this daemon.
type exchange struct {
	d        *Daemon
	w        http.ResponseWriter
	in       *http.Request
	head     daisygap.RequestHead
	snapshot *snapshot
	// route and pool are set once the request is recognised.
	route *daisygap.Route
	pool  string

	ctx         context.Context
	started     daisygap.Millis
	deadline    daisygap.Millis
	objectHash  uint64
	fingerprint uint64
	// body is the whole body unless rest holds what follows it.
	body     []byte
	bodyRest io.Reader

	tried map[*placement.Upstream]bool
	// possibleRuns counts the upstreams that may have run the request, and unreached those that had no connection.
	possibleRuns int
	unreachable  int
	// repeats counts the reached after the first.
	reached int
	// lastReason is why the last offer failed.
	lastReason daisygap.Reason
	// fallback is an upstream's failure that is delivered when no other upstream does better.
	fallback *attempt
}

// ServeCaller carries a request of a caller.
func (d *Daemon) ServeCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	d.inFlightCount.Add(1)
	defer func() {
		d.inFlightCount.Add(-1)
		d.inFlight.Done()
	}()
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{d: d, w: w, in: r, head: d.Protocol.ReadRequestHead(r), snapshot: d.snapshot.Load(), started: d.Clock.Now()}
	if !e.matchRoute() || !e.readBody() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (e.deadline - d.Clock.Now()).Duration())
	defer cancel()
	e.ctx = ctx
	d.budgets.deposit(e.pool, e.started)
	e.forward()
}

// matchRoute finds the request's route and deadline, or refuses it.
func (e *exchange) matchRoute() bool {
	if e.snapshot == nil {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonNoConfiguration, placement.Choice{RetryAfter: noConfigurationRetryAfter})
		return false
	}
	if e.head.ID == "" {
		e.refuse(http.StatusBadRequest, daisygap.ReasonBadRequest, placement.Choice{})
		return false
	}
	e.route = e.snapshot.table.Find(e.in.Host, e.in.URL.Path)
	if e.route == nil {
		e.refuse(http.StatusNotFound, daisygap.ReasonUnknownKind, placement.Choice{})
		return false
	}
	if limit := e.snapshot.config.Limits.HeaderBytes; limit > 0 && headerSize(e.in) > limit {
		e.refuse(http.StatusRequestHeaderFieldsTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
		return false
	}
	if limit := e.snapshot.config.Limits.BodyBytes; limit > 0 && e.in.ContentLength > limit {
		e.refuse(http.StatusRequestEntityTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
		return false
	}
	timeout := e.route.Timeout
	if e.head.HasTimeout {
		timeout = min(timeout, e.head.Timeout)
	}
	e.deadline = e.started + timeout
	e.pool = e.d.splitter.Next(e.route)
	e.objectHash = xxhash.Sum64String(e.head.AffinityKey)
	return true
}

// headerSize returns about how many bytes the head of a request took.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// noConfigurationRetryAfter is when a daemon that has just started is expected to know its configuration.
const noConfigurationRetryAfter = daisygap.Millis(300)

// readBody reads the body, so that it can be sent again, or its first part if it is large.
func (e *exchange) readBody() bool {
	if e.in.ContentLength != 0 {
		limit := e.snapshot.config.Limits.BodyBytes
		if limit > 0 {
			e.in.Body = http.MaxBytesReader(e.w, e.in.Body, limit)
		}
		body, err := io.ReadAll(io.LimitReader(e.in.Body, maxBufferedBody+1))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			e.refuse(http.StatusRequestEntityTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
			return false
		case err != nil:
			e.refuse(http.StatusBadRequest, daisygap.ReasonBadRequest, placement.Choice{})
			return false
		}
		e.body = body
		if len(body) > maxBufferedBody {
			e.bodyRest = e.in.Body
		}
	}
	h := xxhash.New()
	for _, field := range []string{e.in.Method, e.in.Host, e.in.URL.RequestURI(), e.head.AffinityKey} {
		_, _ = h.WriteString(field + "\x00")
	}
	_, _ = h.Write(e.body)
	e.fingerprint = h.Sum64()
	if e.d.crashes.blocked(e.fingerprint, e.started) {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonPoisoned, placement.Choice{RetryAfter: poisonRetryAfter})
		return false
	}
	return true
}

// poisonRetryAfter is the advice to the sender of a request that crashed upstreams; no time is soon enough.
const poisonRetryAfter = daisygap.Millis(5_000)

// forward offers the request to upstreams until one answers or it is given up.
func (e *exchange) forward() {
	e.tried = make(map[*placement.Upstream]bool)
	for {
		c, ok := e.chooseUpstream()
		if !ok {
			return
		}
		a := e.sendAttempt(c)
		e.d.recordOutcome(e, c, a)
		if e.finish(a) {
			return
		}
	}
}

// chooseUpstream finds the next upstream, or ends the request.
func (e *exchange) chooseUpstream() (placement.Choice, bool) {
	now := e.d.Clock.Now()
	pool := e.d.fleet.Pool(e.pool)
	if pool == nil {
		e.fail(daisygap.ReasonNoCapacity, placement.Choice{Verdict: placement.Empty, RetryAfter: noConfigurationRetryAfter})
		return placement.Choice{}, false
	}
	c := pool.Choose(placement.Query{
		Route: e.route, ObjectHash: e.objectHash, HasObject: e.head.AffinityKey != "",
		Elapsed: now - e.started, Remaining: e.deadline - now, Tried: e.tried,
	}, now)
	if c.Upstream == nil {
		reason := reasonOf(c.Verdict)
		if c.Verdict == placement.Tried {
			reason = e.lastReason
		}
		e.fail(reason, c)
		return c, false
	}
	return c, true
}

func reasonOf(v placement.Verdict) daisygap.Reason {
	switch v {
	case placement.Full:
		return daisygap.ReasonQueueFull
	case placement.Forbidden:
		return daisygap.ReasonNotAllowed
	case placement.Down:
		return daisygap.ReasonUnreachable
	}
	return daisygap.ReasonNoCapacity
}

// finish delivers an answer or ends the request, or reports that another upstream may be tried.
func (e *exchange) finish(a *attempt) bool {
	if e.in.Context().Err() != nil {
		e.logEnd("caller left", a)
		return true
	}
	switch a.state {
	case complete:
		if a.res.StatusCode >= http.StatusInternalServerError && e.mayRetry(a, daisygap.ReasonUpstreamFailed) {
			e.fallback, e.lastReason = a, daisygap.ReasonUpstreamFailed
			return false
		}
		e.deliver(a)
		return true
	case streaming:
		e.stream(a)
		return true
	}
	e.lastReason = a.reason
	e.logFailedAttempt(a)
	if e.ctx.Err() != nil || !e.mayRetry(a, a.reason) {
		e.fail(a.reason, placement.Choice{RetryAfter: failureRetryAfter})
		return true
	}
	return false
}

// failureRetryAfter is the advice after an upstream turned a request away that then found no other.
const failureRetryAfter = daisygap.Millis(100)

// mayRetry tells whether the request may go to another upstream, and spends the budget for it.
func (e *exchange) mayRetry(a *attempt, reason daisygap.Reason) bool {
	now := e.d.Clock.Now()
	switch {
	case e.bodyRest != nil:
		return false
	case e.possibleRuns > 0 && !e.route.Idempotent:
		return false
	case e.possibleRuns >= e.route.MaxAttempts:
		return false
	case e.unreachable >= maxUnreachable:
		return false
	case float64(e.deadline-now) < minRemainingTarget*float64(e.route.TargetLatency):
		return false
	case e.d.crashes.blocked(e.fingerprint, now):
		return false
	}
	if e.reached > 0 && !e.d.budgets.tryWithdraw(e.pool, now) {
		countRefusal("retry_budget", e.route.Name)
		return false
	}
	countRetry(reason)
	e.logRetry(a, reason)
	return true
}

// fail gives the request up: with an upstream's own failure, as failed if it may have run, or else as refused.
func (e *exchange) fail(reason daisygap.Reason, c placement.Choice) {
	switch {
	case e.in.Context().Err() != nil:
		e.logEnd("caller left", nil)
	case e.fallback != nil:
		e.deliver(e.fallback)
	case e.possibleRuns > 0 && errors.Is(e.ctx.Err(), context.DeadlineExceeded):
		e.refuse(http.StatusGatewayTimeout, daisygap.ReasonExpired, c)
	case e.possibleRuns > 0:
		e.refuse(http.StatusBadGateway, reason, c)
	default:
		e.refuse(http.StatusServiceUnavailable, reason, c)
	}
}
