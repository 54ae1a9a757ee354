package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// freshLoadAge is how long a load report counts in full; it spans the usual gap between two answers.
	freshLoadAge = daisygap.Millis(500)
	// staleLoadAge is the age from which on a report counts half, since others' work goes on at an unknown rate.
	staleLoadAge = daisygap.Millis(2_000)
	// loadWeight is the weight of a new load report against the earlier ones.
	loadWeight = 0.5
	// serviceTimeWeight and failureGain are the weights of one answer in the running means.
	serviceTimeWeight = 0.1
	failureWeight     = 0.15
	// minDownPeriod is how long an upstream that can't be reached is left out after its first failure; it doubles up to maxDownSpan.
	minDownPeriod = daisygap.Millis(500)
	maxDownPeriod = daisygap.Millis(4_000)
	// coldMargin covers the delay between an entry's writing and its arrival here.
	coldMargin = daisygap.Millis(500)
	// ejectFailureRatio is the share of failed answers from which on an upstream gets no objects of its own.
	ejectFailureRatio = 0.3
)

// Upstream is one instance and what this daemon has seen of it; its pool's lock guards it.
type Upstream struct {
	daisygap.Instance
	Region string

	hash uint64
	// inFlight counts this daemon's own requests there.
	inFlight int
	// otherRequests estimates the requests of other daemons, as of reported.
	otherRequests float64
	observedAt    daisygap.Millis
	// sharedHighLoad is set while other daemons are sharedHighLoad of a high load.
	sharedHighLoad bool
	// meanServiceTime is the mean time in ms that a request holds a slot; 0 before the first answer.
	meanServiceTime float64
	// failureRatio is the running share of failed answers.
	failureRatio float64
	coldUntil    daisygap.Millis
	downUntil    daisygap.Millis
	// connectFailures counts connection failures in a row.
	connectFailures int
	// nextColdRequest is the earliest time for this daemon's next request while the upstream is cold.
	nextColdRequest daisygap.Millis
}

func newUpstream(i daisygap.Instance, region string, now daisygap.Millis) *Upstream {
	u := &Upstream{Instance: i, Region: region, hash: xxhash.Sum64String(i.ID)}
	u.setCold(i.ColdRemaining, now)
	return u
}

func (u *Upstream) setCold(span, now daisygap.Millis) {
	if span > 0 {
		u.coldUntil = max(u.coldUntil, now+span+coldMargin)
	}
}

// load estimates the requests at the upstream, waiting ones included.
func (u *Upstream) load(now daisygap.Millis) float64 {
	weight := 1.0
	if age := now - u.observedAt; age > freshLoadAge {
		weight = 1 - 0.5*min(1, float64(age-freshLoadAge)/float64(staleLoadAge-freshLoadAge))
	}
	return float64(u.inFlight) + u.otherRequests*weight
}

// wait estimates how long a new request waits for a slot, in ms.
func (u *Upstream) wait(now daisygap.Millis, service float64) float64 {
	if u.meanServiceTime > 0 {
		service = u.meanServiceTime
	}
	return max(0, u.load(now)+1-float64(u.Slots)) / float64(u.Slots) * service
}

func (u *Upstream) isCold(now daisygap.Millis) bool {
	return now < u.coldUntil
}

func (u *Upstream) isDown(now daisygap.Millis) bool {
	return now < u.downUntil
}

// applyReport takes an upstream's own count in; it still includes the answered request.
func (u *Upstream) applyReport(l *daisygap.LoadReport, now daisygap.Millis) {
	u.updateLoad(l.Running+l.Waiting, now)
}

// updateLoad follows a load that was seen at a time.
func (u *Upstream) updateLoad(load int, at daisygap.Millis) {
	seen := max(0, float64(load-u.inFlight))
	if at-u.observedAt > staleLoadAge {
		u.otherRequests = seen
	} else {
		u.otherRequests += loadWeight * (seen - u.otherRequests)
	}
	u.observedAt = at
}

// shortID names the upstream in messages between daemons.
func (u *Upstream) shortID() uint32 {
	return uint32(u.hash)
}

// score orders upstreams for an object by rendezvous hashing.
func (u *Upstream) score(object uint64) uint64 {
	return mixBits(u.hash ^ object)
}

// mixBits spreads the bits of a hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// toUnitInterval maps a hash to the range from 0 to 1.
func toUnitInterval(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}
