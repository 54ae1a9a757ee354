package entry

import (
	"sync"
	"sync/atomic"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// prints knows which fingerprints were at crashes.
type prints struct {
	mu       sync.Mutex
	register poison.SuspectTracker
	// known is the number of remembered fingerprints, so that the usual request takes no lock.
	known   atomic.Int64
	blocked []uint64
}

// maxBlocked bounds the fingerprints that a domain tells the others of.
const maxBlocked = 32

func (p *prints) suspect(clock *daisygap.Clock) func(uint64) bool {
	return func(hash uint64) bool {
		if p.known.Load() == 0 {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.register.Suspect(hash, clock.Now())
	}
}

func (p *prints) isBlocked(hash uint64, now daisygap.Millis) bool {
	if p.known.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.register.Blocked(hash, now)
}

func (p *prints) clear(hash uint64) {
	if p.known.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.count()
	p.register.Clear(hash)
}

// note takes in a crash report and tells whether the fingerprint is held back from now on.
func (p *prints) note(c daisygap.Crash, now daisygap.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.count()
	if !p.register.Record(c, now) {
		return false
	}
	p.blocked = append(p.blocked, c.Fingerprint)
	if len(p.blocked) > maxBlocked {
		p.blocked = p.blocked[1:]
	}
	return true
}

// block holds back what another domain holds back.
func (p *prints) block(list []uint64, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.count()
	for _, hash := range list {
		if !p.register.Blocked(hash, now) {
			p.register.Block(hash, now)
		}
	}
}

// count publishes the number of fingerprints; the caller holds the lock.
func (p *prints) count() {
	p.known.Store(int64(p.register.Len()))
}

// ownBlocked returns the fingerprints that this domain found to be poison and that are still held back.
func (p *prints) ownBlocked(now daisygap.Millis) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []uint64
	for _, hash := range p.blocked {
		if p.register.Blocked(hash, now) {
			list = append(list, hash)
		}
	}
	return list
}

// crashed handles a connection that broke while a request ran: it tells the domain.
func (d *Daemon) crashed(c daisygap.Crash) {
	d.noteCrash(c)
	d.background(func() { d.spread(daisygap.Push{Crashes: []daisygap.Crash{c}}) })
}

func (d *Daemon) noteCrash(c daisygap.Crash) {
	if d.prints.note(c, d.Clock.Now()) {
		d.Log.With("poison").Warnf("request %016x crashed %s and another upstream, it is held back", c.Fingerprint, c.Upstream)
		d.gossipChanged()
	}
}
