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
	"github.com/daisygap/daisygap/internal/policy/quota"
)

func splitLink(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

// links paces the bytes that this daemon sends on the links to other regions; each link has its own lock.
type links struct {
	mu       sync.RWMutex
	byRegion map[string]*pacer
	// onWrite is called for each write, if it is set.
	onWrite func(region string, bytes int)
}

type pacer struct {
	mu      sync.Mutex
	link    pacing.Link
	rate    quota.Rate
	onWrite func(bytes int)
	timer   *time.Timer
	// sent counts the bytes since the last tick, and usedRate is their smoothed rate in bytes per second.
	sent     int64
	usedRate float64
	lastTick daisygap.Millis
}

// usedRateWeight smooths the used rate over about ten ticks.
const usedRateWeight = 0.1

// tick updates the used rate, applies the effect of loans on the rate, and admits waiting writers; the lock must be held.
func (p *pacer) tick(now daisygap.Millis) {
	if elapsed := now - p.lastTick; elapsed > 0 {
		p.usedRate += usedRateWeight * (float64(p.sent)*1000/float64(elapsed) - p.usedRate)
		p.sent, p.lastTick = 0, now
	}
	p.link.SetShare(p.rate.Effective(now), p.rate.Share, now)
	p.link.Release(now)
}

// setShares sets the daemon's shares of the links, in bytes per second by destination region.
func (l *links) setShares(shares map[string]int64, now daisygap.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRegion == nil {
		l.byRegion = make(map[string]*pacer)
	}
	for to, share := range shares {
		p := l.byRegion[to]
		if p == nil {
			p = l.newPacer(to)
			l.byRegion[to] = p
		}
		p.mu.Lock()
		p.rate.Share = share
		p.link.SetShare(p.rate.Effective(now), share, now)
		p.mu.Unlock()
	}
	for to := range l.byRegion {
		if _, ok := shares[to]; !ok {
			delete(l.byRegion, to)
		}
	}
}

func (l *links) newPacer(to string) *pacer {
	counter := metrics.GetOrCreateCounter(`daisygap_link_bytes_total{to="` + to + `"}`)
	return &pacer{onWrite: func(bytes int) {
		counter.Add(bytes)
		if l.onWrite != nil {
			l.onWrite(to, bytes)
		}
	}}
}

func (l *links) pacerFor(region string) *pacer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byRegion[region]
}

func (l *links) tick(now daisygap.Millis) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, p := range l.byRegion {
		p.mu.Lock()
		p.tick(now)
		p.mu.Unlock()
	}
}

// withinShares reports whether the lent parts of all links fit into the daemon's shares.
func (l *links) withinShares(now daisygap.Millis) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, p := range l.byRegion {
		p.mu.Lock()
		ok := p.rate.WithinShare(now)
		p.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// demand returns the links with a backlog above borrowBacklog by destination region. Each has the rate to ask other daemons
// for, in bytes per second: four times the daemon's own share.
func (l *links) demand() map[string]int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := make(map[string]int64)
	for to, p := range l.byRegion {
		p.mu.Lock()
		if p.link.Backlog(daisygap.Background) > borrowBacklog {
			list[to] = 4 * p.rate.Share
		}
		p.mu.Unlock()
	}
	return list
}

// borrowBacklog is the backlog from which a daemon borrows parts of a link from others, in milliseconds.
const borrowBacklog = daisygap.Millis(20)

// lend lends an unused part of a link.
func (l *links) lend(to string, want int64, now daisygap.Millis) (id uint64, amount int64) {
	p := l.pacerFor(to)
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link.Backlog(daisygap.Background) > 0 {
		return 0, 0
	}
	id, amount = p.rate.Lend(want, int64(p.usedRate), now)
	p.tick(now)
	return id, amount
}

// borrow adds a borrowed part of a link that was requested at the given time.
func (l *links) borrow(to, peer string, loan daisygap.Loan, requestedAt, now daisygap.Millis) {
	p := l.pacerFor(to)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate.Borrow(peer, loan.ID, int64(loan.Amount), requestedAt, now)
	p.tick(now)
}

// backlog returns how long bytes of a rank would wait for the link to a region.
func (l *links) backlog(region string, rank daisygap.Rank) daisygap.Millis {
	p := l.pacerFor(region)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Backlog(rank)
}

// acquire waits until the given number of bytes may be written. The caller must write them at once.
func (p *pacer) acquire(ctx context.Context, clock *daisygap.Clock, rank daisygap.Rank, bytes int) error {
	ready := make(chan struct{}, 1)
	t := &pacing.Reservation{Rank: rank, Bytes: int64(bytes), Ready: func() { ready <- struct{}{} }}
	p.mu.Lock()
	p.sent += int64(bytes)
	mayWrite := p.link.Reserve(t, clock.Now())
	for !mayWrite {
		p.schedule(clock)
		p.mu.Unlock()
		if err := p.waitTurn(ctx, t, ready); err != nil {
			return err
		}
		p.mu.Lock()
		mayWrite = p.link.Confirm(t, clock.Now())
		if !mayWrite {
			lateWrites.Inc()
		}
	}
	p.mu.Unlock()
	p.onWrite(bytes)
	return nil
}

// lateWrites counts writers that the scheduler resumed too late for their turn; they have to wait for another one.
var lateWrites = metrics.NewCounter("daisygap_link_late_writes_total")

func (p *pacer) waitTurn(ctx context.Context, t *pacing.Reservation, ready chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.link.Cancel(t)
		return ctx.Err()
	}
}

// schedule arms a timer for the next waiting writer; the lock must be held.
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

// pacedWriter writes to a link in chunks, each of which waits for its turn.
type pacedWriter struct {
	ctx   context.Context
	out   io.Writer
	pacer *pacer
	clock *daisygap.Clock
	rank  daisygap.Rank
}

// Write writes p in chunks at the pace of the link.
func (w *pacedWriter) Write(p []byte) (int, error) {
	done := 0
	chunk := w.pacer.chunk()
	for done < len(p) {
		n := min(chunk, len(p)-done)
		if err := w.pacer.acquire(w.ctx, w.clock, w.rank, n); err != nil {
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

// pacedReader reads a request body at the pace of the link that the request is forwarded on.
type pacedReader struct {
	ctx   context.Context
	in    io.Reader
	pacer *pacer
	clock *daisygap.Clock
	rank  daisygap.Rank
}

// Read reads at most one chunk, and returns it once the link may send it.
func (r *pacedReader) Read(p []byte) (int, error) {
	if chunk := r.pacer.chunk(); len(p) > chunk {
		p = p[:chunk]
	}
	n, err := r.in.Read(p)
	if n > 0 {
		if paceErr := r.pacer.acquire(r.ctx, r.clock, r.rank, n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}
