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
	"sync/atomic"
	"syscall"

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
	head   daisygap.ResponseHead
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
	forward.CopyHeaders(out.Header, e.in.Header)
	if _, named := out.Header["User-Agent"]; !named {
		out.Header["User-Agent"] = []string{""}
	}
	e.d.Protocol.WriteAttemptHead(out.Header, daisygap.AttemptHead{Instance: c.Upstream.ID, TimeLeft: e.deadline - e.d.Clock.Now()})
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
	a.head = e.d.Protocol.ReadResponseHead(a.res)
	switch {
	case a.head.ID != "" && a.head.ID != e.call.ID:
		a.spoil(fmt.Errorf("the answer belongs to request %q", a.head.ID))
		return
	case a.head.NotExecuted || a.head.Misdirected:
		a.state, a.reason = notRun, daisygap.ReasonUpstreamShed
		a.drain()
		return
	case a.res.StatusCode < http.StatusMultipleChoices && (!a.head.HasStamp || a.head.ID == "" || a.head.Encoded):
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
	o := placement.Outcome{ResponseTime: a.took, ConnectTime: a.trip, Load: a.head.Load}
	switch {
	case e.in.Context().Err() != nil:
		o.Result = placement.Canceled
	case a.state == unreached:
		o.Result = placement.Unreachable
		if e.ctx.Err() != nil {
			o.Result = placement.Canceled
		}
		d.crashes.unreached(c.Upstream.ID, now)
	case a.state == notRun:
		o.Result = placement.Shed
		if a.head.Misdirected {
			o.Result = placement.Misdirected
		}
	case a.state == broken:
		o.Result = placement.Failed
		if errors.Is(a.err, syscall.ETIMEDOUT) {
			o.Result = placement.Unreachable
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
