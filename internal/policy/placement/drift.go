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

// allows tells whether one more request may run in a region.
func (d *drift) allows(region string, now daisygap.Millis) bool {
	current, before, all, allBefore := d.windows(now)
	if all < driftSample || allBefore < driftSample {
		return true
	}
	current[region]++
	all++
	moved := 0.0
	for r, n := range current {
		moved += max(0, n/all-before[r]/allBefore)
	}
	return moved <= maxDrift+chance(all, allBefore) || current[region]/all <= before[region]/allBefore
}

// lacks tells whether a region's share fell by so much that it has to take more than its upstreams serve in time.
func (d *drift) lacks(region string, now daisygap.Millis) bool {
	current, before, all, allBefore := d.windows(now)
	if all < driftSample || allBefore < driftSample {
		return false
	}
	return before[region]/allBefore-current[region]/all > lackShare*(maxDrift+chance(all, allBefore))
}

// chance is the largest standard deviation of the difference of two shares.
func chance(all, allBefore float64) float64 {
	return 0.5 * math.Sqrt(1/all+1/allBefore)
}

// windows returns the requests by region and in sum of the current window and the one before it.
func (d *drift) windows(now daisygap.Millis) (current, before map[string]float64, all, allBefore float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, before = make(map[string]float64), make(map[string]float64)
	for i := range d.slices {
		to, sum := current, &all
		if i >= driftSlices {
			to, sum = before, &allBefore
		}
		for r, n := range d.slices[int(d.slice-daisygap.Millis(i)+2*driftSlices)%len(d.slices)] {
			to[r] += n
			*sum += n
		}
	}
	return current, before, all, allBefore
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
