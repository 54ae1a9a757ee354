package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// hintTimes is the number of service times that a hint stands for, so that a few cold requests don't outweigh it.
	hintTimes = 5
	// minHintShareChange and minHintTimeChange are the smallest changes of a share, and of a time relative to the former one, for
	// which a hint is written again.
	minHintShareChange = 0.05
	minHintTimeChange  = 0.3
)

// SetHint sets what pools that are created from now on start with.
func (f *Fleet) SetHint(h daisygap.PlacementHint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hint = h
}

// Hint returns what the pools have learned. Pools without requests are left out.
func (f *Fleet) Hint() daisygap.PlacementHint {
	h := daisygap.PlacementHint{Pools: make(map[string]daisygap.PoolHint)}
	for name, p := range f.Pools() {
		if hint := p.hint(); len(hint.HitTimes) > 0 {
			h.Pools[name] = hint
		}
	}
	return h
}

func (p *Pool) hint() daisygap.PoolHint {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := daisygap.PoolHint{
		LocalShare: p.localShare, LargeLocalShare: p.largeLocalShare,
		HitTimes: make(map[string]float64), MissTimes: make(map[string]float64), RoundTrips: make(map[string]float64),
	}
	for route, t := range p.serviceTimes {
		if t.hit.median > 0 {
			h.HitTimes[route] = math.Round(t.hit.median)
		}
		if t.miss.median > 0 {
			h.MissTimes[route] = math.Round(t.miss.median)
		}
	}
	for region, ms := range p.roundTrips {
		h.RoundTrips[region] = ms
	}
	return h
}

// applyHint starts a new pool from a hint. Values that can't be right are ignored.
func (p *Pool) applyHint(h daisygap.PoolHint) {
	if isShare(h.LocalShare) && isShare(h.LargeLocalShare) {
		p.localShare, p.largeLocalShare, p.hinted = h.LocalShare, h.LargeLocalShare, true
	}
	for route, ms := range h.HitTimes {
		p.serviceTimesOf(route).hit.start(ms)
	}
	for route, ms := range h.MissTimes {
		p.serviceTimesOf(route).miss.start(ms)
	}
	for region, ms := range h.RoundTrips {
		if ms > 0 {
			p.recordConnectTime(region, daisygap.Millis(ms))
		}
	}
}

func isShare(x float64) bool {
	return x >= 0 && x <= 1
}

// HintChanged reports whether a hint differs so much from the one written before that it is worth writing.
func HintChanged(before, now daisygap.PlacementHint) bool {
	for name, n := range now.Pools {
		b, known := before.Pools[name]
		if !known || math.Abs(n.LocalShare-b.LocalShare) >= minHintShareChange || math.Abs(n.LargeLocalShare-b.LargeLocalShare) >= minHintShareChange {
			return true
		}
		if timesChanged(b.HitTimes, n.HitTimes) || timesChanged(b.MissTimes, n.MissTimes) {
			return true
		}
	}
	return false
}

func timesChanged(before, now map[string]float64) bool {
	for route, ms := range now {
		if math.Abs(ms-before[route]) > minHintTimeChange*before[route] {
			return true
		}
	}
	return false
}
