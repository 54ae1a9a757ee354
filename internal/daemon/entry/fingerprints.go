package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// fingerprints records the fingerprints of requests that were in flight when an upstream crashed.
type fingerprints struct {
	mu      sync.Mutex
	tracker poison.Tracker
	// known is the number of recorded fingerprints; while it is 0, requests need no lock.
	known     atomic.Int64
	ownBlocks []uint64
}

// maxOwnBlocks bounds the blocked fingerprints that a domain propagates to the others.
const maxOwnBlocks = 32

func (f *fingerprints) suspectFunc(clock *daisygap.Clock) func(uint64) bool {
	return func(hash uint64) bool {
		if f.known.Load() == 0 {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.tracker.Suspect(hash, clock.Now())
	}
}

func (f *fingerprints) isBlocked(hash uint64, now daisygap.Millis) bool {
	if f.known.Load() == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Blocked(hash, now)
}

// answer records that an upstream answered a request that was sent at the given time.
func (f *fingerprints) answer(hash uint64, sent, now daisygap.Millis) {
	if f.known.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.updateKnown()
	f.tracker.Answer(hash, sent, now)
	f.tracker.TakeChanges()
}

// recordCrash records a crash report, and reports whether the fingerprint became blocked.
func (f *fingerprints) recordCrash(c daisygap.CrashReport, now daisygap.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.updateKnown()
	f.tracker.Merge([]daisygap.CrashReport{c}, nil, now)
	blocked := slices.ContainsFunc(f.tracker.TakeChanges(), func(c poison.Change) bool { return c.Kind == poison.NewlyBlocked })
	if !blocked {
		return false
	}
	f.ownBlocks = append(f.ownBlocks, c.Fingerprint)
	if len(f.ownBlocks) > maxOwnBlocks {
		f.ownBlocks = f.ownBlocks[1:]
	}
	return true
}

// block blocks the fingerprints that another domain has blocked.
func (f *fingerprints) block(list []uint64, now daisygap.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.updateKnown()
	for _, hash := range list {
		if !f.tracker.Blocked(hash, now) {
			f.tracker.Block(hash, now)
		}
	}
}

// updateKnown publishes the number of fingerprints; the lock must be held.
func (f *fingerprints) updateKnown() {
	f.known.Store(int64(f.tracker.Len()))
}

// activeOwnBlocks returns the fingerprints that this domain blocked itself and whose block hasn't expired.
func (f *fingerprints) activeOwnBlocks(now daisygap.Millis) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []uint64
	for _, hash := range f.ownBlocks {
		if f.tracker.Blocked(hash, now) {
			list = append(list, hash)
		}
	}
	return list
}

// crashReportTimeout is how long the caller of a request that crashed an upstream waits until other daemons of the domain know.
const crashReportTimeout = daisygap.Millis(250)

const (
	// endProbeTimeout bounds one attempt to connect to an upstream that closed a connection, and endProbePause is the time before the
	// second attempt, since a process that ends may close its connections before its listener.
	endProbeTimeout = daisygap.Millis(250)
	endProbePause   = daisygap.Millis(20)
)

// hasEnded reports whether nothing listens at an upstream's address. An upstream that only lost a response accepts the connection.
func (d *Daemon) hasEnded(address string) bool {
	isRefused := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout.Duration())
		defer cancel()
		return errors.Is(d.Upstream.Probe(ctx, address), syscall.ECONNREFUSED)
	}
	if isRefused() {
		return true
	}
	time.Sleep(endProbePause.Duration())
	return isRefused()
}

// reportCrash records that an upstream closed its connection while it executed a request, if its process ended, and propagates it in the
// domain. It waits for the next daemons, because the caller may send the request to one of them as soon as it has its response.
func (d *Daemon) reportCrash(c daisygap.CrashReport, address string) {
	if c.Ended = d.hasEnded(address); !c.Ended {
		return
	}
	d.recordCrash(c)
	d.broadcastAndWait(daisygap.Push{Crashes: []daisygap.CrashReport{c}}, crashReportTimeout)
}

func (d *Daemon) recordCrash(c daisygap.CrashReport) {
	if d.fingerprints.recordCrash(c, d.Clock.Now()) {
		d.Log.With("poison").Warnf("blocking requests with fingerprint %016x: they crashed %s and another upstream", c.Fingerprint, c.Process.ID)
		d.forceRecordUpdate()
	}
}
