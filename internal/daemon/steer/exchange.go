package steer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

const (
	// maxBufferedResponse is the largest body of a response in bytes that is buffered; larger ones are streamed. It is below
	// maxBufferedBody because a faulty upstream may send bytes without end.
	maxBufferedResponse = 128 << 10
	// minRemainingTarget is the fraction of a route's target latency that must remain before the deadline for a retry.
	minRemainingTarget = 0.25
	// maxUnreachable is the number of unreachable upstreams after which a request fails.
	maxUnreachable = 3
)

// exchange is the state of one caller request.
type exchange struct {
	d        *Daemon
	w        http.ResponseWriter
	in       *http.Request
	head     daisygap.RequestHead
	target   forward.Target
	snapshot *snapshot
	// route, customer and pool are set by matchRoute. The route is that of the customer, which is nil if the request belongs to none.
	route    *daisygap.Route
	customer *daisygap.Customer
	pool     string

	ctx         context.Context
	started     daisygap.Millis
	deadline    daisygap.Millis
	objectHash  uint64
	fingerprint uint64
	// body is the whole request body, or its first part when bodyRest is set.
	body     []byte
	bodyRest io.Reader
	// bodyRead is set once the whole body was read, and readingStopped if the reading of a streamed one was ended.
	bodyRead       atomic.Bool
	readingStopped atomic.Bool
	// bodyFailed is set if a streamed body couldn't be read to its end, and bodyTooLarge if that was for its size.
	bodyFailed   atomic.Bool
	bodyTooLarge atomic.Bool

	// held is the memory for the bodies of the request and its responses.
	held reservation
	// tried holds the addresses of the upstreams that got the request.
	tried map[string]bool
	// possibleRuns counts the upstreams that may have executed the request, and unreachable those to which no connection could
	// be opened.
	possibleRuns int
	unreachable  int
	// reached counts the attempts that reached an upstream, whether or not it may have executed the request.
	reached int
	// permitRequests counts the permits that were requested for upstreams that limit their rate.
	permitRequests int
	// lastReason is why the last attempt failed.
	lastReason daisygap.Reason
	// leftAt is when the caller closed the sending side of its connection. It is set soon after the context of the request has ended.
	leftAt atomic.Int64
	// hasToken is set if the request holds a token of its customer's allowance.
	hasToken bool
	// tokenAt is when it was taken.
	tokenAt daisygap.Millis
	// alone is set if no other copy of the request may run, because it was blocked before.
	alone bool
	// fallback is a 5xx response that is delivered when no other upstream succeeds.
	fallback *attempt
}

// ServeCaller forwards a caller's request to an upstream, or refuses it.
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
	e.target = forward.TargetOf(r)
	// The deadline of the connection's previous response still stands.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	defer e.held.end(&d.memory)
	if !e.matchRoute() || !e.readBody() || !e.admit() {
		return
	}
	if e.alone {
		defer d.crashes.release(e.fingerprint)
	}
	if !e.endsBeforeStop(d.Clock.Now()) {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonStopping, placement.Choice{RetryAfter: stoppingRetryAfter})
		return
	}
	if !e.takeAllowance() {
		return
	}
	defer e.returnUnusedAllowance()
	ctx, cancel := context.WithTimeout(e.parentContext(), (e.deadline - d.Clock.Now()).Duration())
	defer cancel()
	defer context.AfterFunc(d.answerCtx, cancel)()
	e.ctx = ctx
	defer e.stopReadingWith(ctx)()
	defer context.AfterFunc(r.Context(), func() { e.leftAt.Store(int64(d.Clock.Now())) })()
	if !e.beginForward() {
		return
	}
	defer d.forwardCount.Add(-1)
	d.budgets.deposit(e.pool, e.started)
	e.forward()
}

// parentContext returns the context of the caller's connection if the request may be repeated. Others go on when the caller has closed its
// sending side, since it may still read the response.
func (e *exchange) parentContext() context.Context {
	if e.route.Idempotent {
		return e.in.Context()
	}
	return context.WithoutCancel(e.in.Context())
}

// unsentGrace is how long after its caller closed the sending side a request that isn't idempotent may still be sent to an upstream.
const unsentGrace = daisygap.Millis(300)

// callerLeft reports whether the caller closed its connection and the request is to be given up.
func (e *exchange) callerLeft() bool {
	if e.in.Context().Err() == nil || e.isReadingStopped() {
		return false
	}
	if e.route.Idempotent {
		return true
	}
	at := daisygap.Millis(e.leftAt.Load())
	return e.possibleRuns == 0 && at > 0 && e.d.Clock.Now()-at > unsentGrace
}

// abort ends the caller's connection without a response. A handler that returns without one would send an empty success.
func (e *exchange) abort(event string, a *attempt) {
	e.logEnd(event, a)
	panic(http.ErrAbortHandler)
}

// matchRoute sets the request's route, pool and deadline. It refuses a request that has no ID or route, exceeds a limit or can't be
// forwarded unchanged, and returns false then.
func (e *exchange) matchRoute() bool {
	if e.snapshot == nil {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonNoConfiguration, placement.Choice{RetryAfter: noConfigurationRetryAfter})
		return false
	}
	if _, unchanged := e.target.URL(""); e.head.ID == "" || !unchanged {
		e.refuse(http.StatusBadRequest, daisygap.ReasonBadRequest, placement.Choice{})
		return false
	}
	e.route = e.snapshot.table.Find(e.in.Host, e.target.Path)
	if e.route == nil {
		e.refuse(http.StatusNotFound, daisygap.ReasonUnknownKind, placement.Choice{})
		return false
	}
	if e.snapshot.config.NeedsKeys && !e.matchCustomer() {
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

// headerSize returns the approximate size of a request's header in bytes.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// noConfigurationRetryAfter is the time in which a daemon that has just started is expected to load its configuration.
const noConfigurationRetryAfter = daisygap.Millis(300)

// admit refuses the request if it is blocked, and returns false then.
func (e *exchange) admit() bool {
	e.d.awaitCrashSync(e.in.Context())
	switch e.d.crashes.admit(e.fingerprint, e.d.Clock.Now()) {
	case poison.Blocked:
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonPoisoned, placement.Choice{RetryAfter: poisonRetryAfter})
		return false
	case poison.Alone:
		e.alone = true
	}
	return true
}

// poisonRetryAfter is the Retry-After for a request that crashed upstreams. It is long because no retry is expected to
// succeed.
const poisonRetryAfter = daisygap.Millis(5_000)

// forward tries upstreams until one responds or the request fails.
func (e *exchange) forward() {
	e.tried = make(map[string]bool)
	for {
		c, ok := e.chooseUpstream()
		if !ok {
			return
		}
		if e.finish(e.sendHedged(c)) {
			return
		}
	}
}

// chooseUpstream picks the next upstream. It fails the request and returns false when there is none.
func (e *exchange) chooseUpstream() (placement.Choice, bool) {
	now := e.d.Clock.Now()
	pool := e.d.fleet.Pool(e.pool)
	if pool == nil {
		e.fail(daisygap.ReasonNoCapacity, placement.Choice{Verdict: placement.Empty, RetryAfter: noConfigurationRetryAfter})
		return placement.Choice{}, false
	}
	c := pool.Choose(e.query(now), now)
	for c.NeedsPermit && !e.obtainPermit(pool, c) {
		now = e.d.Clock.Now()
		c = pool.Choose(e.query(now), now)
	}
	if c.Upstream == nil {
		reason := reasonOf(c.Verdict)
		if c.Verdict == placement.Tried {
			reason = e.lastReason
		}
		e.fail(reason, c)
		return c, false
	}
	if c.Verdict == placement.ColdStart {
		coldRequests.Inc()
	}
	return c, true
}

func (e *exchange) query(now daisygap.Millis) placement.Query {
	return placement.Query{
		Route: e.route, ObjectHash: e.objectHash, HasObject: e.head.AffinityKey != "",
		Elapsed: now - e.started, Remaining: e.deadline - now, Tried: e.tried, PermitRequests: e.permitRequests,
	}
}

func reasonOf(v placement.Verdict) daisygap.Reason {
	switch v {
	case placement.Full:
		return daisygap.ReasonQueueFull
	case placement.Paused, placement.Limited:
		return daisygap.ReasonUpstreamShed
	case placement.Forbidden:
		return daisygap.ReasonNotAllowed
	case placement.Down:
		return daisygap.ReasonUnreachable
	}
	return daisygap.ReasonNoCapacity
}

// finish delivers the response or fails the request. It returns false when another upstream is to be tried instead.
func (e *exchange) finish(a *attempt) bool {
	if e.callerLeft() {
		e.abort("caller left", a)
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

// failureRetryAfter is the Retry-After for a request that failed at an upstream and found no other, and the minimum for
// every 503 refusal.
const failureRetryAfter = daisygap.Millis(100)

// mayRetry reports whether the request may go to another upstream. It withdraws from the pool's retry budget when an
// upstream has already received the request.
func (e *exchange) mayRetry(a *attempt, reason daisygap.Reason) bool {
	now := e.d.Clock.Now()
	switch {
	case e.bodyRest != nil, e.alone:
		return false
	case e.possibleRuns > 0 && !e.route.Idempotent:
		return false
	case e.possibleRuns >= e.route.MaxAttempts:
		return false
	case e.unreachable >= maxUnreachable:
		return false
	case float64(e.deadline-now) < minRemainingTarget*float64(e.route.TargetLatency):
		return false
	}
	e.awaitCrashVerdict(a)
	if now = e.d.Clock.Now(); e.ctx.Err() != nil || e.d.crashes.blocked(e.fingerprint, now) || !e.endsBeforeStop(now) {
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

// fail ends the request: with the fallback response if there is one, with 504 or 502 if an upstream may have executed the
// request, depending on whether its time is over, and otherwise with 503.
func (e *exchange) fail(reason daisygap.Reason, c placement.Choice) {
	switch {
	case e.callerLeft():
		e.abort("caller left", nil)
	case e.fallback != nil:
		e.deliver(e.fallback)
	case e.bodyTooLarge.Load():
		e.refuse(http.StatusRequestEntityTooLarge, daisygap.ReasonTooLarge, c)
	case e.possibleRuns > 0 && e.ctx.Err() != nil:
		e.refuse(http.StatusGatewayTimeout, daisygap.ReasonExpired, c)
	case e.possibleRuns > 0:
		e.refuse(http.StatusBadGateway, reason, c)
	default:
		e.refuse(http.StatusServiceUnavailable, reason, c)
	}
}
