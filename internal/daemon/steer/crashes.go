package steer

import (
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// crashReports shares reports of upstreams that ended under a request.
type crashReports struct {
	mu      sync.Mutex
	reports poison.CrashTracker
	// pending holds the broken requests of upstreams that may have ended.
	pending map[string][]suspectRequest
}

type suspectRequest struct {
	fingerprint uint64
	at          daisygap.Millis
}

// crashWindow is how soon after a broken connection its upstream must prove unreachable for a crash.
const crashWindow = daisygap.Millis(1_500)

func (c *crashReports) recent(now daisygap.Millis) []daisygap.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports.RecentReports(now)
}

func (c *crashReports) merge(reports []daisygap.CrashReport, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.reports.Record(r, now)
	}
}

func (c *crashReports) blocked(hash uint64, now daisygap.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports.Blocked(hash, now)
}

// addSuspect notes a request whose connection broke before an answer.
func (c *crashReports) addSuspect(instance string, hash uint64, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[string][]suspectRequest)
	}
	c.pending[instance] = append(c.pending[instance], suspectRequest{fingerprint: hash, at: now})
}

// confirmCrash confirms that an upstream ended, and blames the requests that just broke there.
func (c *crashReports) confirmCrash(instance string, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending[instance] {
		if now-s.at < crashWindow {
			c.reports.Record(daisygap.CrashReport{Fingerprint: s.fingerprint, Instance: instance}, now)
		}
	}
	delete(c.pending, instance)
}

// clear clears an upstream and the request that it clear.
func (c *crashReports) clear(instance string, hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, instance)
	c.reports.Clear(hash)
}
