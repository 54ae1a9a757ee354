package placement

import (
	"math"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// driftSlice and driftSlices make up the window of two seconds in which the regions' shares are counted.
	driftSlice  = daisygap.Millis(250)
	driftSlices = 8
	// maxDrift is the part of the requests that may run in another region than in the window before, beside what chance moves; the
	// platform bears 0.15 for all daemons of a region, and shares go on moving while older requests leave the window.
	maxDrift = 0.06
	// driftSample is the number of requests in a window below which shares are mostly chance.
	driftSample = 60
	// lackShare is the part of the allowed loss of a region's share from which on it takes late work.
	lackShare = 0.5
)

// drift counts in which regions this daemon's requests run, so that no change of traffic moves many at once; it is safe for concurrent use.
type drift struct {
	mu sync.Mutex
	// slices are the counts by region, the newest at the position of the current slice.
	slices [2 * driftSlices]map[string]float64
	slice  daisygap.Millis
}

// windows are the requests by region of the current window and of the one before it.
type windows struct {
	current, before map[string]float64
	all, allBefore  float64
}

// few tells whether shares are mostly chance.
func (w *windows) few() bool {
	return w.all < driftSample || w.allBefore < driftSample
}

// limit is the part of the requests that may move, chance included: the largest standard deviation of the difference of two shares.
func (w *windows) limit() float64 {
	return maxDrift + 0.5*math.Sqrt(1/w.all+1/w.allBefore)
}

// gained is by how much a region's share grew.
func (w *windows) gained(region string) float64 {
	return w.current[region]/w.all - w.before[region]/w.allBefore
}

// allows tells whether one more request may run in a region.
func (d *drift) allows(region string, now daisygap.Millis) bool {
	w := d.windows(now)
	if w.few() {
		return true
	}
	w.current[region]++
	w.all++
	moved := 0.0
	for r := range w.current {
		moved += max(0, w.gained(r))
	}
	return moved <= w.limit() || w.gained(region) <= 0
}

// lacks tells whether a region's share fell by so much that it has to take more than its upstreams serve in time.
func (d *drift) lacks(region string, now daisygap.Millis) bool {
	w := d.windows(now)
	return !w.few() && -w.gained(region) > lackShare*w.limit()
}

func (d *drift) windows(now daisygap.Millis) windows {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	w := windows{current: make(map[string]float64), before: make(map[string]float64)}
	for i := range d.slices {
		to, sum := w.current, &w.all
		if i >= driftSlices {
			to, sum = w.before, &w.allBefore
		}
		for r, n := range d.slices[int(d.slice-daisygap.Millis(i)+2*driftSlices)%len(d.slices)] {
			to[r] += n
			*sum += n
		}
	}
	return w
}

// note counts a request.
func (d *drift) note(region string, now daisygap.Millis) {
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
func (d *drift) advance(now daisygap.Millis) {
	slice := now / driftSlice
	for n := min(slice-d.slice, daisygap.Millis(len(d.slices))); n > 0; n-- {
		d.slices[int(slice-n+1)%len(d.slices)] = nil
	}
	d.slice = max(d.slice, slice)
}
