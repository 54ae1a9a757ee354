package steer

import (
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// crashReports detects upstreams that crashed while they executed a request, and holds the reports that daemons share.
type crashReports struct {
	mu      sync.Mutex
	reports poison.CrashTracker
	// pending holds, by upstream ID, the requests whose connections broke and that may have crashed the upstream.
	pending map[string][]suspectRequest
}

type suspectRequest struct {
	fingerprint uint64
	at          daisygap.Millis
}

// crashWindow is the time within which an upstream must become unreachable after a broken connection to count as crashed.
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

// addSuspect records a request whose connection broke before a response.
func (c *crashReports) addSuspect(instance string, hash uint64, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[string][]suspectRequest)
	}
	c.pending[instance] = append(c.pending[instance], suspectRequest{fingerprint: hash, at: now})
}

// confirmCrash records a crash for each request whose connection to the upstream broke within crashWindow.
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

// clear removes the suspicion from an upstream and from the request that it responded to.
func (c *crashReports) clear(instance string, hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, instance)
	c.reports.Clear(hash)
}
