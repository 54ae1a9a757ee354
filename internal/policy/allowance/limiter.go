package allowance

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// minUrgentUse is the number of admitted requests of an open customer since the last report from which on the next one is urgent, and
	// urgentPeriod the same as a time in seconds at the equal share of the rate.
	minUrgentUse = 2
	urgentPeriod = 1.0
	// depthPeriod is the part of a second of its rate that a daemon saves up of its equal share, and maxIdle the time for which an idle
	// daemon saves up. Otherwise each daemon would hold a token of a small customer after a while.
	depthPeriod = 0.25
	maxIdle     = daisygap.Millis(4_000)
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal before it is spread.
	minRetryAfter = daisygap.Millis(20)
	maxRetryAfter = daisygap.Millis(5_000)
	// forgetIdle is the time without requests after which a daemon forgets a customer.
	forgetIdle = daisygap.Millis(10_000)
)

// Limiter admits the requests of customers at one daemon and counts them. It is safe for concurrent use.
type Limiter struct {
	// Name is the name of the daemon.
	Name string
	// Rand draws fractions. If it is nil, the default source is used.
	Rand *rand.Rand

	mu       sync.Mutex
	daemons  int
	slots    int
	link     link
	accounts map[string]*account
	// limits holds the limited customers, and silent the slots whose coordinators the relay doesn't reach.
	limits map[uint64]daisygap.AllowanceLimit
	silent []int
}

// account is a customer with recent requests.
type account struct {
	id uint64
	// admitted and refused count the requests since the last report.
	admitted int
	refused  int
	// againAdmitted and againRefused are those of a report that got no reply.
	againAdmitted int
	againRefused  int
	// credit is the fraction of a request that may be admitted next. equalShare is set if it is a part of the equal share.
	credit     float64
	equalShare bool
	usedAt     daisygap.Millis
}

// Start begins to report. The limiter must get a reply from now on.
func (l *Limiter) Start(now daisygap.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link, l.limits, l.silent, l.accounts = newLink(now), nil, nil, nil
}

// SetDaemons sets the number of known daemons, including this one and those that can't be reached.
func (l *Limiter) SetDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(n, 1)
	if slots := Slots(l.daemons); slots != l.slots {
		l.slots, l.silent = slots, nil
		l.link.version, l.link.urgent = 0, true
	}
}

// Take admits or refuses a request of a customer. For a refused one, wait is the time until the customer's tokens are replenished. urgent
// is set if a report has become urgent. A request without a customer, or of one without a rate, is always admitted.
func (l *Limiter) Take(c *daisygap.Customer, now daisygap.Millis) (admitted bool, wait daisygap.Millis, urgent bool) {
	if c == nil || c.Rate <= 0 {
		return true, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots == 0 {
		return true, 0, false
	}
	a := l.account(c, now)
	if l.isSilent(a, now) {
		admitted, wait = l.takeEqualShare(a, c, now)
		a.usedAt = now
		return admitted, wait, false
	}
	if a.equalShare {
		a.equalShare, a.credit = false, a.credit-math.Floor(a.credit)
	}
	a.usedAt = now
	if admitted, wait = l.takeFraction(a); !admitted {
		a.refused++
		return false, wait, false
	}
	a.admitted++
	if _, limited := l.limits[a.id]; !limited && !l.link.urgent && float64(a.admitted) >= max(minUrgentUse, urgentPeriod*c.Rate/float64(l.daemons)) {
		l.link.urgent, urgent = true, true
	}
	return true, 0, urgent
}

func (l *Limiter) account(c *daisygap.Customer, now daisygap.Millis) *account {
	a := l.accounts[c.Name]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{id: ID(c.Name), credit: l.random(), usedAt: now}
		l.accounts[c.Name] = a
	}
	return a
}

// isSilent reports whether there is no word of the coordinator of a customer's slot.
func (l *Limiter) isSilent(a *account, now daisygap.Millis) bool {
	if l.link.isSilent(now) {
		return true
	}
	for _, slot := range l.silent {
		if slot == int(a.id%uint64(l.slots)) {
			return true
		}
	}
	return false
}

// takeFraction admits every n-th request of a limited customer, from a random one on, so that all daemons together admit the fraction also
// if each gets few requests.
func (l *Limiter) takeFraction(a *account) (bool, daisygap.Millis) {
	if len(l.limits) == 0 {
		return true, 0
	}
	limit, limited := l.limits[a.id]
	if !limited {
		return true, 0
	}
	if a.credit += limit.Fraction; a.credit >= 1 {
		a.credit--
		return true, 0
	}
	return false, l.spread(limit.Wait)
}

// takeEqualShare admits a request from a bucket that fills at the equal share of the rate.
func (l *Limiter) takeEqualShare(a *account, c *daisygap.Customer, now daisygap.Millis) (bool, daisygap.Millis) {
	rate := c.Rate / float64(l.daemons)
	idle := now - a.usedAt
	if !a.equalShare {
		// A random fraction stands for an empty bucket: with it, all daemons together admit the rate from the first second on.
		a.equalShare, a.credit, idle = true, l.random(), 0
	}
	if idle > maxIdle {
		a.credit, idle = l.random(), maxIdle
	}
	a.credit = min(a.credit+rate*float64(idle)/1_000, max(1, depthPeriod*rate))
	if a.credit >= 1 {
		a.credit--
		return true, 0
	}
	return false, l.spread(daisygap.Millis(math.Ceil(min((1-a.credit)/rate*1_000, float64(maxRetryAfter)))))
}

// spread returns a Retry-After of at least a given time, so that callers don't all return at once.
func (l *Limiter) spread(wait daisygap.Millis) daisygap.Millis {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + daisygap.Millis(l.random()*float64(wait)/4)
}

func (l *Limiter) random() float64 {
	if l.Rand != nil {
		return l.Rand.Float64()
	}
	return rand.Float64()
}

// Return returns the token of an admitted request that has not reached an upstream.
func (l *Limiter) Return(c *daisygap.Customer, now daisygap.Millis) {
	if c == nil || c.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots == 0 {
		return
	}
	a := l.account(c, now)
	if a.equalShare {
		a.credit = min(a.credit+1, max(1, depthPeriod*c.Rate/float64(l.daemons)))
		return
	}
	a.admitted--
}

// Report returns the report that is due and the group whose relay is to get it. It is to be ended with Answered or Failed.
func (l *Limiter) Report(now daisygap.Millis) (r daisygap.AllowanceReport, group int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots == 0 || !l.link.isDue(reportInterval(l.daemons), now) {
		return r, 0, false
	}
	l.link.begin(now)
	r = daisygap.AllowanceReport{From: l.Name, Slots: l.slots, Seen: l.link.version}
	for name, a := range l.accounts {
		if a.admitted != 0 || a.refused != 0 {
			l.link.fresh = append(l.link.fresh, daisygap.AllowanceUse{Customer: a.id, Admitted: a.admitted, Refused: a.refused})
		}
		u := daisygap.AllowanceUse{Customer: a.id, Admitted: a.admitted + a.againAdmitted, Refused: a.refused + a.againRefused}
		a.admitted, a.refused, a.againAdmitted, a.againRefused = 0, 0, 0, 0
		switch {
		case u.Admitted != 0 || u.Refused != 0:
			r.Uses = append(r.Uses, u)
		case now-a.usedAt > forgetIdle:
			delete(l.accounts, name)
		}
	}
	return r, groupOf(l.Name, l.slots), true
}

// Answered applies the reply to a report.
func (l *Limiter) Answered(r daisygap.AllowanceReport, reply daisygap.AllowanceReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link.answered(reply.Version)
	l.silent = reply.Silent
	if r.Slots != l.slots {
		l.link.version, l.silent = 0, nil
	}
	if reply.Full || l.limits == nil {
		l.limits = make(map[uint64]daisygap.AllowanceLimit, len(reply.Limits))
	}
	for _, limit := range reply.Limits {
		if limit.Fraction >= 1 {
			delete(l.limits, limit.Customer)
		} else {
			l.limits[limit.Customer] = limit
		}
	}
}

// Failed ends a report that got no reply. The next one repeats what it contained.
func (l *Limiter) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	again := l.link.failed()
	if len(again) == 0 {
		return
	}
	uses := make(map[uint64]daisygap.AllowanceUse, len(again))
	for _, u := range again {
		uses[u.Customer] = u
	}
	for _, a := range l.accounts {
		a.againAdmitted += uses[a.id].Admitted
		a.againRefused += uses[a.id].Refused
	}
}

// State returns the number of limited customers, and whether this daemon uses equal shares because its relay doesn't respond.
func (l *Limiter) State(now daisygap.Millis) (limited int, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits), l.slots > 0 && l.link.isSilent(now)
}
