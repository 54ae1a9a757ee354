package placement

import (
	"math"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// sliceLength and slicesPerWindow make up the window of two seconds in which the requests of each region are counted.
	sliceLength     = daisygap.Millis(250)
	slicesPerWindow = 8
	// maxShareShift is the fraction of the requests that may change regions from one window to the next, on top of random
	// variation. The platform tolerates 0.15 for all daemons of a region together. The limit is lower because shares go on
	// shifting while older requests leave the window.
	maxShareShift = 0.06
	// minWindowRequests is the number of requests in a window below which shares are mostly random variation.
	minWindowRequests = 60
	// lostShareRatio is the fraction of the allowed shift by which a region's share must have fallen for the region to accept
	// late requests despite long queues.
	lostShareRatio = 0.5
)

// shiftLimiter counts this daemon's requests by region and limits how many of them change regions within a short time. It is
// safe for concurrent use.
type shiftLimiter struct {
	mu sync.Mutex
	// regions lists the regions that had requests. The counts of a region have its index here.
	regions []string
	// slices is a ring buffer of the counts by region for the last two windows. Slice n is at index n modulo its length.
	slices [2 * slicesPerWindow][]float64
	// slice is the number of the current slice.
	slice daisygap.Millis
	// counts is reused by every call of windows.
	counts windowCounts
}

// windowCounts holds the number of requests by region and in total, in the current window and in the one before it.
type windowCounts struct {
	current, before    []float64
	total, totalBefore float64
}

// tooFew reports whether the counts are too low for meaningful shares.
func (w *windowCounts) tooFew() bool {
	return w.total < minWindowRequests || w.totalBefore < minWindowRequests
}

// maxShift returns the fraction of the requests that may change regions, including random variation. The second term is the
// largest possible standard deviation of the difference between two shares.
func (w *windowCounts) maxShift() float64 {
	return maxShareShift + 0.5*math.Sqrt(1/w.total+1/w.totalBefore)
}

// gain returns the increase of a region's share, negative if it fell.
func (w *windowCounts) gain(region int) float64 {
	return w.current[region]/w.total - w.before[region]/w.totalBefore
}

// allows reports whether one more request may run in a region.
func (l *shiftLimiter) allows(region string, now daisygap.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.indexOf(region)
	w := l.windows(now)
	if w.tooFew() {
		return true
	}
	w.current[i]++
	w.total++
	moved := 0.0
	for r := range w.current {
		moved += max(0, w.gain(r))
	}
	return moved <= w.maxShift() || w.gain(i) <= 0
}

// hasLostShare reports whether a region's share fell so far that the region has to accept requests that will be late.
func (l *shiftLimiter) hasLostShare(region string, now daisygap.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.indexOf(region)
	w := l.windows(now)
	return !w.tooFew() && -w.gain(i) > lostShareRatio*w.maxShift()
}

// indexOf returns the index of a region's counts.
func (l *shiftLimiter) indexOf(region string) int {
	if i := slices.Index(l.regions, region); i >= 0 {
		return i
	}
	l.regions = append(l.regions, region)
	return len(l.regions) - 1
}

// windows returns the counts of the current and the previous window, valid until the next call.
func (l *shiftLimiter) windows(now daisygap.Millis) *windowCounts {
	l.advance(now)
	w := &l.counts
	w.current, w.before = resize(w.current, len(l.regions)), resize(w.before, len(l.regions))
	w.total, w.totalBefore = 0, 0
	for i := range l.slices {
		counts, sum := w.current, &w.total
		if i >= slicesPerWindow {
			counts, sum = w.before, &w.totalBefore
		}
		for r, n := range l.slices[int(l.slice-daisygap.Millis(i)+2*slicesPerWindow)%len(l.slices)] {
			counts[r] += n
			*sum += n
		}
	}
	return w
}

// resize returns a slice of n zeros, and reuses the given one if it is large enough.
func resize(list []float64, n int) []float64 {
	if cap(list) < n {
		return make([]float64, n)
	}
	list = list[:n]
	clear(list)
	return list
}

// record counts a request in a region.
func (l *shiftLimiter) record(region string, now daisygap.Millis) {
	l.add(region, now, 1)
}

// add adds a number of requests to the count of a region.
func (l *shiftLimiter) add(region string, now daisygap.Millis, count float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	i := l.indexOf(region)
	counts := &l.slices[int(l.slice)%len(l.slices)]
	for len(*counts) <= i {
		*counts = append(*counts, 0)
	}
	(*counts)[i] = max(0, (*counts)[i]+count)
}

// advance makes the slice of the given time the current one and clears the slices that it replaces.
func (l *shiftLimiter) advance(now daisygap.Millis) {
	slice := now / sliceLength
	for n := min(slice-l.slice, daisygap.Millis(len(l.slices))); n > 0; n-- {
		i := int(slice-n+1) % len(l.slices)
		l.slices[i] = l.slices[i][:0]
	}
	l.slice = max(l.slice, slice)
}
