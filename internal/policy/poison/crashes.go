package poison

import "github.com/daisygap/daisygap"

const (
	// crashLimit is the number of processes that a request may end before it is held back.
	crashLimit = 3
	// crashRetention is how long a report counts, in milliseconds; an upstream is back after some seconds.
	crashRetention = daisygap.Millis(60_000)
	// reportPeriod is how long a report is handed on to other daemons, in milliseconds.
	reportPeriod = daisygap.Millis(5_000)
)

type crashRecord struct {
	instances map[string]daisygap.Millis
	last      daisygap.Millis
}

// CrashTracker counts the processes that ended while they ran a request, over all daemons; it is not safe for concurrent use.
type CrashTracker struct {
	records map[uint64]*crashRecord
}

// Record takes a report in.
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

// Clear forgets a request that an upstream has answered, unless it is held back.
func (c *CrashTracker) Clear(hash uint64) {
	if rec := c.records[hash]; rec != nil && len(rec.instances) < crashLimit {
		delete(c.records, hash)
	}
}

// Blocked tells whether a request is held back.
func (c *CrashTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	rec := c.records[hash]
	return rec != nil && len(rec.instances) >= crashLimit && now-rec.last < crashRetention
}

// RecentReports returns the reports that other daemons may lack.
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
