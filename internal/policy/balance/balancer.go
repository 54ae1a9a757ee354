package balance

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/daisygap/daisygap"
)

const (
	latencyEWMAWeight = 0.2
	failureLimit      = 3
	baseEjectionTime  = daisygap.Millis(2_000)
	maxEjectionTime   = daisygap.Millis(60_000)
	// An upstream that refuses connections is tried again after this span.
	unreachableRetryDelay = daisygap.Millis(500)
	coldStartRatio        = 0.25
	drainSignalTTL        = daisygap.Millis(10_000)
)

// Outcome is how one attempt at an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Shed
	ConnectionLost
	Unreachable
	Abandoned
)

// Upstream is one server as a daemon sees it.
type Upstream struct {
	Name            string
	Address         string
	Slots           int
	Share           int
	Lent            int
	Borrowed        int
	Running         int
	RunningSuspects int
	// MayRunSuspects tells that this daemon alone may run suspects there.
	MayRunSuspects bool

	meanLatency         float64
	consecutiveFailures int
	ejections           int
	ejectedUntil        daisygap.Millis
	warmUpStart         daisygap.Millis
	drained             bool
	drainSignalAt       daisygap.Millis
	removed             bool
}

// Balancer chooses among the upstreams of one group; it is not safe for concurrent use.
type Balancer struct {
	WarmUp          daisygap.Millis
	MaxEjectedRatio float64
	Random          *rand.Rand

	upstreams []*Upstream
	byName    map[string]*Upstream
}

// Target is an upstream as the configuration and the shares name it.
type Target struct {
	Name           string
	Address        string
	Slots          int
	Share          int
	MayRunSuspects bool
	Drained        bool
}

// SetTargets replaces the upstreams; one with the same name and address keeps what was seen of it.
func (b *Balancer) SetTargets(targets []Target, now daisygap.Millis) {
	old := b.byName
	first := old == nil
	b.upstreams = nil
	b.byName = make(map[string]*Upstream, len(targets))
	for _, t := range targets {
		u := old[t.Name]
		if u == nil || u.Address != t.Address {
			u = &Upstream{Name: t.Name, Address: t.Address, warmUpStart: now}
			if first {
				u.warmUpStart = now - b.WarmUp
			}
		}
		u.Slots, u.Share, u.MayRunSuspects = t.Slots, t.Share, t.MayRunSuspects
		if u.drained && !t.Drained {
			u.warmUpStart = now
		}
		u.drained = t.Drained
		b.byName[t.Name] = u
		b.upstreams = append(b.upstreams, u)
	}
	for name, u := range old {
		if b.byName[name] != u {
			u.removed = true
		}
	}
	sort.Slice(b.upstreams, func(i, j int) bool { return b.upstreams[i].Name < b.upstreams[j].Name })
}

// Find returns an upstream by name, or nil.
func (b *Balancer) Find(name string) *Upstream {
	return b.byName[name]
}

// Upstreams returns the upstreams in the order of their names.
func (b *Balancer) Upstreams() []*Upstream {
	return b.upstreams
}

// Limit returns how many requests may run at an upstream from here now.
func (b *Balancer) Limit(u *Upstream, now daisygap.Millis) int {
	slots := u.Share - u.Lent + u.Borrowed
	if slots <= 0 || u.removed || u.drained || now < u.ejectedUntil {
		return 0
	}
	if u.drainSignalAt > 0 && now < u.drainSignalAt+drainSignalTTL {
		return 0
	}
	if u.consecutiveFailures > 0 && u.ejectedUntil > 0 {
		return 1
	}
	age := now - u.warmUpStart
	if age >= b.WarmUp {
		return slots
	}
	fraction := coldStartRatio + (1-coldStartRatio)*float64(age)/float64(b.WarmUp)
	return max(1, int(fraction*float64(slots)))
}

// Capacity returns how many requests may run at all upstreams from here now.
func (b *Balancer) Capacity(now daisygap.Millis) int {
	n := 0
	for _, u := range b.upstreams {
		n += b.Limit(u, now)
	}
	return n
}

// Pick takes a slot at the upstream expected to finish soonest, or returns nil when none is free; a suspect never shares an upstream with another, not even with one of another daemon.
func (b *Balancer) Pick(suspect bool, now daisygap.Millis) *Upstream {
	var best *Upstream
	bestCost := math.Inf(1)
	ties := 0
	for _, u := range b.upstreams {
		if u.Running >= b.Limit(u, now) {
			continue
		}
		if suspect && (u.RunningSuspects > 0 || !u.MayRunSuspects) {
			continue
		}
		cost := float64(u.Running+1) / float64(u.Slots) * max(u.meanLatency, 1)
		switch {
		case cost < bestCost:
			best, bestCost, ties = u, cost, 1
		case cost == bestCost:
			ties++
			if b.Random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	if best != nil {
		best.Running++
		if suspect {
			best.RunningSuspects++
		}
	}
	return best
}

// Done gives a slot back and learns from how the attempt ended.
func (b *Balancer) Done(u *Upstream, suspect bool, outcome Outcome, latency, now daisygap.Millis) {
	u.Running--
	if suspect {
		u.RunningSuspects--
	}
	switch outcome {
	case Succeeded:
		u.consecutiveFailures, u.ejections = 0, 0
		if u.meanLatency == 0 {
			u.meanLatency = float64(latency)
		}
		u.meanLatency += latencyEWMAWeight * (float64(latency) - u.meanLatency)
	case Unreachable:
		// Nothing listens there: no bound on how many are left out, but it is tried again soon.
		u.consecutiveFailures++
		u.ejectedUntil = now + unreachableRetryDelay
		u.warmUpStart = u.ejectedUntil
	case Shed, ConnectionLost:
		u.consecutiveFailures++
		if outcome == ConnectionLost || u.consecutiveFailures >= failureLimit {
			b.eject(u, now)
		}
	case Abandoned:
	}
}

// MarkDraining notes that an upstream said it is leaving, so that it gets nothing new.
func (b *Balancer) MarkDraining(u *Upstream, now daisygap.Millis) {
	u.drainSignalAt = max(now, 1)
}

// Draining tells whether an upstream gets nothing new because it is leaving.
func (b *Balancer) Draining(u *Upstream, now daisygap.Millis) bool {
	return u.drained || (u.drainSignalAt > 0 && now < u.drainSignalAt+drainSignalTTL)
}

// eject takes an upstream out for a while, unless too large a part of the group is out already; one of several may always go.
func (b *Balancer) eject(u *Upstream, now daisygap.Millis) {
	ejected := 0
	for _, o := range b.upstreams {
		if o != u && now < o.ejectedUntil {
			ejected++
		}
	}
	if ejected > 0 && float64(ejected+1) > b.MaxEjectedRatio*float64(len(b.upstreams)) || len(b.upstreams) == 1 {
		return
	}
	u.ejectedUntil = now + min(baseEjectionTime<<min(u.ejections, 8), maxEjectionTime)
	u.ejections++
	u.warmUpStart = u.ejectedUntil
}
