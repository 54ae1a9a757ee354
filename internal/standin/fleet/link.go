package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/daisygap/daisygap"
)

const (
	// linkSpan is how long the writes on links are recorded, in milliseconds.
	linkSpan   = 10 * 60_000
	linkWindow = 100
)

// linkRecord holds the bytes that all daemons together wrote on a link in each millisecond; it has no lock that could delay a writer.
type linkRecord []atomic.Int64

func newLinkRecords(c *daisygap.Configuration) map[string]linkRecord {
	records := make(map[string]linkRecord, len(c.Links))
	for name := range c.Links {
		records[name] = make(linkRecord, linkSpan)
	}
	return records
}

func (f *Fleet) wrote(from, to string, bytes int) {
	r := f.links[from+">"+to]
	if now := f.Clock.Now(); now < daisygap.Millis(len(r)) {
		r[now].Add(int64(bytes))
	}
}

// LinkBytes returns what the daemons wrote on a link so far, in bytes: the most in any 100 ms, and in all.
func (f *Fleet) LinkBytes(name string) (peak, total int64) {
	r := f.links[name]
	window := int64(0)
	for i := range r {
		bytes := r[i].Load()
		total += bytes
		window += bytes
		if i >= linkWindow {
			window -= r[i-linkWindow].Load()
		}
		peak = max(peak, window)
	}
	return peak, total
}

// overLinks returns the links that carried more than their cap in some window of 100 ms.
func (f *Fleet) overLinks(c *daisygap.Configuration) []string {
	var over []string
	for _, name := range slices.Sorted(maps.Keys(c.Links)) {
		allowed := c.Links[name].Rate * linkWindow / 1000
		if peak, _ := f.LinkBytes(name); allowed > 0 && peak > allowed {
			over = append(over, fmt.Sprintf("link %s carried %d bytes in 100 ms, its cap is %d", name, peak, allowed))
		}
	}
	return over
}
