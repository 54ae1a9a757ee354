package steer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// state is how far an offer to an upstream came.
type state int

const (
	// whole is an answer that is complete; streaming is one whose head is good and whose body is still to come.
	whole state = iota
	streaming
	// notRun and unreached promise that the upstream doesn't run the request.
	notRun
	unreached
	// broken is anything after which the upstream may have run it.
	broken
)

// answer is the outcome of one offer.
type answer struct {
	state  state
	reason daisygap.Reason
	head   daisygap.Answer
	res    *http.Response
	body   []byte
	// cut ends the connection, and release gives back what the offer holds.
	cut     func()
	release context.CancelFunc
	err     error
	took    daisygap.Millis
	trip    daisygap.Millis
	choice  placement.Choice
}

// offer sends the request to an upstream and reads its answer.
func (e *exchange) offer(c placement.Choice) *answer {
	started := e.d.Clock.Now()
	e.tried[c.Upstream] = true
	ctx, release := context.WithCancel(e.ctx)
	a := &answer{choice: c, release: release}
	line := &line{clock: e.d.Clock}
	a.cut = line.close
	res, err := e.d.Upstream.Send(httptrace.WithClientTrace(ctx, line.trace()), e.request(c), false)
	if err != nil {
		a.fail(err)
	} else {
		a.res = res
		e.read(a)
	}
	if a.state != streaming {
		release()
	}
	a.took, a.trip = e.d.Clock.Now()-started, daisygap.Millis(line.trip.Load())
	switch a.state {
	case whole, streaming, broken:
		e.offers++
		e.arrivals++
	case notRun:
		e.arrivals++
	case unreached:
		e.unreached++
	}
	return a
}

// line is the connection of one offer; net/http may go on opening one after the offer has ended.
type line struct {
	clock   *daisygap.Clock
	conn    atomic.Pointer[net.Conn]
	dialled atomic.Int64
	trip    atomic.Int64
}

func (l *line) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart: func(string, string) { l.dialled.Store(int64(l.clock.Now())) },
		ConnectDone:  func(string, string, error) { l.trip.Store(int64(l.clock.Now()) - l.dialled.Load()) },
		GotConn:      func(i httptrace.GotConnInfo) { l.conn.Store(&i.Conn) },
	}
}

func (l *line) close() {
	if p := l.conn.Load(); p != nil {
		_ = (*p).Close()
	}
}

// request makes the request for an upstream.
func (e *exchange) request(c placement.Choice) *http.Request {
	out := &http.Request{
		Method: e.in.Method, URL: forward.URL(e.in, c.Upstream.Address), Host: e.in.Host,
		Header: make(http.Header, len(e.in.Header)+2),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	forward.Copy(out.Header, e.in.Header)
	if _, named := out.Header["User-Agent"]; !named {
		out.Header["User-Agent"] = []string{""}
	}
	e.d.Protocol.WriteOffer(out.Header, daisygap.Offer{Instance: c.Upstream.ID, Left: e.deadline - e.d.Clock.Now()})
	switch {
	case e.rest != nil:
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(e.body), e.rest)), e.in.ContentLength
	case len(e.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(e.body)), int64(len(e.body))
	}
	return out
}

func (a *answer) fail(err error) {
	a.err = err
	a.state, a.reason = broken, daisygap.ReasonUpstreamFailed
	if errors.Is(err, upstream.ErrNotSent) {
		a.state, a.reason = unreached, daisygap.ReasonUnreachable
	}
}

// read takes an answer's head and body in; anything that isn't the upstream's own whole answer is broken.
func (e *exchange) read(a *answer) {
	a.head = e.d.Protocol.ReadAnswer(a.res)
	switch {
	case a.head.ID != "" && a.head.ID != e.call.ID:
		a.spoil(fmt.Errorf("the answer belongs to request %q", a.head.ID))
		return
	case a.head.NotRun || a.head.Misdirected:
		a.state, a.reason = notRun, daisygap.ReasonUpstreamShed
		a.drain()
		return
	case a.res.StatusCode < http.StatusMultipleChoices && (!a.head.Sealed || a.head.ID == "" || a.head.Encoded):
		a.spoil(errors.New("a success without the upstream's proof of origin"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.res.Body, wholeBody+1))
	switch {
	case err != nil:
		a.spoil(err)
	case len(body) > wholeBody:
		a.state, a.body = streaming, body
	default:
		a.state, a.body = whole, body
		_ = a.res.Body.Close()
	}
}

// spoil gives an answer up together with its connection, on which more may follow.
func (a *answer) spoil(err error) {
	a.fail(err)
	a.cut()
	_ = a.res.Body.Close()
}

// maxDrain bounds the body of a refusal that is read to keep its connection.
const maxDrain = 4 << 10

func (a *answer) drain() {
	_, _ = io.CopyN(io.Discard, a.res.Body, maxDrain)
	_ = a.res.Body.Close()
}

// settle tells the pool and the crash reports how an offer ended.
func (d *Daemon) settle(e *exchange, c placement.Choice, a *answer) {
	now := d.Clock.Now()
	o := placement.Outcome{Took: a.took, Trip: a.trip, Load: a.head.Load}
	switch {
	case e.in.Context().Err() != nil:
		o.Result = placement.Dropped
	case a.state == unreached:
		o.Result = placement.Unreached
		if e.ctx.Err() != nil {
			o.Result = placement.Dropped
		}
		d.crashes.unreached(c.Upstream.ID, now)
	case a.state == notRun:
		o.Result = placement.Shed
		if a.head.Misdirected {
			o.Result = placement.Gone
		}
	case a.state == broken:
		o.Result = placement.Failed
		if errors.Is(a.err, syscall.ETIMEDOUT) {
			o.Result = placement.Unreached
		}
		if a.res == nil && e.ctx.Err() == nil {
			d.crashes.broken(c.Upstream.ID, e.print, now)
		}
	case a.res.StatusCode >= http.StatusInternalServerError:
		o.Result = placement.Failed
		d.crashes.answered(c.Upstream.ID, e.print)
	default:
		d.crashes.answered(c.Upstream.ID, e.print)
	}
	if p := d.fleet.Pool(c.Upstream.Pool); p != nil {
		p.Done(c, e.route.Name, o, now)
	}
}

// deliver writes a whole answer to the caller.
func (e *exchange) deliver(a *answer) {
	h := e.w.Header()
	closing := h.Get("Connection")
	forward.Copy(h, a.res.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil
	}
	if e.in.Method != http.MethodHead && a.res.StatusCode != http.StatusNoContent && a.res.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		e.logEnd("caller left", a)
		return
	}
	e.logDelivered(a)
}

// stream passes a large answer through; one that breaks off ends the caller's connection, so that it never looks whole.
func (e *exchange) stream(a *answer) {
	defer a.release()
	defer func() { _ = a.res.Body.Close() }()
	h := e.w.Header()
	forward.Copy(h, a.res.Header)
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		return
	}
	if _, err := io.Copy(e.w, a.res.Body); err != nil {
		a.err = err
		e.logEnd("answer broke off", a)
		panic(http.ErrAbortHandler)
	}
	e.logDelivered(a)
}

// refuse answers in the daemon's own name.
func (e *exchange) refuse(status int, reason daisygap.Reason, c placement.Choice) {
	h := e.w.Header()
	run := daisygap.NotRun
	if e.offers > 0 {
		run = daisygap.Unknown
	}
	h.Set(daisygap.HeaderReason, string(reason))
	h.Set(daisygap.HeaderRun, string(run))
	if status == http.StatusServiceUnavailable {
		e.d.Protocol.WriteRetry(h, max(c.Retry, retryAfterFailure))
	}
	h.Set("Content-Length", "0")
	e.w.WriteHeader(status)
	name := ""
	if e.route != nil {
		name = e.route.Name
	}
	countRefusal(reason, name)
	e.logRefusal(status, reason, run, c)
}

// logDelivered writes a line for a sample of the answers, and for each that is late.
func (e *exchange) logDelivered(a *answer) {
	took := e.d.Clock.Now() - e.started
	metrics.GetOrCreateHistogram(fmt.Sprintf(`daisygap_request_seconds{rank="%d",repeat="%t"}`, e.route.Rank, e.route.Repeat)).Update(took.Duration().Seconds())
	kind := "answer"
	if took > e.route.Target {
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
	e.d.event("refusal", string(reason), func() daisygap.Fields {
		f := e.fields(nil)
		f["status"], f["reason"], f["run"], f["verdict"] = status, reason, run, c.Verdict
		f["load"], f["wait_ms"], f["retry_ms"], f["took_ms"] = c.Load, int(c.Wait), c.Retry, e.d.Clock.Now()-e.started
		return f
	})
}

// logFailedOffer says which upstream failed the request, and how.
func (e *exchange) logFailedOffer(a *answer) {
	e.d.event("offer failed", "offer failed "+string(a.reason), func() daisygap.Fields {
		f := e.fields(a)
		f["reason"] = a.reason
		return f
	})
}

func (e *exchange) logRetry(a *answer, reason daisygap.Reason) {
	e.d.event("retry", "retry "+string(reason), func() daisygap.Fields {
		f := e.fields(a)
		f["reason"] = reason
		return f
	})
}

func (e *exchange) logEnd(kind string, a *answer) {
	e.d.event(kind, kind, func() daisygap.Fields { return e.fields(a) })
}

// fields are the inputs of a decision about this request.
func (e *exchange) fields(a *answer) daisygap.Fields {
	f := daisygap.Fields{"id": e.call.ID, "offers": e.offers, "unreached": e.unreached}
	if e.view != nil {
		f["version"], f["revision"] = e.view.steering.Version, e.d.revision()
	}
	if e.route != nil {
		f["route"], f["pool"], f["left_ms"] = e.route.Name, e.pool, e.deadline-e.d.Clock.Now()
	}
	if a != nil {
		f["upstream"], f["verdict"], f["load"], f["offer_ms"] = a.choice.Upstream.ID, a.choice.Verdict, a.choice.Load, a.took
		if a.err != nil {
			f["error"] = a.err.Error()
		}
	}
	return f
}
