package placement

import (
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// sightingAge is the age from which on a load is not told to other daemons; upstreams finish much of their work meanwhile.
	sightingAge = daisygap.Millis(1_500)
	// maxSightings is the number of loads that one message tells.
	maxSightings = 48
	// keptSightings bounds the latest loads that are kept to be told; those of one upstream take several places.
	keptSightings = 256
)

// sighting is the load of an upstream as it was seen here or elsewhere.
type sighting struct {
	upstream uint32
	load     int
	at       daisygap.Millis
}

// sightings are the loads seen last, to be told to other daemons: a daemon alone meets an upstream too seldom to know its load.
type sightings struct {
	mu   sync.Mutex
	ring [keptSightings]sighting
	next int
}

func (s *sightings) note(n sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring[s.next%keptSightings] = n
	s.next++
}

// latest returns the newest sighting of each of the upstreams seen last.
func (s *sightings) latest(now daisygap.Millis) []daisygap.LoadObservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[uint32]int, maxSightings)
	var list []daisygap.LoadObservation
	for i := range min(s.next, keptSightings) {
		n := s.ring[(s.next-1-i)%keptSightings]
		if now-n.at > sightingAge {
			continue
		}
		told := daisygap.LoadObservation{Upstream: n.upstream, Load: n.load, Age: now - n.at}
		at, known := newest[n.upstream]
		switch {
		case known && told.Age < list[at].Age:
			list[at] = told
		case !known && len(list) < maxSightings:
			newest[n.upstream] = len(list)
			list = append(list, told)
		}
	}
	return list
}

// RecentLoads returns the loads of upstreams that were seen last, for other daemons.
func (f *Fleet) RecentLoads(now daisygap.Millis) []daisygap.LoadObservation {
	return f.seen.latest(now)
}

// MergeLoads takes in loads that other daemons saw, where they are newer than what is known.
func (f *Fleet) MergeLoads(list []daisygap.LoadObservation, now daisygap.Millis) {
	known := f.byMark.Load()
	if known == nil {
		return
	}
	for _, n := range list {
		u := (*known)[n.Upstream]
		if u == nil || n.Age < 0 || n.Age > sightingAge || n.Load < 0 {
			continue
		}
		p := f.Pool(u.Pool)
		if p == nil {
			continue
		}
		at := now - n.Age
		p.mu.Lock()
		if at > u.reported+sightingStep {
			u.take(n.Load, at)
			p.tell(u, n.Load, at)
		}
		p.mu.Unlock()
	}
}

// tell keeps a load for other daemons if it is high, or if a high one was told before.
func (p *Pool) tell(u *Upstream, load int, at daisygap.Millis) {
	high := float64(load) >= highLoad*float64(u.Slots)
	if high || u.told {
		p.seen.note(sighting{u.mark(), load, at})
	}
	u.told = high
}

// highLoad is the part of an upstream's slots from which on its load is worth telling.
const highLoad = 0.5

// sightingStep is the least time by which a heard load must be newer than the known one; ages lose the time on the way.
const sightingStep = daisygap.Millis(50)
