package placement

import (
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// maxLoadAge is the largest age of a load observation that daemons exchange. Upstreams complete much of their work in that time.
	maxLoadAge = daisygap.Millis(1_500)
	// maxLoadsPerMessage is the largest number of load observations in one gossip message.
	maxLoadsPerMessage = 48
	// loadRingSize is the number of load observations kept for other daemons. One upstream may have several of them.
	loadRingSize = 256
)

// loadObservation is the load of an upstream at a time, observed by this daemon or another one.
type loadObservation struct {
	upstream uint32
	load     int
	at       daisygap.Millis
}

// loadRing is a ring buffer of the latest load observations, which daemons exchange because one daemon alone sends an upstream
// too few requests to know its load.
type loadRing struct {
	mu   sync.Mutex
	ring [loadRingSize]loadObservation
	next int
}

func (r *loadRing) record(o loadObservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next%loadRingSize] = o
	r.next++
}

// latest returns the newest observation of each of the upstreams observed last.
func (r *loadRing) latest(now daisygap.Millis) []daisygap.LoadObservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := make(map[uint32]int, maxLoadsPerMessage)
	var list []daisygap.LoadObservation
	for n := range min(r.next, loadRingSize) {
		o := r.ring[(r.next-1-n)%loadRingSize]
		if now-o.at > maxLoadAge {
			continue
		}
		observed := daisygap.LoadObservation{Upstream: o.upstream, Load: o.load, Age: now - o.at}
		i, known := newest[o.upstream]
		switch {
		case known && observed.Age < list[i].Age:
			list[i] = observed
		case !known && len(list) < maxLoadsPerMessage:
			newest[o.upstream] = len(list)
			list = append(list, observed)
		}
	}
	return list
}

// RecentLoads returns the latest load observations, to be sent to other daemons.
func (f *Fleet) RecentLoads(now daisygap.Millis) []daisygap.LoadObservation {
	return f.observations.latest(now)
}

// MergeLoads merges load observations of other daemons. Those that are not newer than the known load are ignored.
func (f *Fleet) MergeLoads(list []daisygap.LoadObservation, now daisygap.Millis) {
	known := f.byShortID.Load()
	if known == nil {
		return
	}
	for _, o := range list {
		u := (*known)[o.Upstream]
		if u == nil || o.Age < 0 || o.Age > maxLoadAge || o.Load < 0 {
			continue
		}
		p := f.Pool(u.Pool)
		if p == nil {
			continue
		}
		at := now - o.Age
		p.mu.Lock()
		if at > u.observedAt+minLoadAdvance {
			u.updateLoad(o.Load, at)
			p.recordLoad(u, o.Load, at)
		}
		p.mu.Unlock()
	}
}

// recordLoad keeps a load for other daemons if it is high or if the previous one was. This keeps messages short while loads are low.
func (p *Pool) recordLoad(u *Upstream, load int, at daisygap.Millis) {
	high := float64(load) >= highLoadRatio*float64(u.Slots)
	if high || u.sharedHighLoad {
		p.observations.record(loadObservation{u.shortID(), load, at})
	}
	u.sharedHighLoad = high
}

// highLoadRatio is the smallest load, relative to an upstream's slots, that other daemons need to know.
const highLoadRatio = 0.5

// minLoadAdvance is the minimum time by which a received observation must be newer than the known one. Ages don't include the
// time that a message takes, so an observation may look newer than it is.
const minLoadAdvance = daisygap.Millis(50)
