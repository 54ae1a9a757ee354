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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// attemptState classifies the outcome of an attempt.
type attemptState int

const (
	// complete means that the whole response was read, and streaming that its header is valid and the rest of the body is
	// still to be read.
	complete attemptState = iota
	streaming
	// notExecuted and unreachable guarantee that the upstream doesn't execute the request.
	notExecuted
	unreachable
	// outcomeUnknown covers all other failures: the upstream may have executed the request.
	outcomeUnknown
)

// attempt is one try of a request at an upstream, with its outcome.
type attempt struct {
	state  attemptState
	reason daisygap.Reason
	head   daisygap.ResponseHead
	res    *http.Response
	body   []byte
	// reserved is the memory in bytes that is reserved for the body.
	reserved int64
	// closeConn closes the upstream connection, and cancel releases the attempt's context.
	closeConn func()
	cancel    context.CancelFunc
	err       error
	started   daisygap.Millis
	duration  daisygap.Millis
	dialTime  daisygap.Millis
	choice    placement.Choice
	// broken is set if the upstream closed or reset the connection before any byte of a response.
	broken bool
	// superseded is set if the attempt was canceled because another copy of the request was answered first.
	superseded bool
}

// isSuccess reports whether the attempt has a complete response without a server error.
func (a *attempt) isSuccess() bool {
	return a.state == complete && a.res.StatusCode < http.StatusInternalServerError
}

// sendAttempt sends the request to an upstream and reads its response.
func (e *exchange) sendAttempt(ctx context.Context, c placement.Choice) *attempt {
	started := e.d.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{choice: c, cancel: cancel, started: started}
	conn := &attemptConn{clock: e.d.Clock}
	a.closeConn = conn.close
	if !e.route.Idempotent {
		defer e.giveUpUnsent(conn, cancel)()
	}
	res, err := e.d.Upstream.Send(httptrace.WithClientTrace(ctx, conn.trace()), e.upstreamRequest(c), false)
	if err != nil {
		a.fail(err)
		a.broken = a.state == outcomeUnknown && !conn.responded.Load() && ctx.Err() == nil && !isTimeout(err) && !e.bodyFailed.Load()
	} else {
		a.res = res
		e.readResponse(a)
	}
	if a.state != streaming {
		cancel()
	}
	a.duration, a.dialTime = e.d.Clock.Now()-started, daisygap.Millis(conn.dialTime.Load())
	return a
}

// giveUpUnsent cancels an attempt that has no connection yet unsentGrace after the caller has left. Once sent, the request outlives its
// caller.
func (e *exchange) giveUpUnsent(conn *attemptConn, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(e.in.Context(), func() {
		time.AfterFunc(unsentGrace.Duration(), func() {
			if conn.conn.Load() == nil {
				cancel()
			}
		})
	})
}

// countAttempt adds an attempt's outcome to what the request may already have caused at upstreams.
func (e *exchange) countAttempt(state attemptState) {
	switch state {
	case complete, streaming, outcomeUnknown:
		e.possibleRuns++
		e.reached++
	case notExecuted:
		e.reached++
	case unreachable:
		e.unreachable++
	}
}

// attemptConn tracks the connection of one attempt. Its fields are atomic because net/http may still be dialling in the
// background after the attempt has ended.
type attemptConn struct {
	clock     *daisygap.Clock
	conn      atomic.Pointer[net.Conn]
	responded atomic.Bool
	dialStart atomic.Int64
	dialTime  atomic.Int64
}

func (c *attemptConn) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart: func(string, string) { c.dialStart.Store(int64(c.clock.Now())) },
		ConnectDone:  func(string, string, error) { c.dialTime.Store(int64(c.clock.Now()) - c.dialStart.Load()) },
		GotConn:      func(i httptrace.GotConnInfo) { c.conn.Store(&i.Conn) },

		GotFirstResponseByte: func() { c.responded.Store(true) },
	}
}

func (c *attemptConn) close() {
	if p := c.conn.Load(); p != nil {
		_ = (*p).Close()
	}
}

// upstreamRequest builds the request that is sent to an upstream.
func (e *exchange) upstreamRequest(c placement.Choice) *http.Request {
	// matchRoute has checked that there is a URL.
	u, _ := e.target.URL(c.Upstream.Address)
	out := &http.Request{
		Method: e.in.Method, URL: u, Host: e.in.Host,
		Header: make(http.Header, len(e.in.Header)+2),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	forward.CopyHeaders(out.Header, e.in.Header)
	if _, named := out.Header["User-Agent"]; !named {
		out.Header["User-Agent"] = []string{""}
	}
	head := daisygap.AttemptHead{Instance: c.Upstream.ID, TimeLeft: e.deadline - e.d.Clock.Now(), NeedsKeys: e.snapshot.config.NeedsKeys}
	if e.customer != nil {
		head.Customer = e.customer.Name
	}
	e.d.Protocol.WriteAttemptHead(out.Header, head)
	switch {
	case e.bodyRest != nil:
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(e.body), e.bodyRest)), e.in.ContentLength
	case len(e.body) > 0:
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(e.body)), nil }
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(e.body)), int64(len(e.body))
	}
	return out
}

// isTimeout reports whether an upstream became silent, as one does that is cut off.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (a *attempt) fail(err error) {
	a.err = err
	a.state, a.reason = outcomeUnknown, daisygap.ReasonUpstreamFailed
	if errors.Is(err, upstream.ErrNotSent) {
		a.state, a.reason = unreachable, daisygap.ReasonUnreachable
	}
}

// readResponse reads the response header and up to maxBufferedResponse bytes of the body. A response that is incomplete, belongs
// to another request or doesn't prove that the upstream made it leaves the outcome unknown.
func (e *exchange) readResponse(a *attempt) {
	a.head = e.d.Protocol.ReadResponseHead(a.res)
	switch {
	case a.head.ID != e.head.ID:
		// It may be the response to an earlier request on the connection.
		a.discard(fmt.Errorf("response with status %d belongs to request %q", a.res.StatusCode, a.head.ID))
		return
	case a.head.NotExecuted || a.head.Misdirected:
		a.state, a.reason = notExecuted, daisygap.ReasonUpstreamShed
		a.drainBody()
		return
	case a.res.StatusCode < http.StatusMultipleChoices && (!a.head.HasStamp || a.head.Encoded):
		a.discard(errors.New("success response has no upstream stamp or is content-encoded"))
		return
	}
	limit := e.reserveResponse(a, a.res.ContentLength)
	body, err := readStart(a.res, limit)
	switch {
	case err != nil:
		a.discard(err)
	case len(body) > limit && a.res.StatusCode >= http.StatusMultipleChoices:
		a.discard(fmt.Errorf("body of a response with status %d exceeds %d bytes", a.res.StatusCode, limit))
	case len(body) > limit:
		a.state, a.body = streaming, body
	default:
		a.state, a.body = complete, body
		_ = a.res.Body.Close()
	}
}

// bodyBuffers holds buffers for the bodies of responses without a length.
var bodyBuffers = sync.Pool{New: func() any { return new([maxBufferedResponse + 1]byte) }}

// readStart reads the body of a response, or its first limit+1 bytes if it is longer. It allocates no more than it returns. The limit
// is at most maxBufferedResponse.
func readStart(res *http.Response, limit int) ([]byte, error) {
	if res.Body == http.NoBody {
		return nil, nil
	}
	if n := res.ContentLength; n >= 0 {
		body := make([]byte, min(n, int64(limit)+1))
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	if limit < maxBufferedResponse {
		return io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	}
	buffer := bodyBuffers.Get().(*[maxBufferedResponse + 1]byte)
	for n := 0; n < len(buffer); {
		m, err := res.Body.Read(buffer[n:])
		n += m
		switch {
		case errors.Is(err, io.EOF):
			defer bodyBuffers.Put(buffer)
			return bytes.Clone(buffer[:n]), nil
		case err != nil:
			bodyBuffers.Put(buffer)
			return nil, err
		}
	}
	return buffer[:], nil
}

// discard drops a response and closes its connection, because more bytes may follow on it.
func (a *attempt) discard(err error) {
	a.fail(err)
	a.closeConn()
	_ = a.res.Body.Close()
}

// maxDrainBytes bounds how much of a refusal's body is read so that its connection can be reused.
const maxDrainBytes = 4 << 10

func (a *attempt) drainBody() {
	_, _ = io.CopyN(io.Discard, a.res.Body, maxDrainBytes)
	_ = a.res.Body.Close()
}

// recordOutcome reports the outcome of an attempt to the pool and to the crash detection.
func (d *Daemon) recordOutcome(e *exchange, c placement.Choice, a *attempt) {
	now := d.Clock.Now()
	o := placement.Outcome{ResponseTime: a.duration, ConnectTime: a.dialTime, Load: a.head.Load}
	// A response to another request, or of another instance, says nothing about this upstream.
	if a.head.ID == e.head.ID && !a.head.Misdirected {
		o.Leaving, o.Pause = a.head.Leaving, a.head.Pause
		o.KnowsRate, o.NamesRate, o.Rate, o.SentAt = a.res != nil && !a.head.RateUnknown, a.head.NamesRate, a.head.Rate, a.started
	}
	switch {
	case a.superseded, a.state == outcomeUnknown && e.bodyFailed.Load(), e.in.Context().Err() != nil && (e.route.Idempotent || a.state != complete):
		o.Result = placement.Canceled
	case a.state == unreachable && e.ctx.Err() != nil:
		o.Result = placement.Canceled
	case a.state == unreachable:
		o.Result, o.Refused = placement.Unreachable, errors.Is(a.err, syscall.ECONNREFUSED)
		d.recordUnreachable(processOf(c.Upstream), a.err)
	case a.state == notExecuted:
		o.Result = placement.Shed
		if a.head.Misdirected {
			o.Result = placement.Misdirected
			d.recordEnd(processOf(c.Upstream), poison.Misdirected, now)
		}
	case a.state == outcomeUnknown:
		o.Result = placement.Failed
		if errors.Is(a.err, syscall.ETIMEDOUT) {
			o.Result = placement.Unreachable
		}
		if a.broken {
			d.recordBreak(e, a, now)
		}
	case a.res.StatusCode >= http.StatusInternalServerError:
		o.Result = placement.Failed
		d.recordAnswer(e.fingerprint, a.started, now)
	default:
		o.Rejected = a.res.StatusCode >= http.StatusBadRequest
		d.recordAnswer(e.fingerprint, a.started, now)
	}
	if p := d.fleet.Pool(c.Upstream.Pool); p != nil {
		e.logNotice(c.Upstream, p.Done(c, e.route.Name, o, now))
	}
	if a.head.Malformed != "" {
		d.event("malformed header", "malformed header", func() daisygap.Fields {
			return daisygap.Fields{"id": e.head.ID, "upstream": c.Upstream.ID, "header": a.head.Malformed}
		})
	}
}
