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
	// maxPermitWait limits how long an upstream gets no requests of a daemon that was refused a permit.
	maxPermitWait = daisygap.Millis(500)
	// reportDelay covers the time that a report takes between daemons, which its ages don't include.
	reportDelay = daisygap.Millis(100)
	// lendPeriod is how long a daemon may use a rate after it asked. It covers several tries to renew it.
	lendPeriod = daisygap.Millis(1_500)
	// minLentRate is the smallest rate that is lent to a daemon, in requests per second. Daemons with less ask for each request.
	minLentRate = 0.5
	// lentRatio is the largest fraction of a rate that is lent. The rest serves daemons whose demand is above what they were lent.
	lentRatio = 0.6
	// lentBurst is the largest number of requests that a daemon saves up of a lent rate.
	lentBurst = 2
	// demandPeriod is the time over which a daemon's demand is averaged.
	demandPeriod = daisygap.Millis(5_000)
	// rateReturnPeriod is the time in which an upstream whose limit has ended gets back all of its objects, and minReturned the
	// fraction that it gets back at once.
	rateReturnPeriod = daisygap.Millis(2_000)
	minReturned      = 0.5
)

// rateLimit is the rate of requests that an upstream's process takes from all daemons together, by the latest response that says so.
type rateLimit struct {
	named bool
	// rate is in requests per second.
	rate float64
	// sentAt is when the request of that response was sent, and heardAt when the response arrived. Both are 0 if no response has named a
	// rate so far.
	sentAt  daisygap.Millis
	heardAt daisygap.Millis
	// beganAt is when the limit began, as far as this daemon knows.
	beganAt daisygap.Millis
	// endedAt is when the last limit ended, or 0.
	endedAt daisygap.Millis
}

// merge applies what a response says, unless it may be older than the latest one, and reports whether the limit changed. A response
// surely is newer if its request was sent after the other response arrived, which is what ends a limit. A limit begins or changes
// by the order in which the requests were sent.
func (l *rateLimit) merge(other rateLimit) bool {
	switch {
	case l.heardAt == 0 && !other.named:
		return false
	case l.heardAt == 0:
	case l.named && !other.named && other.sentAt < l.heardAt:
		return false
	case other.sentAt <= l.sentAt:
		return false
	}
	changed := l.named != other.named || l.rate != other.rate
	other.heardAt, other.beganAt, other.endedAt = max(l.heardAt, other.heardAt), l.beganAt, l.endedAt
	if !l.named {
		other.beganAt = other.heardAt
	}
	if l.named && !other.named {
		other.endedAt = other.heardAt
	}
	*l = other
	return changed
}

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

// returns reports whether an upstream whose limit has ended gets requests for an object again. The objects return one after the other.
func (u *Upstream) returns(object uint64, now daisygap.Millis) bool {
	since := now - u.limit.endedAt
	if u.limit.named || u.limit.endedAt == 0 || since >= rateReturnPeriod {
		return true
	}
	return toUnitInterval(u.score(^object)) < minReturned+(1-minReturned)*float64(since)/float64(rateReturnPeriod)
}

// allowance is the rate that the arbiter lent to this daemon.
type allowance struct {
	rate       float64
	tokens     float64
	refilledAt daisygap.Millis
	until      daisygap.Millis
}

// hasPermit reports whether this daemon may send the upstream a request without asking the arbiter.
func (u *Upstream) hasPermit(now daisygap.Millis) bool {
	a := &u.allowance
	if now >= a.until {
		a.tokens = 0
		return false
	}
	a.tokens = min(lentBurst, a.tokens+a.rate*float64(now-a.refilledAt)/1_000)
	a.refilledAt = now
	return a.tokens >= 1
}

// usableSlots returns the number of slots that the upstream's rate can fill.
func (u *Upstream) usableSlots() float64 {
	if !u.limit.named || u.meanServiceTime == 0 {
		return float64(u.Slots)
	}
	return min(float64(u.Slots), max(u.limit.rate, minRate)*u.meanServiceTime/1_000)
}

// permitFrom returns the time from which on this daemon may send the upstream a request, or ask for a permit.
func (u *Upstream) permitFrom(now daisygap.Millis) daisygap.Millis {
	a := &u.allowance
	if now >= a.until || a.rate <= 0 {
		return max(u.noPermitUntil, now+minRetryAfter)
	}
	return now + daisygap.Millis(math.Ceil((1-a.tokens)/a.rate*1_000))
}

// usePermit counts a request for the upstream, and reports whether it may be sent without asking the arbiter.
func (u *Upstream) usePermit(now daisygap.Millis) bool {
	u.demand++
	if !u.hasPermit(now) {
		return false
	}
	u.allowance.tokens--
	return true
}

// report returns what is known of the upstream's rate.
func (u *Upstream) report(now daisygap.Millis) daisygap.RateReport {
	return daisygap.RateReport{
		Upstream: u.shortID(), StartTime: u.StartTime, Named: u.limit.named, Rate: u.limit.rate,
		SentAge: now - u.limit.sentAt, Age: now - u.limit.heardAt,
	}
}

// limitOf returns the limit of a report, on this daemon's clock.
func limitOf(r daisygap.RateReport, now daisygap.Millis) rateLimit {
	l := rateLimit{named: r.Named, rate: r.Rate, sentAt: now - r.SentAge, heardAt: now - r.Age}
	if !l.named {
		l.sentAt -= reportDelay
	}
	return l
}

// RateChange is a change of the rate that an upstream's process takes from all daemons together.
type RateChange struct {
	Upstream  string
	StartTime int64
	// Named reports whether there is a limit now, to Rate requests per second.
	Named bool
	Rate  float64
	// Age is the time since the response that says so.
	Age daisygap.Millis
}

// SetAllowance records what an arbiter lent to this daemon when it asked at a time.
func (p *Pool) SetAllowance(u *Upstream, reply daisygap.PermitReply, requestedAt, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.hasPermit(now)
	a := &u.allowance
	a.rate, a.refilledAt = reply.Lent, now
	if a.until = requestedAt; reply.Lent > 0 {
		a.until += lendPeriod
	}
}

// mergeRate applies what a response or a report says about an upstream's rate; the caller holds the lock of the pool.
func (p *Pool) mergeRate(u *Upstream, l rateLimit, now daisygap.Millis) *RateChange {
	began := !u.limit.named
	if !u.limit.merge(l) {
		return nil
	}
	if began || !l.named {
		// Other upstreams take over, or give back, requests at once, so requests may leave their region as after any change of the pool.
		p.unlimitedUntil = now + unlimitedPeriod
		u.noPermitUntil = 0
		if l.named {
			u.allowance, u.permits = allowance{}, permits{}
		}
	}
	if p.notices != nil {
		p.notices.record(u)
	}
	if p.rateNews != nil {
		p.rateNews.add(u.shortID(), now)
	}
	return &RateChange{Upstream: u.ID, StartTime: u.StartTime, Named: l.named, Rate: l.rate, Age: now - l.heardAt}
}

// RefusePermit takes back a choice for whose upstream no permit was granted. The upstream isn't chosen again within the wait.
func (p *Pool) RefusePermit(c Choice, wait, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := c.Upstream
	u.inFlight--
	p.shifts.add(u.Region, now, -1)
	u.noPermitUntil = max(u.noPermitUntil, now+min(max(wait, 1), maxPermitWait))
}
