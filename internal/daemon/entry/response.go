package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/balance"
)

// deliver forwards the upstream's response to the caller. A response whose body is interrupted must end in a broken
// connection, because the caller would take a clean end for a complete body.
func (e *exchange) deliver(a attempt) {
	defer closeBody(a.response)
	h := e.out.Header()
	copyHeader(h, a.response.Header)
	h.Set(daisygap.HeaderID, e.in.Request.ID)
	h.Set(daisygap.HeaderHost, e.d.Settings.Host)
	var readErr error
	writeErr := e.paceResponse(e.ctx, e.in.Request.Rank, headerBytes(h))
	if writeErr == nil {
		e.out.WriteHeader(a.response.StatusCode)
		readErr, writeErr = e.copyBody(a.response)
	}
	switch {
	case readErr == nil && writeErr == nil:
		a.finish(balance.Succeeded)
		return
	case writeErr != nil || e.ctx.Err() != nil:
		a.finish(balance.Abandoned)
	default:
		a.finish(balance.ConnectionLost)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_broken_answers_total{kind=%q}`, e.in.Request.Kind)).Inc()
	panic(http.ErrAbortHandler)
}

// responseRegion returns the region that the response is sent to: that of the daemon that forwarded the request, or else
// that of the caller's address block.
func (e *exchange) responseRegion() string {
	if e.in.Origin != "" {
		return e.in.Origin
	}
	if table := e.d.table.Load(); table != nil {
		return table.RegionOf(e.in.Address)
	}
	return e.d.Settings.Region
}

// pacerTo returns the pacer of the link to a region, or nil for the local region and for a link without a rate limit.
func (e *exchange) pacerTo(region string) *pacer {
	if region == e.d.Settings.Region {
		return nil
	}
	return e.d.links.pacerFor(region)
}

// paceResponse waits until the given number of bytes may be sent on the response's link.
func (e *exchange) paceResponse(ctx context.Context, rank daisygap.Rank, bytes int) error {
	p := e.pacerTo(e.responseRegion())
	if p == nil {
		return nil
	}
	return p.acquire(ctx, e.d.Clock, rank, bytes)
}

const (
	// refusalBytes is the size of a refusal with its headers and receipt.
	refusalBytes = 1_536
	// refusalTimeout bounds how long a refusal waits for its link; after it the connection is closed.
	refusalTimeout = time.Second
	// flushTimeout bounds the sending of the last bytes of a response.
	flushTimeout = 2 * time.Second
)

// paceRefusal waits for the link at the highest priority, because a caller can only retry elsewhere once it has the
// refusal. It has its own timeout, since the request's deadline may have passed already.
func (e *exchange) paceRefusal() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), refusalTimeout)
	defer cancel()
	if err := e.paceResponse(ctx, daisygap.Urgent, refusalBytes); err != nil {
		e.d.Log.With("caller").Debugf("closing connection: refusal not sent in time on the link: %v", err)
		panic(http.ErrAbortHandler)
	}
}

// responseWait returns how long the first bytes of a response would wait for the link.
func (e *exchange) responseWait() daisygap.Millis {
	region := e.responseRegion()
	if region == e.d.Settings.Region {
		return 0
	}
	return e.d.links.backlog(region, e.in.Request.Rank)
}

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// copyBody streams the response body through a bounded buffer, paced if it crosses a rate-limited link.
func (e *exchange) copyBody(res *http.Response) (readErr, writeErr error) {
	var out io.Writer = e.out
	if p := e.pacerTo(e.responseRegion()); p != nil {
		out = &pacedWriter{ctx: e.ctx, out: e.out, pacer: p, clock: e.d.Clock, rank: e.in.Request.Rank}
	}
	control := http.NewResponseController(e.out)
	deadline := time.Now().Add(max(e.remaining(), 0).Duration())
	if err := control.SetWriteDeadline(deadline); err != nil {
		e.d.Log.With("caller").Debugf("cannot set write deadline: %v", err)
	}
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if _, writeErr = out.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
			if res.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, control.SetWriteDeadline(time.Now().Add(flushTimeout))
		}
		if err != nil {
			return err, nil
		}
	}
}

// refuse writes a refusal. It forwards the refusal of another daemon as received, unless that says "not run" and an
// earlier attempt may have been executed.
func (e *exchange) refuse(a attempt) {
	if e.maybeExecuted && a.refusal.Run == daisygap.NotRun {
		a.refusal.Run = daisygap.RunUnknown
		e.discard(a)
		a.peerRefusal = nil
	}
	if a.peerRefusal == nil {
		if e.in.Request.Hop == 0 {
			e.d.countRefusal(a.refusal)
		}
		e.paceRefusal()
		e.d.writeRefusal(e.out, a.refusal, "")
		return
	}
	defer closeBody(a.peerRefusal)
	e.d.countRefusal(a.refusal)
	copyHeader(e.out.Header(), a.peerRefusal.Header)
	e.paceRefusal()
	e.out.WriteHeader(a.peerRefusal.StatusCode)
	if _, err := io.Copy(e.out, a.peerRefusal.Body); err != nil {
		e.d.Log.With("caller").Debugf("cannot forward refusal to caller: %v", err)
	}
}

func (e *exchange) discard(a attempt) {
	if a.peerRefusal != nil {
		closeBody(a.peerRefusal)
	}
}

func closeBody(res *http.Response) {
	_ = res.Body.Close()
}
