package steer

import (
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

// crashes shares reports of upstreams that ended under a request.
type crashes struct {
	mu    sync.Mutex
	known poison.CrashTracker
	// pending holds the broken requests of upstreams that may have ended.
	pending map[string][]brokenRequest
}

type brokenRequest struct {
	print uint64
	at    daisygap.Millis
}

// crashNear is how soon after a broken connection its upstream must prove unreachable for a crash.
const crashNear = daisygap.Millis(1_500)

func (c *crashes) recent(now daisygap.Millis) []daisygap.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.RecentReports(now)
}

func (c *crashes) take(reports []daisygap.CrashReport, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.known.Record(r, now)
	}
}

func (c *crashes) blocked(hash uint64, now daisygap.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.Blocked(hash, now)
}

// broken notes a request whose connection broke before an answer.
func (c *crashes) broken(instance string, hash uint64, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[string][]brokenRequest)
	}
	c.pending[instance] = append(c.pending[instance], brokenRequest{print: hash, at: now})
}

// unreached confirms that an upstream ended, and blames the requests that just broke there.
func (c *crashes) unreached(instance string, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.pending[instance] {
		if now-b.at < crashNear {
			c.known.Record(daisygap.CrashReport{Fingerprint: b.print, Instance: instance}, now)
		}
	}
	delete(c.pending, instance)
}

// answered clears an upstream and the request that it answered.
func (c *crashes) answered(instance string, hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, instance)
	c.known.Clear(hash)
}
