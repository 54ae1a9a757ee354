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
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/balance"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

const (
	maxTries = 4
	// Upstreams of the own domain that are tried before another domain is.
	localTries = 2
	copyBuffer = 32 << 10
	// headTimeout is how long a caller may take to send the first part of a body.
	headTimeout = 5 * time.Second
)

// exchange is one request on its way through this daemon.
type exchange struct {
	d     *Daemon
	in    *caller.Inbound
	out   http.ResponseWriter
	ctx   context.Context
	world *routing.Topology
	tried map[string]bool
	// sent tells that the body was handed to a transport and can't be read again.
	sent bool
	// maybeRun tells that some attempt may have been run, so that no later refusal may say otherwise.
	maybeRun bool
	// unreached counts the upstreams of the own domain that could not be reached.
	unreached int
}

// attempt is the outcome of one try: an answer to pass on, or a refusal.
type attempt struct {
	response *http.Response
	refusal  *daisygap.Refusal
	// sealed tells that another daemon issued the refusal, and holds its answer.
	sealed *http.Response
	domain string
	finish func(balance.Outcome)
}

// ServeCaller carries a request of a caller.
func (d *Daemon) ServeCaller(w http.ResponseWriter, r *http.Request) {
	d.serve(w, r, false)
}

// ServeHop carries a request that another daemon handed over.
func (d *Daemon) ServeHop(w http.ResponseWriter, r *http.Request) {
	d.serve(w, r, true)
}

func (d *Daemon) serve(w http.ResponseWriter, r *http.Request, hop bool) {
	defer d.track()()
	started := d.Clock.Now()
	r.Body = http.MaxBytesReader(w, r.Body, caller.MaxBody)
	control := http.NewResponseController(w)
	d.limitReading(control, time.Now().Add(headTimeout))
	in, problem := d.reader.Read(d.config(), r, hop)
	switch {
	case d.world.Load() == nil:
		d.refuse(w, d.refusal(in.Request, daisygap.ReasonNoConfiguration, daisygap.NotRun, daisygap.RefusalMetrics{}), "this daemon has no configuration yet")
		return
	case problem != nil:
		d.refuse(w, d.refusal(in.Request, problem.Reason, daisygap.NotRun, daisygap.RefusalMetrics{}), problem.Text)
		return
	case d.prints.isBlocked(in.Request.Fingerprint, d.Clock.Now()):
		d.refuse(w, d.refusal(in.Request, daisygap.ReasonPoisoned, daisygap.NotRun, daisygap.RefusalMetrics{}), "this request crashed the servers that ran it")
		return
	}
	left := in.Request.Deadline - d.Clock.Now()
	if in.BodyComplete {
		d.limitReading(control, time.Time{})
	} else {
		d.limitReading(control, time.Now().Add(left.Duration()))
	}
	ctx, cancel := context.WithTimeout(r.Context(), left.Duration())
	defer cancel()
	if !hop {
		d.budgets.fresh(in.Request.Kind)
	}
	e := &exchange{d: d, in: in, out: w, ctx: ctx, tried: make(map[string]bool)}
	e.run()
	name := fmt.Sprintf(`daisygap_request_seconds{kind=%q,rank=%q}`, in.Request.Kind, in.Request.Rank)
	metrics.GetOrCreateHistogram(name).Update(float64(d.Clock.Now()-started) / 1000)
}

// limitReading bounds how long a slow sender may take; the zero time ends the bound.
func (d *Daemon) limitReading(control *http.ResponseController, until time.Time) {
	if err := control.SetReadDeadline(until); err != nil {
		d.Log.With("caller").Debugf("no read deadline: %v", err)
	}
}

// run tries domains until one answers, a refusal is final, or the retry budget ends.
func (e *exchange) run() {
	claimed, duplicate := e.claimKey()
	if duplicate != nil {
		e.d.refuse(e.out, duplicate, "a request with this idempotency key was begun before")
		return
	}
	var last attempt
	for try := 0; ; try++ {
		a := e.once(last)
		if a.response != nil {
			e.deliver(a)
			return
		}
		e.maybeRun = e.maybeRun || a.refusal.Run != daisygap.NotRun
		if !e.mayRetry(a.refusal, try) {
			if !e.maybeRun {
				e.release(claimed)
			}
			e.refuse(a)
			return
		}
		e.discard(a)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_retries_total{reason=%q,kind=%q}`, a.refusal.Reason, e.in.Request.Kind)).Inc()
		last = a
	}
}

// once chooses a domain and sends the request there once.
func (e *exchange) once(last attempt) attempt {
	e.world = e.d.world.Load()
	choice, ok := e.choose()
	if !ok {
		if last.refusal != nil {
			return last
		}
		return attempt{refusal: e.refusal(e.nowhere(), daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.left()})}
	}
	if choice.Host.Name == "" {
		return e.serveHere()
	}
	return e.handOver(choice)
}

// nowhere says why no domain can be chosen.
func (e *exchange) nowhere() daisygap.Reason {
	c := e.world.Snapshot.Config
	self := e.d.Settings.Domain
	group := c.GroupOf(e.in.Request.Kind)
	switch {
	case e.in.Request.Hop > 0 && !c.Allows(e.in.Request.Kind, self):
		return daisygap.ReasonNotAllowed
	case e.world.FullyOffloaded(self, group):
		return daisygap.ReasonDraining
	case !e.d.usable():
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
	return e.world.Choose(routing.Query{
		Request: e.in.Request, OwnDomain: d.Settings.Domain, OwnHost: d.Settings.Host, OwnRegion: d.Settings.Region,
		OwnUsable: d.usable() && pool != nil, OwnPressure: pressure,
		Tried:    e.tried,
		LinkWait: func(region string) daisygap.Millis { return d.links.backlog(region, e.in.Request.Rank) },
		HostDown: d.down.has(d.Clock),
		Now:      d.Clock.Now(),
		Random:   rand.New(rand.NewPCG(rand.Uint64(), 0)),
	})
}

func (e *exchange) left() daisygap.Millis {
	return e.in.Request.Deadline - e.d.Clock.Now()
}

func (e *exchange) refusal(reason daisygap.Reason, run daisygap.RunState, f daisygap.RefusalMetrics) *daisygap.Refusal {
	return e.d.refusal(e.in.Request, reason, run, f)
}

// mayRetry allows another try by the first daemon only: after a truthful "not run", or for a kind that may be repeated.
func (e *exchange) mayRetry(r *daisygap.Refusal, try int) bool {
	if e.in.Request.Hop > 0 || try+1 >= maxTries || e.ctx.Err() != nil || e.left() <= 0 {
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
	if e.sent && !e.in.BodyComplete {
		return false
	}
	// A request that no host could take has cost its peers nothing.
	free := (hostOnly(r.Reason) || r.Reason == daisygap.ReasonUnreachable) && r.Run == daisygap.NotRun
	return free || e.d.budgets.take(e.in.Request.Kind)
}

// serveHere admits the request to an upstream of the own domain and sends it there.
func (e *exchange) serveHere() attempt {
	d := e.d
	if wait := e.answerWait(); wait > e.left() {
		e.tried[d.Settings.Domain] = true
		return attempt{refusal: e.refusal(daisygap.ReasonLinkFull, daisygap.NotRun, daisygap.RefusalMetrics{Wait: wait, TimeLeft: e.left()})}
	}
	pool := d.pool(d.config().GroupOf(e.in.Request.Kind))
	slot, denial := pool.Acquire(e.ctx, e.in.Request)
	if denial != nil {
		e.tried[d.Settings.Domain] = true
		return attempt{refusal: e.refusal(denial.Reason, daisygap.NotRun, denial.Figures)}
	}
	out := e.outbound(slot.Address)
	res, err := d.Upstream.Send(e.ctx, out, e.in.Request.Idempotent)
	if err != nil {
		return e.upstreamFailed(slot, err)
	}
	if res.Header.Get(daisygap.HeaderDrain) != "" {
		slot.SignalDrain()
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(daisygap.HeaderRun) == string(daisygap.NotRun) {
		closeBody(res)
		slot.Done(balance.Shed)
		return attempt{refusal: e.refusal(daisygap.ReasonUpstreamShed, daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.left()})}
	}
	return attempt{response: res, domain: d.Settings.Domain, finish: func(o balance.Outcome) {
		if o == balance.Succeeded {
			d.prints.clear(e.in.Request.Fingerprint)
		}
		if o == balance.Succeeded && res.StatusCode >= http.StatusInternalServerError {
			o = balance.Shed
		}
		slot.Done(o)
	}}
}

// upstreamFailed tells apart a request that was not sent, one given up by its caller or deadline, and one that an upstream broke off.
func (e *exchange) upstreamFailed(slot *upstream.Slot, err error) attempt {
	figures := daisygap.RefusalMetrics{TimeLeft: e.left()}
	e.d.Log.With("upstream").Debugf("%v", err)
	if errors.Is(err, upstream.ErrNotSent) {
		outcome := balance.Unreachable
		reason := daisygap.ReasonUnreachable
		if e.ctx.Err() != nil {
			outcome = balance.Abandoned
			reason = e.ended()
		}
		slot.Done(outcome)
		e.unreached++
		if e.unreached >= localTries {
			e.tried[e.d.Settings.Domain] = true
		}
		return attempt{refusal: e.refusal(reason, daisygap.NotRun, figures)}
	}
	if e.ctx.Err() != nil {
		slot.Done(balance.Abandoned)
		return attempt{refusal: e.refusal(e.ended(), daisygap.RunUnknown, figures)}
	}
	e.d.crashed(daisygap.Crash{Upstream: slot.Name, Fingerprint: e.in.Request.Fingerprint, Suspect: slot.Suspect})
	slot.Done(balance.ConnectionLost)
	return attempt{refusal: e.refusal(daisygap.ReasonUpstreamFailed, daisygap.RunUnknown, figures)}
}

// ended says why the exchange's context is over.
func (e *exchange) ended() daisygap.Reason {
	if errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		return daisygap.ReasonExpired
	}
	return daisygap.ReasonCancelled
}

// handOver sends the request to a daemon of another domain.
func (e *exchange) handOver(choice routing.Choice) attempt {
	d := e.d
	out := e.outbound(choice.Host.ForwardAddress)
	if d.Settings.TLS != nil {
		out.URL.Scheme = "https"
	}
	out.Header.Set(daisygap.HeaderHop, d.Settings.Region)
	out.Header.Set(daisygap.HeaderCaller, e.in.Request.Caller)
	if p := e.pacerTo(d.config().Domains[choice.Domain].Region); p != nil {
		if err := p.take(e.ctx, d.Clock, e.in.Request.Rank, len(out.URL.RequestURI())+headBytes(out.Header)); err != nil {
			return attempt{refusal: e.refusal(e.ended(), daisygap.NotRun, daisygap.RefusalMetrics{TimeLeft: e.left()})}
		}
		out.Body = io.NopCloser(&pacedReader{ctx: e.ctx, in: out.Body, pacer: p, clock: d.Clock, rank: e.in.Request.Rank})
	}
	res, err := d.Forward.Send(e.ctx, out, e.in.Request.Idempotent)
	e.tried[choice.Domain] = true
	if err != nil {
		return e.handOverFailed(choice, err)
	}
	if reason := res.Header.Get(daisygap.HeaderReason); reason != "" {
		if hostOnly(daisygap.Reason(reason)) {
			e.passOver(choice)
		}
		refusal := e.refusal(daisygap.Reason(reason), daisygap.RunState(res.Header.Get(daisygap.HeaderRun)), daisygap.RefusalMetrics{TimeLeft: e.left()})
		return attempt{refusal: refusal, sealed: res, domain: choice.Domain}
	}
	return attempt{response: res, domain: choice.Domain, finish: func(balance.Outcome) {}}
}

// hostOnly tells whether a refusal speaks of one host and not of its domain.
func hostOnly(reason daisygap.Reason) bool {
	return reason == daisygap.ReasonFenced || reason == daisygap.ReasonNoConfiguration
}

// passOver leaves a host out for a while; another one of its domain may still serve.
func (e *exchange) passOver(choice routing.Choice) {
	e.d.down.add(choice.Host.Name, e.d.Clock.Now())
	delete(e.tried, choice.Domain)
}

func (e *exchange) handOverFailed(choice routing.Choice, err error) attempt {
	d := e.d
	d.Log.With("carry").Debugf("%s: %v", choice.Host.Name, err)
	run := daisygap.RunUnknown
	if errors.Is(err, upstream.ErrNotSent) {
		run = daisygap.NotRun
		e.passOver(choice)
	}
	reason := daisygap.ReasonUnreachable
	if e.ctx.Err() != nil {
		reason = e.ended()
	}
	return attempt{refusal: e.refusal(reason, run, daisygap.RefusalMetrics{TimeLeft: e.left()})}
}

// outbound makes the request for the next stage, with the deadline left.
func (e *exchange) outbound(address string) *http.Request {
	in := e.in.HTTP
	out := &http.Request{
		Method: in.Method, URL: forward.URL(in, address), Host: in.Host, Header: forwardHeader(in.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if body, length := e.in.Body(); length != 0 {
		out.Body, out.ContentLength = io.NopCloser(body), length
	} else {
		out.Body = http.NoBody
	}
	e.sent = true
	r := e.in.Request
	out.Header.Set(daisygap.HeaderID, r.ID)
	out.Header.Set(daisygap.HeaderKind, r.Kind)
	out.Header.Set(daisygap.HeaderRank, r.Rank.String())
	out.Header.Set(daisygap.HeaderDeadline, strconv.FormatInt(int64(max(e.left(), 0)), 10))
	return out
}
