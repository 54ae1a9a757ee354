package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// reportFresh is how long a load report counts in full; it spans the usual gap between two answers.
	reportFresh = daisygap.Millis(500)
	// reportStale is the age from which on a report counts half, since others' work goes on at an unknown rate.
	reportStale = daisygap.Millis(2_000)
	// loadGain is the weight of a new load report against the earlier ones.
	loadGain = 0.5
	// serviceGain and failureGain are the weights of one answer in the running means.
	serviceGain = 0.1
	failureGain = 0.15
	// downSpan is how long an upstream that can't be reached is left out after its first failure; it doubles up to maxDownSpan.
	downSpan    = daisygap.Millis(500)
	maxDownSpan = daisygap.Millis(4_000)
	// coldMargin covers the delay between an entry's writing and its arrival here.
	coldMargin = daisygap.Millis(500)
	// poorFailures is the share of failed answers from which on an upstream gets no objects of its own.
	poorFailures = 0.3
)

// Upstream is one instance and what this daemon has seen of it; its pool's lock guards it.
type Upstream struct {
	daisygap.Instance
	Region string

	hash uint64
	// inFlight counts this daemon's own requests there.
	inFlight int
	// others estimates the requests of other daemons, as of reported.
	others   float64
	reported daisygap.Millis
	// told is set while other daemons are told of a high load.
	told bool
	// service is the mean time in ms that a request holds a slot; 0 before the first answer.
	service float64
	// failures is the running share of failed answers.
	failures  float64
	coldUntil daisygap.Millis
	downUntil daisygap.Millis
	// unreached counts connection failures in a row.
	unreached int
	// nextCold is the earliest time for this daemon's next request while the upstream is cold.
	nextCold daisygap.Millis
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
	if age := now - u.reported; age > reportFresh {
		weight = 1 - 0.5*min(1, float64(age-reportFresh)/float64(reportStale-reportFresh))
	}
	return float64(u.inFlight) + u.others*weight
}

// wait estimates how long a new request waits for a slot, in ms.
func (u *Upstream) wait(now daisygap.Millis, service float64) float64 {
	if u.service > 0 {
		service = u.service
	}
	return max(0, u.load(now)+1-float64(u.Slots)) / float64(u.Slots) * service
}

func (u *Upstream) isCold(now daisygap.Millis) bool {
	return now < u.coldUntil
}

func (u *Upstream) isDown(now daisygap.Millis) bool {
	return now < u.downUntil
}

// report takes an upstream's own count in; it still includes the answered request.
func (u *Upstream) report(l *daisygap.LoadReport, now daisygap.Millis) {
	u.take(l.Running+l.Waiting, now)
}

// take follows a load that was seen at a time.
func (u *Upstream) take(load int, at daisygap.Millis) {
	seen := max(0, float64(load-u.inFlight))
	if at-u.reported > reportStale {
		u.others = seen
	} else {
		u.others += loadGain * (seen - u.others)
	}
	u.reported = at
}

// mark names the upstream in messages between daemons.
func (u *Upstream) mark() uint32 {
	return uint32(u.hash)
}

// score orders upstreams for an object by rendezvous hashing.
func (u *Upstream) score(object uint64) uint64 {
	return mix(u.hash ^ object)
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// unit maps a hash to the range from 0 to 1.
func unit(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}
