package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// maxPermitWait limits how long an upstream gets no requests of a daemon that was refused a permit.
	maxPermitWait = daisygap.Millis(500)
	// reportDelay covers the time that a report takes between daemons, which its ages don't include.
	reportDelay = daisygap.Millis(100)
	// lentBurst is the largest number of requests that a daemon saves up of a lent rate.
	lentBurst = 2
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
	// sentAt is when the request of that response was sent, and receivedAt when the response arrived. Both are 0 if no response has named a
	// rate so far.
	sentAt     daisygap.Millis
	receivedAt daisygap.Millis
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
	case l.receivedAt == 0 && !other.named:
		return false
	case l.receivedAt == 0:
	case l.named && !other.named && other.sentAt < l.receivedAt:
		return false
	case other.sentAt <= l.sentAt:
		return false
	}
	changed := l.named != other.named || l.rate != other.rate
	other.receivedAt, other.beganAt, other.endedAt = max(l.receivedAt, other.receivedAt), l.beganAt, l.endedAt
	if !l.named {
		other.beganAt = other.receivedAt
	}
	if l.named && !other.named {
		other.endedAt = other.receivedAt
	}
	*l = other
	return changed
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
		return u.effectiveSlots()
	}
	return min(u.effectiveSlots(), max(u.limit.rate, minRate)*u.meanServiceTime/1_000)
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
		SentAge: now - u.limit.sentAt, Age: now - u.limit.receivedAt,
	}
}

// limitOf returns the limit of a report, on this daemon's clock.
func limitOf(r daisygap.RateReport, now daisygap.Millis) rateLimit {
	l := rateLimit{named: r.Named, rate: r.Rate, sentAt: now - r.SentAge, receivedAt: now - r.Age}
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
	return &RateChange{Upstream: u.ID, StartTime: u.StartTime, Named: l.named, Rate: l.rate, Age: now - l.receivedAt}
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
