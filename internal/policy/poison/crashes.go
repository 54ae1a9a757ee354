package poison

import "github.com/daisygap/daisygap"

const (
	// crashLimit is the number of upstream instances that must crash under a request before the request is blocked.
	crashLimit = 3
	// crashRetention is how long the reports on a request count after its last crash, and so how long the request stays
	// blocked, in milliseconds. An upstream needs some seconds to restart.
	crashRetention = daisygap.Millis(60_000)
	// reportPeriod is how long a report is forwarded to other daemons, in milliseconds.
	reportPeriod = daisygap.Millis(5_000)
)

// crashRecord holds the upstream instances that crashed under one request, with the times of the reports.
type crashRecord struct {
	instances map[string]daisygap.Millis
	last      daisygap.Millis
}

// CrashTracker counts the upstream instances that crashed while they ran a request, by fingerprint, from the reports of all
// daemons. It is not safe for concurrent use.
type CrashTracker struct {
	records map[uint64]*crashRecord
}

// Record adds a crash report. Repeated reports of one instance count once.
func (c *CrashTracker) Record(r daisygap.CrashReport, now daisygap.Millis) {
	if c.records == nil {
		c.records = make(map[uint64]*crashRecord)
	}
	rec := c.records[r.Fingerprint]
	if rec == nil {
		c.prune(now)
		rec = &crashRecord{instances: make(map[string]daisygap.Millis)}
		c.records[r.Fingerprint] = rec
	}
	if _, known := rec.instances[r.Instance]; !known {
		rec.instances[r.Instance] = now
		rec.last = now
	}
}

// Clear removes the reports on a request that an upstream has answered, unless the request is blocked.
func (c *CrashTracker) Clear(hash uint64) {
	if rec := c.records[hash]; rec != nil && len(rec.instances) < crashLimit {
		delete(c.records, hash)
	}
}

// Blocked reports whether a request is blocked.
func (c *CrashTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	rec := c.records[hash]
	return rec != nil && len(rec.instances) >= crashLimit && now-rec.last < crashRetention
}

// RecentReports returns the reports that are still forwarded to other daemons.
func (c *CrashTracker) RecentReports(now daisygap.Millis) []daisygap.CrashReport {
	var list []daisygap.CrashReport
	for hash, rec := range c.records {
		for id, at := range rec.instances {
			if now-at < reportPeriod {
				list = append(list, daisygap.CrashReport{Fingerprint: hash, Instance: id})
			}
		}
	}
	return list
}

func (c *CrashTracker) prune(now daisygap.Millis) {
	for hash, rec := range c.records {
		if now-rec.last > crashRetention || len(c.records) > maxFingerprints {
			delete(c.records, hash)
		}
	}
}
