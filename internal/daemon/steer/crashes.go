package steer

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// crashes finds requests that crash upstreams, from this daemon's broken connections and the reports of other daemons.
type crashes struct {
	mu      sync.Mutex
	tracker poison.Tracker
	// known is the number of requests with reports; while it is 0, requests need no lock.
	known  atomic.Int64
	probes map[daisygap.Process]*crashProbe
	// wake triggers a message to other daemons.
	wake chan struct{}
	sync crashSync
}

// admit returns whether a request may be sent to an upstream.
func (c *crashes) admit(fingerprint uint64, now daisygap.Millis) poison.Admission {
	if c.known.Load() == 0 {
		return poison.Free
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Admit(fingerprint, now)
}

func (c *crashes) release(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Release(fingerprint)
}

func (c *crashes) blocked(fingerprint uint64, now daisygap.Millis) bool {
	if c.known.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Blocked(fingerprint, now)
}

func (c *crashes) suspect(fingerprint uint64, now daisygap.Millis) bool {
	if c.known.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Suspect(fingerprint, now)
}

// breaks returns the number of times in a row that a connection broke under the request.
func (c *crashes) breaks(fingerprint uint64, now daisygap.Millis) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Breaks(fingerprint, now)
}

// reports returns the reports for other daemons: all, or only the recent ones and those on blocked requests.
func (c *crashes) reports(all bool, now daisygap.Millis) ([]daisygap.CrashReport, []daisygap.AnswerReport) {
	if c.known.Load() == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Reports(all, now)
}

// recordAnswer records that an upstream answered a request that was sent at the given time.
func (d *Daemon) recordAnswer(fingerprint uint64, sent, now daisygap.Millis) {
	if d.crashes.known.Load() > 0 {
		d.updateCrashes(func(t *poison.Tracker) { t.Answer(fingerprint, sent, now) })
	}
}

// updateCrashes applies a function to the tracker, and sends a crash under a request of this daemon to the others.
func (d *Daemon) updateCrashes(f func(*poison.Tracker)) {
	host := d.crashes.tracker.Host
	if slices.ContainsFunc(d.updateTracker(f), func(c poison.Change) bool { return c.Kind == poison.Crashed && c.Host == host }) {
		d.wakeNewsPush()
	}
}

// updateTracker applies a function to the tracker, and logs and returns what it changed.
func (d *Daemon) updateTracker(f func(*poison.Tracker)) []poison.Change {
	c := &d.crashes
	c.mu.Lock()
	f(&c.tracker)
	changes := c.tracker.TakeChanges()
	c.known.Store(int64(c.tracker.Len()))
	suspectedGauge.set(uint64(c.tracker.Len()))
	blockedGauge.set(uint64(c.tracker.BlockedLen()))
	c.mu.Unlock()
	for _, x := range changes {
		d.logCrashChange(x)
	}
	return changes
}

var (
	suspectedGauge atomicGauge
	blockedGauge   atomicGauge
)

func (d *Daemon) logCrashChange(c poison.Change) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_crash_changes_total{kind=%q,evidence=%q}`, c.Kind, c.Evidence)).Inc()
	name := "request " + string(c.Kind)
	d.event(name, name, func() daisygap.Fields {
		f := daisygap.Fields{"fingerprint": formatFingerprint(c.Fingerprint)}
		if c.Process.ID != "" {
			f["upstream"], f["run"], f["by"] = c.Process.ID, c.Process.StartTime, c.Host
		}
		if c.Evidence != "" {
			f["evidence"] = c.Evidence
		}
		if c.Kind == poison.NewlyBlocked {
			f["weight"], f["for_ms"] = c.Weight, c.For
		}
		return f
	})
}

func formatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

func processOf(u *placement.Upstream) daisygap.Process {
	return daisygap.Process{ID: u.ID, StartTime: u.StartTime}
}

// recordBreak records that the connection of an attempt broke before any byte of a response, and looks for evidence that the process
// ended.
func (d *Daemon) recordBreak(e *exchange, a *attempt, now daisygap.Millis) {
	u := a.choice.Upstream
	r := daisygap.CrashReport{Fingerprint: e.fingerprint, Process: processOf(u), Sent: a.started, Broken: now, Alone: e.alone}
	d.updateCrashes(func(t *poison.Tracker) { t.Break(r, now) })
	d.probeCrash(r.Process, u.Address)
	if p := d.fleet.Pool(u.Pool); p != nil {
		p.CheckBroken(u, now)
	}
}

// recordEnd records evidence that a process ended.
func (d *Daemon) recordEnd(p daisygap.Process, evidence poison.Evidence, now daisygap.Millis) {
	d.updateCrashes(func(t *poison.Tracker) { t.End(p, evidence, now) })
}
