package placement

import (
	"math"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// sliceLength and driftSlices make up the window of two seconds in which the regions' shares are counted.
	sliceLength     = daisygap.Millis(250)
	slicesPerWindow = 8
	// maxShareShift is the part of the requests that may run in another region than in the window before, beside what chance moves; the
	// platform bears 0.15 for all daemons of a region, and shares go on moving while older requests leave the window.
	maxShareShift = 0.06
	// minWindowRequests is the number of requests in a window below which shares are mostly chance.
	minWindowRequests = 60
	// lostShareRatio is the part of the allowed loss of a region's share from which on it takes late work.
	lostShareRatio = 0.5
)

// shiftLimiter counts in which regions this daemon's requests run, so that no change of traffic moves many at once; it is safe for concurrent use.
type shiftLimiter struct {
	mu sync.Mutex
	// slices are the counts by region, the newest at the position of the current slice.
	slices [2 * slicesPerWindow]map[string]float64
	slice  daisygap.Millis
}

// windowCounts are the requests by region of the current window and of the one before it.
type windowCounts struct {
	current, before    map[string]float64
	total, totalBefore float64
}

// tooFew tells whether shares are mostly chance.
func (w *windowCounts) tooFew() bool {
	return w.total < minWindowRequests || w.totalBefore < minWindowRequests
}

// maxShift is the part of the requests that may move, chance included: the largest standard deviation of the difference of two shares.
func (w *windowCounts) maxShift() float64 {
	return maxShareShift + 0.5*math.Sqrt(1/w.total+1/w.totalBefore)
}

// gain is by how much a region's share grew.
func (w *windowCounts) gain(region string) float64 {
	return w.current[region]/w.total - w.before[region]/w.totalBefore
}

// allows tells whether one more request may run in a region.
func (d *shiftLimiter) allows(region string, now daisygap.Millis) bool {
	w := d.windows(now)
	if w.tooFew() {
		return true
	}
	w.current[region]++
	w.total++
	moved := 0.0
	for r := range w.current {
		moved += max(0, w.gain(r))
	}
	return moved <= w.maxShift() || w.gain(region) <= 0
}

// hasLostShare tells whether a region's share fell by so much that it has to take more than its upstreams serve in time.
func (d *shiftLimiter) hasLostShare(region string, now daisygap.Millis) bool {
	w := d.windows(now)
	return !w.tooFew() && -w.gain(region) > lostShareRatio*w.maxShift()
}

func (d *shiftLimiter) windows(now daisygap.Millis) windowCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	w := windowCounts{current: make(map[string]float64), before: make(map[string]float64)}
	for i := range d.slices {
		to, sum := w.current, &w.total
		if i >= slicesPerWindow {
			to, sum = w.before, &w.totalBefore
		}
		for r, n := range d.slices[int(d.slice-daisygap.Millis(i)+2*slicesPerWindow)%len(d.slices)] {
			to[r] += n
			*sum += n
		}
	}
	return w
}

// record counts a request.
func (d *shiftLimiter) record(region string, now daisygap.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	at := &d.slices[int(d.slice)%len(d.slices)]
	if *at == nil {
		*at = make(map[string]float64)
	}
	(*at)[region]++
}

// advance drops the slices that are over.
func (d *shiftLimiter) advance(now daisygap.Millis) {
	slice := now / sliceLength
	for n := min(slice-d.slice, daisygap.Millis(len(d.slices))); n > 0; n-- {
		d.slices[int(slice-n+1)%len(d.slices)] = nil
	}
	d.slice = max(d.slice, slice)
}
