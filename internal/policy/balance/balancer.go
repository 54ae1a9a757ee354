package balance

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/daisygap/daisygap"
)

const (
	// latencyEWMAWeight is the weight of a new sample in the moving average of the latency.
	latencyEWMAWeight = 0.2
	// failureLimit is the number of failures without a success between them after which an upstream is ejected. A lost
	// connection ejects it at once.
	failureLimit = 3
	// The first ejection lasts baseEjectionTime. Each further one without a success in between lasts twice as long, up to
	// maxEjectionTime.
	baseEjectionTime = daisygap.Millis(2_000)
	maxEjectionTime  = daisygap.Millis(60_000)
	// unreachableRetryDelay is the time after which an upstream that refuses connections is tried again, in milliseconds.
	unreachableRetryDelay = daisygap.Millis(500)
	// coldStartRatio is the fraction of its slots that an upstream gets at the start of its warm-up.
	coldStartRatio = 0.25
	// drainSignalTTL is how long an upstream's signal that it is draining counts, in milliseconds.
	drainSignalTTL = daisygap.Millis(10_000)
)

// Outcome is the result of one attempt at an upstream.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Shed means that the upstream refused the request or answered with a server error.
	Shed
	// ConnectionLost means that the connection broke while the request ran.
	ConnectionLost
	// Unreachable means that the request could not be sent.
	Unreachable
	// Abandoned means that the daemon gave up the request, for example at its deadline or because its caller left.
	Abandoned
)

// Upstream is the state of one upstream as this daemon sees it. Slots is the number of requests that the upstream runs at
// the same time, and Share is this daemon's share of them before loans to and from other daemons.
type Upstream struct {
	Name            string
	Address         string
	Slots           int
	Share           int
	Lent            int
	Borrowed        int
	Running         int
	RunningSuspects int
	// MayRunSuspects is set on the only daemon that may send the upstream suspects, which are requests that ran when an
	// upstream crashed.
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

// Balancer chooses among the upstreams of one group. It is not safe for concurrent use.
type Balancer struct {
	// WarmUp is the time over which a new or recovered upstream gets more and more of its slots.
	WarmUp daisygap.Millis
	// MaxEjectedRatio is the largest fraction of the upstreams that may be ejected at the same time.
	MaxEjectedRatio float64
	Random          *rand.Rand

	upstreams []*Upstream
	byName    map[string]*Upstream
}

// Target is an upstream according to the configuration, with this daemon's share of its slots.
type Target struct {
	Name           string
	Address        string
	Slots          int
	Share          int
	MayRunSuspects bool
	Drained        bool
}

// SetTargets replaces the upstreams. An upstream that keeps its name and address keeps its state.
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

// Find returns the upstream with the given name, or nil.
func (b *Balancer) Find(name string) *Upstream {
	return b.byName[name]
}

// Upstreams returns the upstreams sorted by name.
func (b *Balancer) Upstreams() []*Upstream {
	return b.upstreams
}

// Limit returns the number of requests that this daemon may run at an upstream at the same time.
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

// Capacity returns the number of requests that this daemon may run at all upstreams together.
func (b *Balancer) Capacity(now daisygap.Millis) int {
	n := 0
	for _, u := range b.upstreams {
		n += b.Limit(u, now)
	}
	return n
}

// Pick takes a slot of the upstream with the lowest expected latency, or returns nil if no slot is free. Two suspects, even
// of different daemons, never run at the same upstream.
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

// Done releases a slot and updates the latency and the failures of the upstream by the outcome of the attempt.
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
		// The upstream doesn't accept connections, so MaxEjectedRatio doesn't apply. The upstream is tried again after a
		// short delay.
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

// MarkDraining records that an upstream has signalled that it is draining, so that it gets no new requests.
func (b *Balancer) MarkDraining(u *Upstream, now daisygap.Millis) {
	u.drainSignalAt = max(now, 1)
}

// Draining reports whether an upstream gets no new requests because it is draining.
func (b *Balancer) Draining(u *Upstream, now daisygap.Millis) bool {
	return u.drained || (u.drainSignalAt > 0 && now < u.drainSignalAt+drainSignalTTL)
}

// eject excludes an upstream for a time, unless that would exceed MaxEjectedRatio. One of several upstreams may always be
// ejected, the only one of a group never.
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
