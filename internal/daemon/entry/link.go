package entry

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/pacing"
)

func cutLink(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

// links paces what this daemon puts on the links to other regions, each under its own lock.
type links struct {
	mu   sync.RWMutex
	byTo map[string]*pacer
}

type pacer struct {
	mu    sync.Mutex
	link  pacing.Link
	bytes *metrics.Counter
	timer *time.Timer
}

// set takes in the shares in bytes a second by the region that a link leads to.
func (l *links) set(shares map[string]int64, now daisygap.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTo == nil {
		l.byTo = make(map[string]*pacer)
	}
	for to, share := range shares {
		p := l.byTo[to]
		if p == nil {
			p = &pacer{bytes: metrics.GetOrCreateCounter(`daisygap_link_bytes_total{to="` + to + `"}`)}
			l.byTo[to] = p
		}
		p.mu.Lock()
		p.link.SetShare(share, now)
		p.mu.Unlock()
	}
	for to := range l.byTo {
		if _, ok := shares[to]; !ok {
			delete(l.byTo, to)
		}
	}
}

func (l *links) to(region string) *pacer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byTo[region]
}

func (l *links) release(now daisygap.Millis) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, p := range l.byTo {
		p.mu.Lock()
		p.link.Release(now)
		p.mu.Unlock()
	}
}

// backlog returns how long bytes of a rank would wait on the link to a region.
func (l *links) backlog(region string, rank daisygap.Rank) daisygap.Millis {
	p := l.to(region)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Backlog(rank)
}

// take waits until some bytes may be written.
func (p *pacer) take(ctx context.Context, clock *daisygap.Clock, rank daisygap.Rank, bytes int) error {
	ready := make(chan struct{})
	t := &pacing.Ticket{Rank: rank, Bytes: int64(bytes), Ready: func() { close(ready) }}
	p.mu.Lock()
	if p.link.Offer(t, clock.Now()) {
		p.mu.Unlock()
		p.bytes.Add(bytes)
		return nil
	}
	p.schedule(clock)
	p.mu.Unlock()
	select {
	case <-ready:
		p.bytes.Add(bytes)
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.link.Cancel(t)
		return ctx.Err()
	}
}

// schedule wakes the waiting writers when the next may go; the caller holds the lock.
func (p *pacer) schedule(clock *daisygap.Clock) {
	wait := p.link.Release(clock.Now())
	if wait == 0 {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(wait.Duration(), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.schedule(clock)
		})
		return
	}
	p.timer.Reset(wait.Duration())
}

func (p *pacer) chunk() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.link.Chunk())
}

// pacedWriter writes to a link in chunks that each wait for their turn.
type pacedWriter struct {
	ctx   context.Context
	out   io.Writer
	pacer *pacer
	clock *daisygap.Clock
	rank  daisygap.Rank
}

// Write paces and writes.
func (w *pacedWriter) Write(p []byte) (int, error) {
	done := 0
	chunk := w.pacer.chunk()
	for done < len(p) {
		n := min(chunk, len(p)-done)
		if err := w.pacer.take(w.ctx, w.clock, w.rank, n); err != nil {
			return done, err
		}
		m, err := w.out.Write(p[done : done+n])
		done += m
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// pacedReader reads a request body at the pace of the link that it is sent on.
type pacedReader struct {
	ctx   context.Context
	in    io.Reader
	pacer *pacer
	clock *daisygap.Clock
	rank  daisygap.Rank
}

// Read waits for its turn before it hands out what it read.
func (r *pacedReader) Read(p []byte) (int, error) {
	if chunk := r.pacer.chunk(); len(p) > chunk {
		p = p[:chunk]
	}
	n, err := r.in.Read(p)
	if n > 0 {
		if paceErr := r.pacer.take(r.ctx, r.clock, r.rank, n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}
