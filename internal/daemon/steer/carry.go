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
	// wholeBody is the largest body in bytes that is held in memory; larger ones are passed through.
	wholeBody = 1 << 20
	// leastOffer is the part of a route's target that must be left for another offer.
	leastOffer = 0.25
	// maxUnreached is the number of upstreams that may prove unreachable before a request is given up.
	maxUnreached = 3
)

// exchange is one request on its way through this daemon.
type exchange struct {
	d    *Daemon
	w    http.ResponseWriter
	in   *http.Request
	call daisygap.RequestHead
	view *view
	// route and pool are set once the request is recognised.
	route *daisygap.Route
	pool  string

	ctx      context.Context
	started  daisygap.Millis
	deadline daisygap.Millis
	object   uint64
	print    uint64
	// body is the whole body unless rest holds what follows it.
	body []byte
	rest io.Reader

	tried map[*placement.Upstream]bool
	// offers counts the upstreams that may have run the request, and unreached those that had no connection.
	offers    int
	unreached int
	// repeats counts the arrivals after the first.
	arrivals int
	// reason is why the last offer failed.
	reason daisygap.Reason
	// fallback is an upstream's failure that is delivered when no other upstream does better.
	fallback *answer
}

// ServeCaller carries a request of a caller.
func (d *Daemon) ServeCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	d.flying.Add(1)
	defer func() {
		d.flying.Add(-1)
		d.inFlight.Done()
	}()
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{d: d, w: w, in: r, call: d.Protocol.ReadRequestHead(r), view: d.view.Load(), started: d.Clock.Now()}
	if !e.recognise() || !e.readBody() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (e.deadline - d.Clock.Now()).Duration())
	defer cancel()
	e.ctx = ctx
	d.budgets.fresh(e.pool, e.started)
	e.carry()
}

// recognise finds the request's route and deadline, or refuses it.
func (e *exchange) recognise() bool {
	if e.view == nil {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonNoConfiguration, placement.Choice{RetryAfter: noConfigurationRetry})
		return false
	}
	if e.call.ID == "" {
		e.refuse(http.StatusBadRequest, daisygap.ReasonBadRequest, placement.Choice{})
		return false
	}
	e.route = e.view.table.Find(e.in.Host, e.in.URL.Path)
	if e.route == nil {
		e.refuse(http.StatusNotFound, daisygap.ReasonUnknownKind, placement.Choice{})
		return false
	}
	if most := e.view.steering.Limits.HeaderBytes; most > 0 && headBytes(e.in) > most {
		e.refuse(http.StatusRequestHeaderFieldsTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
		return false
	}
	if most := e.view.steering.Limits.BodyBytes; most > 0 && e.in.ContentLength > most {
		e.refuse(http.StatusRequestEntityTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
		return false
	}
	span := e.route.Timeout
	if e.call.HasTimeout {
		span = min(span, e.call.Timeout)
	}
	e.deadline = e.started + span
	e.pool = e.d.splitter.Next(e.route)
	e.object = xxhash.Sum64String(e.call.AffinityKey)
	return true
}

// headBytes returns about how many bytes the head of a request took.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// noConfigurationRetry is when a daemon that has just started is expected to know its configuration.
const noConfigurationRetry = daisygap.Millis(300)

// readBody reads the body, so that it can be sent again, or its first part if it is large.
func (e *exchange) readBody() bool {
	if e.in.ContentLength != 0 {
		limit := e.view.steering.Limits.BodyBytes
		if limit > 0 {
			e.in.Body = http.MaxBytesReader(e.w, e.in.Body, limit)
		}
		body, err := io.ReadAll(io.LimitReader(e.in.Body, wholeBody+1))
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
		if len(body) > wholeBody {
			e.rest = e.in.Body
		}
	}
	h := xxhash.New()
	for _, part := range []string{e.in.Method, e.in.Host, e.in.URL.RequestURI(), e.call.AffinityKey} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(e.body)
	e.print = h.Sum64()
	if e.d.crashes.blocked(e.print, e.started) {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonPoisoned, placement.Choice{RetryAfter: poisonRetry})
		return false
	}
	return true
}

// poisonRetry is the advice to the sender of a request that crashed upstreams; no time is soon enough.
const poisonRetry = daisygap.Millis(5_000)

// carry offers the request to upstreams until one answers or it is given up.
func (e *exchange) carry() {
	e.tried = make(map[*placement.Upstream]bool)
	for {
		c, ok := e.choose()
		if !ok {
			return
		}
		a := e.offer(c)
		e.d.settle(e, c, a)
		if e.finished(a) {
			return
		}
	}
}

// choose finds the next upstream, or ends the request.
func (e *exchange) choose() (placement.Choice, bool) {
	now := e.d.Clock.Now()
	pool := e.d.fleet.Pool(e.pool)
	if pool == nil {
		e.end(daisygap.ReasonNoCapacity, placement.Choice{Verdict: placement.Empty, RetryAfter: noConfigurationRetry})
		return placement.Choice{}, false
	}
	c := pool.Choose(placement.Query{
		Route: e.route, ObjectHash: e.object, HasObject: e.call.AffinityKey != "",
		Elapsed: now - e.started, Remaining: e.deadline - now, Tried: e.tried,
	}, now)
	if c.Upstream == nil {
		reason := reasonOf(c.Verdict)
		if c.Verdict == placement.Tried {
			reason = e.reason
		}
		e.end(reason, c)
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

// finished delivers an answer or ends the request, or reports that another upstream may be tried.
func (e *exchange) finished(a *answer) bool {
	if e.in.Context().Err() != nil {
		e.logEnd("caller left", a)
		return true
	}
	switch a.state {
	case whole:
		if a.res.StatusCode >= http.StatusInternalServerError && e.mayRepeat(a, daisygap.ReasonUpstreamFailed) {
			e.fallback, e.reason = a, daisygap.ReasonUpstreamFailed
			return false
		}
		e.deliver(a)
		return true
	case streaming:
		e.stream(a)
		return true
	}
	e.reason = a.reason
	e.logFailedOffer(a)
	if e.ctx.Err() != nil || !e.mayRepeat(a, a.reason) {
		e.end(a.reason, placement.Choice{RetryAfter: retryAfterFailure})
		return true
	}
	return false
}

// retryAfterFailure is the advice after an upstream turned a request away that then found no other.
const retryAfterFailure = daisygap.Millis(100)

// mayRepeat tells whether the request may go to another upstream, and spends the budget for it.
func (e *exchange) mayRepeat(a *answer, reason daisygap.Reason) bool {
	now := e.d.Clock.Now()
	switch {
	case e.rest != nil:
		return false
	case e.offers > 0 && !e.route.Idempotent:
		return false
	case e.offers >= e.route.MaxAttempts:
		return false
	case e.unreached >= maxUnreached:
		return false
	case float64(e.deadline-now) < leastOffer*float64(e.route.TargetLatency):
		return false
	case e.d.crashes.blocked(e.print, now):
		return false
	}
	if e.arrivals > 0 && !e.d.budgets.take(e.pool, now) {
		countRefusal("retry_budget", e.route.Name)
		return false
	}
	countRetry(reason)
	e.logRetry(a, reason)
	return true
}

// end gives the request up: with an upstream's own failure, as failed if it may have run, or else as refused.
func (e *exchange) end(reason daisygap.Reason, c placement.Choice) {
	switch {
	case e.in.Context().Err() != nil:
		e.logEnd("caller left", nil)
	case e.fallback != nil:
		e.deliver(e.fallback)
	case e.offers > 0 && errors.Is(e.ctx.Err(), context.DeadlineExceeded):
		e.refuse(http.StatusGatewayTimeout, daisygap.ReasonExpired, c)
	case e.offers > 0:
		e.refuse(http.StatusBadGateway, reason, c)
	default:
		e.refuse(http.StatusServiceUnavailable, reason, c)
	}
}
