package poison

import "github.com/daisygap/daisygap"

const (
	// crashLimit is the number of processes that a request may end before it is held back.
	crashLimit = 3
	// crashMemory is how long a report counts, in milliseconds; an upstream is back after some seconds.
	crashMemory = daisygap.Millis(60_000)
	// reportSpan is how long a report is handed on to other daemons, in milliseconds.
	reportSpan = daisygap.Millis(5_000)
)

type crash struct {
	instances map[string]daisygap.Millis
	last      daisygap.Millis
}

// CrashTracker counts the processes that ended while they ran a request, over all daemons; it is not safe for concurrent use.
type CrashTracker struct {
	prints map[uint64]*crash
}

// Record takes a report in.
func (c *CrashTracker) Record(r daisygap.CrashReport, now daisygap.Millis) {
	if c.prints == nil {
		c.prints = make(map[uint64]*crash)
	}
	p := c.prints[r.Fingerprint]
	if p == nil {
		c.prune(now)
		p = &crash{instances: make(map[string]daisygap.Millis)}
		c.prints[r.Fingerprint] = p
	}
	if _, known := p.instances[r.Instance]; !known {
		p.instances[r.Instance] = now
		p.last = now
	}
}

// Clear forgets a request that an upstream has answered, unless it is held back.
func (c *CrashTracker) Clear(hash uint64) {
	if p := c.prints[hash]; p != nil && len(p.instances) < crashLimit {
		delete(c.prints, hash)
	}
}

// Blocked tells whether a request is held back.
func (c *CrashTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	p := c.prints[hash]
	return p != nil && len(p.instances) >= crashLimit && now-p.last < crashMemory
}

// RecentReports returns the reports that other daemons may lack.
func (c *CrashTracker) RecentReports(now daisygap.Millis) []daisygap.CrashReport {
	var list []daisygap.CrashReport
	for hash, p := range c.prints {
		for id, at := range p.instances {
			if now-at < reportSpan {
				list = append(list, daisygap.CrashReport{Fingerprint: hash, Instance: id})
			}
		}
	}
	return list
}

func (c *CrashTracker) prune(now daisygap.Millis) {
	for hash, p := range c.prints {
		if now-p.last > crashMemory || len(c.prints) > maxPrints {
			delete(c.prints, hash)
		}
	}
}
