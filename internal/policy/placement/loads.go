package placement

import (
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// maxLoadAge is the age from which on a load is not told to other daemons; upstreams finish much of their work meanwhile.
	maxLoadAge = daisygap.Millis(1_500)
	// maxLoadsPerMessage is the number of loads that one message tells.
	maxLoadsPerMessage = 48
	// loadRingSize bounds the latest loads that are kept to be told; those of one upstream take several places.
	loadRingSize = 256
)

// loadObservation is the load of an upstream as it was seen here or elsewhere.
type loadObservation struct {
	upstream uint32
	load     int
	at       daisygap.Millis
}

// loadRing are the loads seen last, to be told to other daemons: a daemon alone meets an upstream too seldom to know its load.
type loadRing struct {
	mu   sync.Mutex
	ring [loadRingSize]loadObservation
	next int
}

func (s *loadRing) record(n loadObservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring[s.next%loadRingSize] = n
	s.next++
}

// latest returns the newest sighting of each of the upstreams seen last.
func (s *loadRing) latest(now daisygap.Millis) []daisygap.LoadObservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[uint32]int, maxLoadsPerMessage)
	var list []daisygap.LoadObservation
	for i := range min(s.next, loadRingSize) {
		n := s.ring[(s.next-1-i)%loadRingSize]
		if now-n.at > maxLoadAge {
			continue
		}
		told := daisygap.LoadObservation{Upstream: n.upstream, Load: n.load, Age: now - n.at}
		at, known := newest[n.upstream]
		switch {
		case known && told.Age < list[at].Age:
			list[at] = told
		case !known && len(list) < maxLoadsPerMessage:
			newest[n.upstream] = len(list)
			list = append(list, told)
		}
	}
	return list
}

// RecentLoads returns the loads of upstreams that were seen last, for other daemons.
func (f *Fleet) RecentLoads(now daisygap.Millis) []daisygap.LoadObservation {
	return f.observations.latest(now)
}

// MergeLoads takes in loads that other daemons saw, where they are newer than what is known.
func (f *Fleet) MergeLoads(list []daisygap.LoadObservation, now daisygap.Millis) {
	known := f.byShortID.Load()
	if known == nil {
		return
	}
	for _, n := range list {
		u := (*known)[n.Upstream]
		if u == nil || n.Age < 0 || n.Age > maxLoadAge || n.Load < 0 {
			continue
		}
		p := f.Pool(u.Pool)
		if p == nil {
			continue
		}
		at := now - n.Age
		p.mu.Lock()
		if at > u.observedAt+minLoadAdvance {
			u.updateLoad(n.Load, at)
			p.recordLoad(u, n.Load, at)
		}
		p.mu.Unlock()
	}
}

// recordLoad keeps a load for other daemons if it is high, or if a high one was told before.
func (p *Pool) recordLoad(u *Upstream, load int, at daisygap.Millis) {
	high := float64(load) >= highLoadRatio*float64(u.Slots)
	if high || u.sharedHighLoad {
		p.observations.record(loadObservation{u.shortID(), load, at})
	}
	u.sharedHighLoad = high
}

// highLoadRatio is the part of an upstream's slots from which on its load is worth telling.
const highLoadRatio = 0.5

// minLoadAdvance is the least time by which a heard load must be newer than the known one; ages lose the time on the way.
const minLoadAdvance = daisygap.Millis(50)
