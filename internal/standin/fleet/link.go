package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/daisygap/daisygap"
)

const (
	// linkRecordMillis is how long the writes on links are recorded, in milliseconds.
	linkRecordMillis = 10 * 60_000
	linkWindowMillis = 100
)

// linkRecord holds the bytes that all daemons together wrote on a link in each millisecond; it has no lock that could delay a writer.
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

// LinkBytes returns what the daemons wrote on a link so far, in bytes: the most in any 100 ms, and in all.
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

// linkCapViolations returns the links that carried more than their cap in some window of 100 ms.
func (f *Fleet) linkCapViolations(c *daisygap.Configuration) []string {
	var violations []string
	for _, name := range slices.Sorted(maps.Keys(c.Links)) {
		limit := c.Links[name].Rate * linkWindowMillis / 1000
		if peak, _ := f.LinkBytes(name); limit > 0 && peak > limit {
			violations = append(violations, fmt.Sprintf("link %s carried %d bytes in 100 ms, its cap is %d", name, peak, limit))
		}
	}
	return violations
}
