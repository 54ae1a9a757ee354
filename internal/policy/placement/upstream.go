package placement

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// freshLoadAge is the age up to which an observed load counts in full. It covers the usual time between two responses.
	freshLoadAge = daisygap.Millis(500)
	// staleLoadAge is the age from which on an observed load counts half, because the rate of other daemons' requests since then
	// is unknown.
	staleLoadAge = daisygap.Millis(2_000)
	// loadWeight is the weight of a new load observation in the moving average.
	loadWeight = 0.5
	// serviceTimeWeight and failureWeight are the weights of one response in the moving averages.
	serviceTimeWeight = 0.1
	failureWeight     = 0.15
	// minDownPeriod is how long an upstream gets no requests after its first connection failure. It doubles with each further
	// failure in a row, up to maxDownPeriod.
	minDownPeriod = daisygap.Millis(500)
	maxDownPeriod = daisygap.Millis(4_000)
	// coldMargin covers the delay between the writing of an instance's store entry and its arrival at this daemon.
	coldMargin = daisygap.Millis(500)
	// maxSlownessAge is the age up to which a report of slowness counts. Slowness changes several times per second.
	maxSlownessAge = daisygap.Millis(250)
	// slowThreshold is the slowness from which on another upstream is preferred.
	slowThreshold = 1.5
	// ejectFailureRatio is the failure ratio from which on an upstream is ejected.
	ejectFailureRatio = 0.3
)

// Upstream is one instance and what this daemon has observed of it. It is guarded by the lock of its pool.
type Upstream struct {
	daisygap.Instance
	Region string

	hash uint64
	// regionIndex is the index of the region in the pool's list.
	regionIndex int
	// inFlight is the number of this daemon's requests at the upstream.
	inFlight int
	// otherRequests is the estimated number of other daemons' requests at the upstream, as of observedAt.
	otherRequests float64
	observedAt    daisygap.Millis
	// slowness is the latest report of how long work takes relative to the usual time, and slownessAt its time.
	slowness   float64
	slownessAt daisygap.Millis
	// sharedHighLoad is set if the last load recorded for other daemons was high.
	sharedHighLoad bool
	// meanServiceTime is the mean time in ms that a request occupies a slot, or 0 before the first response.
	meanServiceTime float64
	// failureRatio is the moving average of the fraction of failed requests.
	failureRatio float64
	// coldUntil is the end of the cold period, and downUntil the time until which the upstream gets no requests.
	coldUntil daisygap.Millis
	downUntil daisygap.Millis
	// leaving is set once the process said that it is about to stop, for the rest of its life.
	leaving bool
	// pausedUntil is the end of the pause that the upstream asked this daemon for.
	pausedUntil daisygap.Millis
	// limit is the rate that the process takes from all daemons together, and noPermitUntil the time until which this daemon gets no
	// permit to send to it.
	limit         rateLimit
	noPermitUntil daisygap.Millis
	// allowance is the rate that this daemon may use without asking the upstream's arbiter.
	allowance allowance
	// demand is the number of requests that this daemon had for the upstream since it last requested permits.
	demand int
	// permits is used if this daemon is the upstream's arbiter, which is cached in arbiter.
	permits permits
	arbiter atomic.Pointer[arbiterChoice]
	// connectFailures is the number of connection failures in a row. Only a status check ends it.
	connectFailures int
	// nextColdRequest is the earliest time of this daemon's next request while the upstream is cold.
	nextColdRequest daisygap.Millis
	cold            coldRank
	restart         restart
	// brokenCheckAt is the time of the last status check because a connection broke.
	brokenCheckAt daisygap.Millis
	speed         speed
}

// coldRank is the number of daemons of a set that come before this one in the order in which they send to a cold upstream.
type coldRank struct {
	daemons *[]string
	ahead   int
}

func newUpstream(i daisygap.Instance, region string, now daisygap.Millis) *Upstream {
	u := &Upstream{Instance: i, Region: region, hash: xxhash.Sum64String(i.ID), speed: evenSpeed()}
	u.setCold(i.ColdRemaining, now)
	return u
}

func (u *Upstream) setCold(period, now daisygap.Millis) {
	if period > 0 {
		u.coldUntil = max(u.coldUntil, now+period+coldMargin)
	}
}

// load returns the estimated number of requests at the upstream, including those that wait for a slot.
func (u *Upstream) load(now daisygap.Millis) float64 {
	weight := 1.0
	if age := now - u.observedAt; age > freshLoadAge {
		weight = 1 - 0.5*min(1, float64(age-freshLoadAge)/float64(staleLoadAge-freshLoadAge))
	}
	return float64(u.inFlight) + u.otherRequests*weight
}

// wait returns the estimated time in ms that a new request waits for a slot. The given service time is used until the upstream's
// own is known.
func (u *Upstream) wait(now daisygap.Millis, serviceTime float64) float64 {
	slots := u.effectiveSlots()
	return max(0, u.load(now)+1-slots) / slots * u.speed.adjust(u.meanServiceTime, serviceTime)
}

func (u *Upstream) isCold(now daisygap.Millis) bool {
	return now < u.coldUntil
}

// isDown reports whether the upstream gets no requests, because it couldn't be reached or its process has ended.
func (u *Upstream) isDown(now daisygap.Millis) bool {
	return now < u.downUntil || u.restart.isUnknown()
}

// applyReport updates the load from an upstream's own report, which still includes the request that it answered.
func (u *Upstream) applyReport(l *daisygap.LoadReport, now daisygap.Millis) {
	u.updateLoad(l.Running+l.Waiting, now)
	u.slowness, u.slownessAt = l.Slowness, now
}

// currentSlowness returns how long work takes relative to the usual time by a fresh report or by the upstream's factor. Their product
// would count a slowness twice that the upstream reports all the time, since the factor contains it.
func (u *Upstream) currentSlowness(now daisygap.Millis) float64 {
	switch {
	case u.slowness <= 0 || now-u.slownessAt > maxSlownessAge:
		return u.speed.factor
	case u.speed.factor == 1:
		return u.slowness
	case u.slowness <= 1:
		return u.speed.factor
	}
	return max(u.slowness, u.speed.factor)
}

// isSlow reports whether a fresh report says that work takes much longer than usual.
func (u *Upstream) isSlow(now daisygap.Millis) bool {
	return u.currentSlowness(now) >= slowThreshold
}

// updateLoad updates the estimate of other daemons' requests from the total load that was observed at a time.
func (u *Upstream) updateLoad(load int, at daisygap.Millis) {
	observed := max(0, float64(load-u.inFlight))
	if at-u.observedAt > staleLoadAge {
		u.otherRequests = observed
	} else {
		u.otherRequests += loadWeight * (observed - u.otherRequests)
	}
	u.observedAt = at
}

// shortID returns the ID of the upstream in gossip messages, a part of the hash of its name.
func (u *Upstream) shortID() uint32 {
	return uint32(u.hash)
}

// score returns the upstream's score for an object in rendezvous hashing. The upstream with the highest score owns the object.
func (u *Upstream) score(object uint64) uint64 {
	return mixBits(u.hash ^ object)
}

// mixBits is the finalizer of MurmurHash3. It spreads every bit of the input over the result.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// toUnitInterval maps a hash to [0, 1).
func toUnitInterval(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}
