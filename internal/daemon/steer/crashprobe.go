package steer

import (
	"context"
	"errors"
	"syscall"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

const (
	// crashProbeTimeout bounds one attempt to connect to an upstream whose connection broke.
	crashProbeTimeout = daisygap.Millis(1_000)
	// crashProbeDelay is the time before the second attempt, since a process that ends may close its connections before its
	// listener.
	crashProbeDelay = daisygap.Millis(100)
	// crashProbeInterval is the minimum time between two probes of a process.
	crashProbeInterval = daisygap.Millis(1_000)
	// crashVerdictWait is how long a request under which several connections broke in a row waits for the probe before a retry.
	crashVerdictWait = daisygap.Millis(250)
	// maxCrashProbes bounds the probes that are remembered.
	maxCrashProbes = 256
)

// crashProbe finds out whether a process ended, by opening connections to it.
type crashProbe struct {
	started daisygap.Millis
	// firstEnded is closed when the first attempt to connect has ended.
	firstEnded chan struct{}
}

// probeCrash starts a probe of a process unless there was one lately.
func (d *Daemon) probeCrash(p daisygap.Process, address string) {
	c, now := &d.crashes, d.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.probes[p]; old != nil && now-old.started < crashProbeInterval {
		return
	}
	for id, old := range c.probes {
		if now-old.started >= crashProbeInterval {
			delete(c.probes, id)
		}
	}
	if len(c.probes) >= maxCrashProbes {
		return
	}
	if c.probes == nil {
		c.probes = make(map[daisygap.Process]*crashProbe)
	}
	probe := &crashProbe{started: now, firstEnded: make(chan struct{})}
	c.probes[p] = probe
	go func() {
		connected := d.connects(p, address)
		close(probe.firstEnded)
		if connected && d.sleep(crashProbeDelay) && d.connects(p, address) {
			d.updateTracker(func(t *poison.Tracker) { t.Survive(p, d.Clock.Now()) })
		}
	}()
}

// connects reports whether a connection to a process can be opened, and otherwise records what that shows.
func (d *Daemon) connects(p daisygap.Process, address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, crashProbeTimeout.Duration())
	defer cancel()
	err := d.Upstream.Probe(ctx, address)
	if err != nil && d.ctx.Err() == nil {
		d.recordUnreachable(p, err)
	}
	return err == nil
}

// recordUnreachable records that no connection to a process could be opened. A refused connection shows that nothing listens there.
func (d *Daemon) recordUnreachable(p daisygap.Process, err error) {
	now := d.Clock.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.noteRefused(p)
		d.recordEnd(p, poison.Refused, now)
		return
	}
	d.updateCrashes(func(t *poison.Tracker) { t.FailDial(p, now) })
}

// awaitCrashVerdict waits for the probe of the process at which an attempt broke, if it isn't the first connection in a row that
// broke under the request.
func (e *exchange) awaitCrashVerdict(a *attempt) {
	c := &e.d.crashes
	if !a.broken || c.breaks(e.fingerprint, e.d.Clock.Now()) < 2 {
		return
	}
	c.mu.Lock()
	probe := c.probes[processOf(a.choice.Upstream)]
	c.mu.Unlock()
	if probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, crashVerdictWait.Duration())
	defer cancel()
	select {
	case <-probe.firstEnded:
	case <-ctx.Done():
	}
}
