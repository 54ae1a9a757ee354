package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/daisygap/daisygap"
)

const (
	// linkRecordMillis is how long link writes are recorded after the start: 10 minutes.
	linkRecordMillis = 10 * 60_000
	linkWindowMillis = 100
)

// linkRecord holds the bytes that all daemons together wrote to a link in each millisecond. It uses atomic counters
// because a lock could delay writers.
type linkRecord []atomic.Int64

func newLinkRecords(c *daisygap.Configuration) map[string]linkRecord {
	records := make(map[string]linkRecord, len(c.Links))
	for name := range c.Links {
		records[name] = make(linkRecord, linkRecordMillis)
	}
	return records
}

func (f *Fleet) recordLinkWrite(from, to string, bytes int) {
	r := f.linkWrites[from+">"+to]
	if now := f.Clock.Now(); now < daisygap.Millis(len(r)) {
		r[now].Add(int64(bytes))
	}
}

// LinkBytes returns the bytes that all daemons together have written to a link: the highest sum of any 100 ms window,
// and the total.
func (f *Fleet) LinkBytes(name string) (peak, total int64) {
	r := f.linkWrites[name]
	window := int64(0)
	for i := range r {
		bytes := r[i].Load()
		total += bytes
		window += bytes
		if i >= linkWindowMillis {
			window -= r[i-linkWindowMillis].Load()
		}
		peak = max(peak, window)
	}
	return peak, total
}

// linkCapViolations describes the links that exceeded their rate limit in any 100 ms window.
func (f *Fleet) linkCapViolations(c *daisygap.Configuration) []string {
	var violations []string
	for _, name := range slices.Sorted(maps.Keys(c.Links)) {
		limit := c.Links[name].Rate * linkWindowMillis / 1000
		if peak, _ := f.LinkBytes(name); limit > 0 && peak > limit {
			violations = append(violations, fmt.Sprintf("link %s carried %d bytes in 100 ms, above its limit of %d", name, peak, limit))
		}
	}
	return violations
}
