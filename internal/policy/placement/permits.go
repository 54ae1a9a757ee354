package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// minRate is the smallest rate in requests per second at which an upstream still gets requests. Its responses show when it takes
	// more again.
	minRate = 0.2
	// permitBurst is the largest number of permits that are saved up, and permitBurstTime the same as a time at the upstream's rate.
	permitBurst     = 4
	permitBurstTime = 0.1
	// priorityReserve is the number of saved permits that each step of priority leaves to more urgent requests, for at most
	// maxReserveSteps steps.
	priorityReserve = 0.4
	maxReserveSteps = 2
	// arbiterWarmUp is how long a daemon that wasn't asked for permits before grants them at arbiterWarmUpRatio of the rate, because
	// another one may have granted permits just now.
	arbiterWarmUp      = daisygap.Millis(4_000)
	arbiterWarmUpRatio = 0.5
	// lendPeriod is how long a daemon may use a rate after it asked. It covers several tries to renew it.
	lendPeriod = daisygap.Millis(1_500)
	// minLentRate is the smallest rate that is lent to a daemon, in requests per second. Daemons with less ask for each request.
	minLentRate = 0.5
	// lentRatio is the largest fraction of a rate that is lent. The rest serves daemons whose demand is above what they were lent.
	lentRatio = 0.6
	// demandPeriod is the time over which a daemon's demand is averaged.
	demandPeriod = daisygap.Millis(5_000)
)

// permits is the part of an upstream's rate that its arbiter grants: a rate of their own to daemons with steady demand, and the rest as
// single permits from a token bucket.
type permits struct {
	// from is the list of daemons by which this one was the arbiter at the last request.
	from       *arbiters
	tokens     float64
	refilledAt daisygap.Millis
	// fullFrom is the time from which on the whole rate is granted.
	fullFrom daisygap.Millis
	// borrowers holds the daemons that asked lately, by name.
	borrowers map[string]*borrower
}

// borrower is a daemon that asked an arbiter for permits.
type borrower struct {
	askedAt daisygap.Millis
	// demand is the moving average of its requests per second, and lent the rate that it may use until the given time.
	demand float64
	lent   float64
	until  daisygap.Millis
}

// grant returns what a daemon may send: one request or none, and the rate that it may use from now on without asking. If it may send none,
// wait is the time until it may ask again. The rate is in requests per second. warmUp is set if another daemon may have been the
// arbiter until now.
func (b *permits) grant(r daisygap.PermitRequest, rate float64, warmUp bool, now daisygap.Millis) (granted bool, lent float64, wait daisygap.Millis) {
	rate = max(rate, minRate)
	if b.refilledAt == 0 || warmUp && now-b.refilledAt > arbiterWarmUp {
		*b = permits{tokens: 1, refilledAt: now, borrowers: make(map[string]*borrower)}
		if b.fullFrom = now; warmUp {
			b.fullFrom += arbiterWarmUp
		}
	}
	if now < b.fullFrom {
		rate *= arbiterWarmUpRatio
	}
	before := b.lentTotal(now)
	lent = b.lend(r, rate, now)
	spare := max(rate-max(before, b.lentTotal(now)), 0)
	b.tokens = min(max(permitBurst, permitBurstTime*spare), b.tokens+spare*float64(now-b.refilledAt)/1_000)
	b.refilledAt = now
	needed := 1 + priorityReserve*float64(min(max(r.Priority, 0), maxReserveSteps))
	if r.Waiting && b.tokens >= needed {
		b.tokens--
		return true, lent, 0
	}
	return false, lent, min(daisygap.Millis(math.Ceil(max(0, needed-b.tokens)/max(spare, minRate)*1_000)), maxPermitWait)
}

// lend returns the rate that a daemon may use, in proportion to its demand and at most as much. It is 0 if that is too low for
// a rate of its own.
func (b *permits) lend(r daisygap.PermitRequest, rate float64, now daisygap.Millis) float64 {
	d := b.borrowers[r.From]
	if d == nil {
		d = &borrower{askedAt: now, demand: float64(r.Demand) * 1_000 / float64(demandPeriod)}
		b.borrowers[r.From] = d
	}
	if since := float64(now - d.askedAt); since > 0 {
		weight := min(1, since/float64(demandPeriod))
		d.demand += weight * (float64(r.Demand)*1_000/since - d.demand)
	}
	d.askedAt, d.lent = now, 0
	demand, others := 0.0, 0.0
	for name, o := range b.borrowers {
		switch {
		case now-o.askedAt > demandPeriod && now >= o.until:
			delete(b.borrowers, name)
		case now < o.until:
			others += o.lent
			fallthrough
		default:
			demand += o.demand
		}
	}
	lent := min(d.demand, lentRatio*rate*d.demand/max(demand, minRate), lentRatio*rate-others)
	if lent < minLentRate {
		return 0
	}
	d.lent, d.until = lent, now+lendPeriod+reportDelay
	return lent
}

// lentTotal returns the sum of the rates that are lent.
func (b *permits) lentTotal(now daisygap.Millis) float64 {
	sum := 0.0
	for _, d := range b.borrowers {
		if now < d.until {
			sum += d.lent
		}
	}
	return sum
}
