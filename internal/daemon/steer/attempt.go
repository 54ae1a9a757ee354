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

// attemptState is how far an offer to an upstream came.
type attemptState int

const (
	// complete is an answer that is complete; streaming is one whose head is good and whose body is still to come.
	complete attemptState = iota
	streaming
	// notExecuted and unreached promise that the upstream doesn't run the request.
	notExecuted
	unreachable
	// outcomeUnknown is anything after which the upstream may have run it.
	outcomeUnknown
)

// attempt is the outcome of one offer.
type attempt struct {
	state  attemptState
	reason daisygap.Reason
	head   daisygap.ResponseHead
	res    *http.Response
	body   []byte
	// closeConn ends the connection, and release gives back what the offer holds.
	closeConn func()
	cancel    context.CancelFunc
	err       error
	duration  daisygap.Millis
	dialTime  daisygap.Millis
	choice    placement.Choice
}

// sendAttempt sends the request to an upstream and reads its answer.
func (e *exchange) sendAttempt(c placement.Choice) *attempt {
	started := e.d.Clock.Now()
	e.tried[c.Upstream] = true
	ctx, cancel := context.WithCancel(e.ctx)
	a := &attempt{choice: c, cancel: cancel}
	conn := &attemptConn{clock: e.d.Clock}
	a.closeConn = conn.close
	res, err := e.d.Upstream.Send(httptrace.WithClientTrace(ctx, conn.trace()), e.upstreamRequest(c), false)
	if err != nil {
		a.fail(err)
	} else {
		a.res = res
		e.readResponse(a)
	}
	if a.state != streaming {
		cancel()
	}
	a.duration, a.dialTime = e.d.Clock.Now()-started, daisygap.Millis(conn.dialTime.Load())
	switch a.state {
	case complete, streaming, outcomeUnknown:
		e.possibleRuns++
		e.reached++
	case notExecuted:
		e.reached++
	case unreachable:
		e.unreachable++
	}
	return a
}

// attemptConn is the connection of one offer; net/http may go on opening one after the offer has ended.
type attemptConn struct {
	clock     *daisygap.Clock
	conn      atomic.Pointer[net.Conn]
	dialStart atomic.Int64
	dialTime  atomic.Int64
}

func (c *attemptConn) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart: func(string, string) { c.dialStart.Store(int64(c.clock.Now())) },
		ConnectDone:  func(string, string, error) { c.dialTime.Store(int64(c.clock.Now()) - c.dialStart.Load()) },
		GotConn:      func(i httptrace.GotConnInfo) { c.conn.Store(&i.Conn) },
	}
}

func (c *attemptConn) close() {
	if p := c.conn.Load(); p != nil {
		_ = (*p).Close()
	}
}

// upstreamRequest makes the upstreamRequest for an upstream.
func (e *exchange) upstreamRequest(c placement.Choice) *http.Request {
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
	case e.bodyRest != nil:
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(e.body), e.bodyRest)), e.in.ContentLength
	case len(e.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(e.body)), int64(len(e.body))
	}
	return out
}

func (a *attempt) fail(err error) {
	a.err = err
	a.state, a.reason = outcomeUnknown, daisygap.ReasonUpstreamFailed
	if errors.Is(err, upstream.ErrNotSent) {
		a.state, a.reason = unreachable, daisygap.ReasonUnreachable
	}
}

// readResponse takes an answer's head and body in; anything that isn't the upstream's own whole answer is broken.
func (e *exchange) readResponse(a *attempt) {
	a.head = e.d.Protocol.ReadResponseHead(a.res)
	switch {
	case a.head.ID != "" && a.head.ID != e.head.ID:
		a.discard(fmt.Errorf("the answer belongs to request %q", a.head.ID))
		return
	case a.head.NotExecuted || a.head.Misdirected:
		a.state, a.reason = notExecuted, daisygap.ReasonUpstreamShed
		a.drainBody()
		return
	case a.res.StatusCode < http.StatusMultipleChoices && (!a.head.HasStamp || a.head.ID == "" || a.head.Encoded):
		a.discard(errors.New("a success without the upstream's proof of origin"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.res.Body, maxBufferedBody+1))
	switch {
	case err != nil:
		a.discard(err)
	case len(body) > maxBufferedBody:
		a.state, a.body = streaming, body
	default:
		a.state, a.body = complete, body
		_ = a.res.Body.Close()
	}
}

// discard gives an answer up together with its connection, on which more may follow.
func (a *attempt) discard(err error) {
	a.fail(err)
	a.closeConn()
	_ = a.res.Body.Close()
}

// maxDrainBytes bounds the body of a refusal that is read to keep its connection.
const maxDrainBytes = 4 << 10

func (a *attempt) drainBody() {
	_, _ = io.CopyN(io.Discard, a.res.Body, maxDrainBytes)
	_ = a.res.Body.Close()
}

// recordOutcome tells the pool and the crash reports how an offer ended.
func (d *Daemon) recordOutcome(e *exchange, c placement.Choice, a *attempt) {
	now := d.Clock.Now()
	o := placement.Outcome{ResponseTime: a.duration, ConnectTime: a.dialTime, Load: a.head.Load}
	switch {
	case e.in.Context().Err() != nil:
		o.Result = placement.Canceled
	case a.state == unreachable:
		o.Result = placement.Unreachable
		if e.ctx.Err() != nil {
			o.Result = placement.Canceled
		}
		d.crashes.confirmCrash(c.Upstream.ID, now)
	case a.state == notExecuted:
		o.Result = placement.Shed
		if a.head.Misdirected {
			o.Result = placement.Misdirected
		}
	case a.state == outcomeUnknown:
		o.Result = placement.Failed
		if errors.Is(a.err, syscall.ETIMEDOUT) {
			o.Result = placement.Unreachable
		}
		if a.res == nil && e.ctx.Err() == nil {
			d.crashes.addSuspect(c.Upstream.ID, e.fingerprint, now)
		}
	case a.res.StatusCode >= http.StatusInternalServerError:
		o.Result = placement.Failed
		d.crashes.clear(c.Upstream.ID, e.fingerprint)
	default:
		d.crashes.clear(c.Upstream.ID, e.fingerprint)
	}
	if p := d.fleet.Pool(c.Upstream.Pool); p != nil {
		p.Done(c, e.route.Name, o, now)
	}
}
