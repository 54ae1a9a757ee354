package entry

import (
	"sync"
	"sync/atomic"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// fingerprints knows which fingerprints were at crashes.
type fingerprints struct {
	mu      sync.Mutex
	tracker poison.SuspectTracker
	// known is the number of remembered fingerprints, so that the usual request takes no lock.
	known     atomic.Int64
	ownBlocks []uint64
}

// maxOwnBlocks bounds the fingerprints that a domain tells the others of.
const maxOwnBlocks = 32

func (p *fingerprints) suspectFunc(clock *daisygap.Clock) func(uint64) bool {
	return func(hash uint64) bool {
		if p.known.Load() == 0 {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.tracker.Suspect(hash, clock.Now())
	}
}

func (p *fingerprints) isBlocked(hash uint64, now daisygap.Millis) bool {
	if p.known.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Blocked(hash, now)
}

func (p *fingerprints) clear(hash uint64) {
	if p.known.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.updateKnown()
	p.tracker.Clear(hash)
}

// recordCrash takes in a crash report and tells whether the fingerprint is held back from now on.
func (p *fingerprints) recordCrash(c daisygap.Crash, now daisygap.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.updateKnown()
	if !p.tracker.Record(c, now) {
		return false
	}
	p.ownBlocks = append(p.ownBlocks, c.Fingerprint)
	if len(p.ownBlocks) > maxOwnBlocks {
		p.ownBlocks = p.ownBlocks[1:]
	}
	return true
}

// block holds back what another domain holds back.
func (p *fingerprints) block(list []uint64, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.updateKnown()
	for _, hash := range list {
		if !p.tracker.Blocked(hash, now) {
			p.tracker.Block(hash, now)
		}
	}
}

// updateKnown publishes the number of fingerprints; the caller holds the lock.
func (p *fingerprints) updateKnown() {
	p.known.Store(int64(p.tracker.Len()))
}

// activeOwnBlocks returns the fingerprints that this domain found to be poison and that are still held back.
func (p *fingerprints) activeOwnBlocks(now daisygap.Millis) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []uint64
	for _, hash := range p.ownBlocks {
		if p.tracker.Blocked(hash, now) {
			list = append(list, hash)
		}
	}
	return list
}

// reportCrash handles a connection that broke while a request ran: it tells the domain.
func (d *Daemon) reportCrash(c daisygap.Crash) {
	d.recordCrash(c)
	d.goTask(func() { d.broadcast(daisygap.Push{Crashes: []daisygap.Crash{c}}) })
}

func (d *Daemon) recordCrash(c daisygap.Crash) {
	if d.fingerprints.recordCrash(c, d.Clock.Now()) {
		d.Log.With("poison").Warnf("request %016x crashed %s and another upstream, it is held back", c.Fingerprint, c.Upstream)
		d.forceRecordUpdate()
	}
}
