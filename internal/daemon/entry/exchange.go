package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/caller"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/balance"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

const (
	maxAttempts = 4
	// maxLocalUnreachable is the number of unreachable upstreams of the local domain after which another domain is used.
	maxLocalUnreachable = 2
	copyBufferSize      = 32 << 10
	// bodyStartTimeout bounds how long a caller may take to send the first part of a body.
	bodyStartTimeout = 5 * time.Second
)

// exchange is the state of one request while this daemon handles it.
type exchange struct {
	d            *Daemon
	in           *caller.Inbound
	out          http.ResponseWriter
	ctx          context.Context
	topology     *routing.Topology
	triedDomains map[string]bool
	// bodySent is set once the body was passed to a transport and can't be read again from the caller.
	bodySent bool
	// maybeExecuted is set once an upstream may have executed an attempt; no later refusal may claim "not run" then.
	maybeExecuted bool
	// sending is set once the exchange is counted among those that send requests.
	sending bool
	// localUnreachable counts the upstreams of the local domain that could not be reached.
	localUnreachable int
}

// attempt is the outcome of one attempt: a response or a refusal.
type attempt struct {
	response *http.Response
	refusal  *daisygap.Refusal
	// peerRefusal is the response of another daemon, if that daemon issued the refusal.
	peerRefusal *http.Response
	domain      string
	// finish records how the delivery of a response ended, and releases the slot if a local upstream sent it.
	finish func(balance.Outcome)
}

// ServeCaller handles a request of a caller.
func (d *Daemon) ServeCaller(w http.ResponseWriter, r *http.Request) {
	d.serve(w, r, false)
}

// ServeForwarded handles a request that another daemon forwarded.
func (d *Daemon) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	d.serve(w, r, true)
}

func (d *Daemon) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	defer d.track()()
	started := d.Clock.Now()
	r.Body = http.MaxBytesReader(w, r.Body, caller.MaxBody)
	control := http.NewResponseController(w)
	// The deadline of the connection's previous response still stands.
	_ = control.SetWriteDeadline(time.Time{})
	in, problem := d.reader.Read(d.config(), r, forwarded)
	conn := listen.FromContext(r.Context())
	if problem == nil {
		release, ok := d.takeBody(conn, r.ContentLength)
		if ok {
			defer release()
		} else {
			problem = &caller.Problem{Reason: daisygap.ReasonMemoryFull, Text: "no memory for the request body"}
		}
	}
	if problem == nil {
		wait := min(bodyStartTimeout, (in.Request.Deadline - started).Duration())
		d.setReadDeadline(control, time.Now().Add(wait))
		problem = in.ReadBody()
	}
	if problem != nil && r.ContentLength != 0 {
		// net/http would wait for the rest of the body before it sends the refusal.
		w.Header().Set("Connection", "close")
		d.setReadDeadline(control, time.Now())
	}
	switch {
	case d.topology.Load() == nil:
		d.refuse(w, d.refusal(in.Request, daisygap.ReasonNoConfiguration, daisygap.NotRun, daisygap.RefusalMetrics{}), "this daemon has no configuration yet")
		return
	case problem != nil:
		d.refuse(w, d.refusal(in.Request, problem.Reason, daisygap.NotRun, daisygap.RefusalMetrics{}), problem.Text)
		return
	case d.fingerprints.isBlocked(in.Request.Fingerprint, d.Clock.Now()):
		d.refuse(w, d.refusal(in.Request, daisygap.ReasonPoisoned, daisygap.NotRun, daisygap.RefusalMetrics{}), "this request crashed the servers that ran it")
		return
	}
	remaining := in.Request.Deadline - d.Clock.Now()
	if in.BodyComplete {
		d.setReadDeadline(control, time.Time{})
	} else {
		d.setReadDeadline(control, time.Now().Add(remaining.Duration()))
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining.Duration())
	defer cancel()
	if !forwarded {
		d.budgets.recordRequest(in.Request.Kind)
	}
	e := &exchange{d: d, in: in, out: w, ctx: ctx, triedDomains: make(map[string]bool)}
	defer e.endSend()
	if !conn.Pass() {
		panic(http.ErrAbortHandler)
	}
	e.run()
	name := fmt.Sprintf(`daisygap_request_seconds{kind=%q,rank=%q}`, in.Request.Kind, in.Request.Rank)
	metrics.GetOrCreateHistogram(name).Update(float64(d.Clock.Now()-started) / 1000)
}

// setReadDeadline bounds the reading of a request, so that a slow sender doesn't occupy the daemon; the zero time
// removes the bound.
func (d *Daemon) setReadDeadline(control *http.ResponseController, until time.Time) {
	if err := control.SetReadDeadline(until); err != nil {
		d.Log.With("caller").Debugf("cannot set read deadline: %v", err)
	}
}

// run makes attempts until one returns a response, a refusal is final, or the retry budget is used up.
func (e *exchange) run() {
	claimed, duplicate := e.claimKey()
	if duplicate != nil {
		e.d.refuse(e.out, duplicate, "a request with this idempotency key was already received")
		return
	}
	var last attempt
	for try := 0; ; try++ {
		a := e.attemptOnce(last)
		if a.response != nil {
			e.deliver(a)
			return
		}
		e.maybeExecuted = e.maybeExecuted || a.refusal.Run != daisygap.NotRun
		if !e.mayRetry(a.refusal, try) {
			if !e.maybeExecuted {
				e.releaseKey(claimed)
			}
			e.refuse(a)
			return
		}
		e.discard(a)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_retries_total{reason=%q,kind=%q}`, a.refusal.Reason, e.in.Request.Kind)).Inc()
		last = a
	}
}

// attemptOnce chooses a domain and makes one attempt there. If no domain is left, the last refusal stands.
func (e *exchange) attemptOnce(last attempt) attempt {
	e.topology = e.d.topology.Load()
	choice, ok := e.choose()
	if !ok {
		if last.refusal != nil {
			return last
		}
		return attempt{refusal: e.refusal(e.noDomainReason(), daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
	}
	if choice.Host.Name == "" {
		return e.serveLocal()
	}
	return e.forwardTo(choice)
}

// noDomainReason returns the reason why no domain can be chosen.
func (e *exchange) noDomainReason() daisygap.Reason {
	c := e.topology.Snapshot.Config
	self := e.d.Settings.Domain
	group := c.GroupOf(e.in.Request.Kind)
	switch {
	case e.in.Request.Hop > 0 && !c.Allows(e.in.Request.Kind, self):
		return daisygap.ReasonNotAllowed
	case e.topology.FullyOffloaded(self, group):
		return daisygap.ReasonDraining
	case !e.d.leaseValid():
		return daisygap.ReasonFenced
	}
	return daisygap.ReasonNoCapacity
}

func (e *exchange) choose() (routing.Choice, bool) {
	d := e.d
	pool := d.pool(d.config().GroupOf(e.in.Request.Kind))
	pressure := 1.0
	if pool != nil {
		pressure = pool.Pressure(e.in.Request.Kind)
	}
	return e.topology.Choose(routing.Query{
		Request: e.in.Request, OwnDomain: d.Settings.Domain, OwnHost: d.Settings.Host, OwnRegion: d.Settings.Region,
		OwnUsable: d.leaseValid() && pool != nil, OwnPressure: pressure,
		Tried:    e.triedDomains,
		LinkWait: func(region string) daisygap.Millis { return d.links.backlog(region, e.in.Request.Rank) },
		HostDown: d.unreachable.contains(d.Clock),
		Now:      d.Clock.Now(),
		Random:   rand.New(rand.NewPCG(rand.Uint64(), 0)),
	})
}

func (e *exchange) remaining() daisygap.Millis {
	return e.in.Request.Deadline - e.d.Clock.Now()
}

func (e *exchange) refusal(reason daisygap.Reason, run daisygap.RunState, m daisygap.RefusalMetrics) *daisygap.Refusal {
	return e.d.refusal(e.in.Request, reason, run, m)
}

// mayRetry reports whether another attempt is allowed. Only the daemon that received the request from its caller retries,
// and only if the request surely was not executed or its kind may be repeated.
func (e *exchange) mayRetry(r *daisygap.Refusal, try int) bool {
	if e.in.Request.Hop > 0 || try+1 >= maxAttempts || e.ctx.Err() != nil || e.remaining() <= 0 {
		return false
	}
	switch r.Reason {
	case daisygap.ReasonUnreachable, daisygap.ReasonUpstreamFailed, daisygap.ReasonUpstreamShed,
		daisygap.ReasonQueueFull, daisygap.ReasonDeadline, daisygap.ReasonNoCapacity,
		daisygap.ReasonFenced, daisygap.ReasonDraining, daisygap.ReasonNoConfiguration:
	default:
		return false
	}
	if r.Run != daisygap.NotRun && !e.in.Request.Idempotent {
		return false
	}
	if e.bodySent && !e.in.BodyComplete {
		return false
	}
	// A request that was not accepted by any host caused no work at a peer, so its retry isn't charged to the budget.
	free := (concernsHostOnly(r.Reason) || r.Reason == daisygap.ReasonUnreachable) && r.Run == daisygap.NotRun
	return free || e.d.budgets.take(e.in.Request.Kind)
}

// serveLocal admits the request to an upstream of the local domain and sends it there.
func (e *exchange) serveLocal() attempt {
	d := e.d
	if wait := e.responseWait(); wait > e.remaining() {
		e.triedDomains[d.Settings.Domain] = true
		return attempt{refusal: e.refusal(daisygap.ReasonLinkFull, daisygap.NotRun, daisygap.RefusalMetrics{Wait: wait, TimeLeft: e.remaining()})}
	}
	pool := d.pool(d.config().GroupOf(e.in.Request.Kind))
	slot, denial := pool.Acquire(e.ctx, e.in.Request)
	if denial != nil {
		e.triedDomains[d.Settings.Domain] = true
		return attempt{refusal: e.refusal(denial.Reason, daisygap.NotRun, denial.Metrics)}
	}
	if !e.beginSend() {
		slot.Done(balance.Abandoned)
		return attempt{refusal: e.refusal(daisygap.ReasonQueueFull, daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
	}
	out := e.newOutbound(slot.Address)
	sent := d.Clock.Now()
	res, err := d.Upstream.Send(e.ctx, out, e.in.Request.Idempotent)
	if err != nil {
		return e.upstreamFailed(slot, err, sent)
	}
	if res.Header.Get(daisygap.HeaderDrain) != "" {
		slot.SignalDrain()
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(daisygap.HeaderRun) == string(daisygap.NotRun) {
		closeBody(res)
		slot.Done(balance.Shed)
		return attempt{refusal: e.refusal(daisygap.ReasonUpstreamShed, daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
	}
	return attempt{response: res, domain: d.Settings.Domain, finish: func(o balance.Outcome) {
		if o == balance.Succeeded {
			d.fingerprints.answer(e.in.Request.Fingerprint, sent, d.Clock.Now())
		}
		if o == balance.Succeeded && res.StatusCode >= http.StatusInternalServerError {
			o = balance.Shed
		}
		slot.Done(o)
	}}
}

// upstreamFailed turns a transport error into a refusal. It distinguishes a request that was not sent, one canceled by
// its caller or its deadline, and one whose upstream closed the connection, which counts as a crash if nothing listens there any more.
func (e *exchange) upstreamFailed(slot *upstream.Slot, err error, sent daisygap.Millis) attempt {
	refusalMetrics := daisygap.RefusalMetrics{TimeLeft: e.remaining()}
	e.d.Log.With("upstream").Debugf("%v", err)
	if errors.Is(err, upstream.ErrNotSent) {
		outcome := balance.Unreachable
		reason := daisygap.ReasonUnreachable
		if e.ctx.Err() != nil {
			outcome = balance.Abandoned
			reason = e.contextReason()
		}
		slot.Done(outcome)
		e.localUnreachable++
		if e.localUnreachable >= maxLocalUnreachable {
			e.triedDomains[e.d.Settings.Domain] = true
		}
		return attempt{refusal: e.refusal(reason, daisygap.NotRun, refusalMetrics)}
	}
	if e.ctx.Err() != nil {
		slot.Done(balance.Abandoned)
		return attempt{refusal: e.refusal(e.contextReason(), daisygap.RunUnknown, refusalMetrics)}
	}
	e.d.reportCrash(daisygap.CrashReport{
		Fingerprint: e.in.Request.Fingerprint, Process: daisygap.Process{ID: slot.Name, StartTime: int64(e.d.Clock.Wall())},
		Host: e.d.Settings.Host, Sent: sent, Broken: e.d.Clock.Now(), Alone: slot.Suspect,
	}, slot.Address)
	slot.Done(balance.ConnectionLost)
	return attempt{refusal: e.refusal(daisygap.ReasonUpstreamFailed, daisygap.RunUnknown, refusalMetrics)}
}

// contextReason returns the refusal reason for an exchange whose context has ended.
func (e *exchange) contextReason() daisygap.Reason {
	if errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		return daisygap.ReasonExpired
	}
	return daisygap.ReasonCancelled
}

// forwardTo forwards the request to a daemon of another domain.
func (e *exchange) forwardTo(choice routing.Choice) attempt {
	d := e.d
	if !e.beginSend() {
		return attempt{refusal: e.refusal(daisygap.ReasonQueueFull, daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
	}
	out := e.newOutbound(choice.Host.ForwardAddress)
	if d.Settings.TLS != nil {
		out.URL.Scheme = "https"
	}
	out.Header.Set(daisygap.HeaderHop, d.Settings.Region)
	out.Header.Set(daisygap.HeaderCaller, e.in.Request.Caller)
	if p := e.pacerTo(d.config().Domains[choice.Domain].Region); p != nil {
		if err := p.acquire(e.ctx, d.Clock, e.in.Request.Rank, len(out.URL.RequestURI())+headerBytes(out.Header)); err != nil {
			return attempt{refusal: e.refusal(e.contextReason(), daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
		}
		out.Body = io.NopCloser(&pacedReader{ctx: e.ctx, in: out.Body, pacer: p, clock: d.Clock, rank: e.in.Request.Rank})
	}
	res, err := d.Forward.Send(e.ctx, out, e.in.Request.Idempotent)
	e.triedDomains[choice.Domain] = true
	if err != nil {
		return e.forwardFailed(choice, err)
	}
	if reason := res.Header.Get(daisygap.HeaderReason); reason != "" {
		if concernsHostOnly(daisygap.Reason(reason)) {
			e.skipHost(choice)
		}
		refusal := e.refusal(daisygap.Reason(reason), daisygap.RunState(res.Header.Get(daisygap.HeaderRun)), daisygap.RefusalMetrics{TimeLeft: e.remaining()})
		return attempt{refusal: refusal, peerRefusal: res, domain: choice.Domain}
	}
	return attempt{response: res, domain: choice.Domain, finish: func(balance.Outcome) {}}
}

// concernsHostOnly reports whether a refusal is about one host rather than its whole domain.
func concernsHostOnly(reason daisygap.Reason) bool {
	return reason == daisygap.ReasonFenced || reason == daisygap.ReasonNoConfiguration
}

// skipHost excludes a host for unreachableHold; another host of its domain may still serve the request.
func (e *exchange) skipHost(choice routing.Choice) {
	e.d.unreachable.add(choice.Host.Name, e.d.Clock.Now())
	delete(e.triedDomains, choice.Domain)
}

func (e *exchange) forwardFailed(choice routing.Choice, err error) attempt {
	d := e.d
	d.Log.With("carry").Debugf("cannot forward to %s: %v", choice.Host.Name, err)
	run := daisygap.RunUnknown
	if errors.Is(err, upstream.ErrNotSent) {
		run = daisygap.NotRun
		e.skipHost(choice)
	}
	reason := daisygap.ReasonUnreachable
	if e.ctx.Err() != nil {
		reason = e.contextReason()
	}
	return attempt{refusal: e.refusal(reason, run, daisygap.RefusalMetrics{TimeLeft: e.remaining()})}
}

// newOutbound returns the request for an upstream or another daemon, with the remaining time as its deadline.
func (e *exchange) newOutbound(address string) *http.Request {
	in := e.in.HTTP
	// The reader has checked that there is a URL.
	u, _ := forward.TargetOf(in).URL(address)
	out := &http.Request{
		Method: in.Method, URL: u, Host: in.Host, Header: forwardHeader(in.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if body, length := e.in.Body(); length != 0 {
		out.Body, out.ContentLength = io.NopCloser(body), length
	} else {
		out.Body = http.NoBody
	}
	e.bodySent = true
	r := e.in.Request
	out.Header.Set(daisygap.HeaderID, r.ID)
	out.Header.Set(daisygap.HeaderKind, r.Kind)
	out.Header.Set(daisygap.HeaderRank, r.Rank.String())
	out.Header.Set(daisygap.HeaderDeadline, strconv.FormatInt(int64(max(e.remaining(), 0)), 10))
	return out
}
