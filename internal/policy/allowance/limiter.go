package allowance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// minUrgentUse is the number of admitted requests of an open customer since the last report from which on the next one is urgent, and
	// urgentPeriod the same as a time in seconds at the equal share of the rate.
	minUrgentUse = 2
	urgentPeriod = 1.0
	// depthPeriod is the part of a second of its rate that a daemon saves up of its equal share. An idle daemon saves up for maxIdle and
	// for the time in which the rate brings maxIdleTokens. Otherwise each daemon would hold a token of a small customer after a while.
	depthPeriod   = 0.25
	maxIdle       = daisygap.Millis(4_000)
	maxIdleTokens = 10
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal before it is spread.
	minRetryAfter = daisygap.Millis(20)
	maxRetryAfter = daisygap.Millis(5_000)
	// lateRatio is the part of its recent requests that a customer gets at most while a reply is late. A customer whose rate is at most
	// smallRate isn't held to it: the bound allows more than its floods bring in that time, and a daemon sees too few of its requests to
	// tell what is usual.
	lateRatio = 1.25
	smallRate = 10
	// recentPeriod is the time over which a customer's admitted requests are averaged.
	recentPeriod = daisygap.Millis(3_000)
	// forgetIdle is the time without requests after which a daemon forgets a customer.
	forgetIdle = daisygap.Millis(10_000)
)

// Limiter admits the requests of customers at one daemon and counts them. It is safe for concurrent use.
type Limiter struct {
	// Name is the name of the daemon.
	Name string
	// Rand draws fractions. If it is nil, the default source is used.
	Rand *rand.Rand

	mu      sync.Mutex
	daemons int
	slots   int
	// startedAt is when the limiter began to count.
	startedAt daisygap.Millis
	link      link
	accounts  map[string]*account
	// limits holds the limited customers, and silent the slots whose coordinators the relay doesn't reach.
	limits map[uint64]daisygap.AllowanceLimit
	late   []int
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
	// recent is the moving average of the admitted requests per second.
	recent float64
	// credit is the number of requests that may be admitted next, by the mode.
	credit float64
	mode   mode
	usedAt daisygap.Millis
	// countedFrom is when requests were last counted again after equal shares, whose tokens no report contains.
	countedFrom daisygap.Millis
}

// mode is how a daemon admits the requests of a customer.
type mode int

const (
	// byFraction admits all requests of open customers, and the fraction that the coordinator names for others.
	byFraction mode = iota
	// asBefore admits little more than before, while a reply of the coordinator is late. A daemon that just started admits all, since it
	// doesn't know what is usual.
	asBefore
	// byEqualShare admits the part of the rate that each of the known daemons may use alone.
	byEqualShare
)

// Start begins to report. The limiter must get a reply from now on.
func (l *Limiter) Start(now daisygap.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt = now
	l.link, l.limits, l.late, l.silent = newLink(now), nil, nil, nil
	for _, a := range l.accounts {
		a.mode = byFraction
	}
}

// Stop ends the reports. Requests are counted, but not refused, until the next Start.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link, l.limits, l.late, l.silent, l.accounts = link{}, nil, nil, nil, nil
}

// SetDaemons sets the number of known daemons, including this one and those that can't be reached.
func (l *Limiter) SetDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(n, 1)
	if slots := Slots(l.daemons); slots != l.slots {
		l.slots, l.late, l.silent = slots, nil, nil
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
	a := l.account(c, now)
	before := a.mode
	if a.mode = l.modeOf(a, c, now); a.mode != before {
		if before == byEqualShare {
			a.countedFrom = now
		}
		// A random fraction stands for an empty bucket: with it, all daemons together admit the rate from the first second on.
		a.credit = l.random()
	}
	share, since := c.Rate/float64(max(l.daemons, 1)), now-a.usedAt
	a.usedAt = now
	a.recent *= decayOf(since, recentPeriod)
	switch a.mode {
	case byEqualShare:
		admitted, wait = l.takeRate(a, share, since, maxIdle+daisygap.Millis(maxIdleTokens*1_000/c.Rate))
		return admitted, wait, false
	case asBefore:
		admitted, wait = l.takeRate(a, max(share, lateRatio*a.recent), since, maxIdle)
	default:
		admitted, wait = l.takeFraction(a)
	}
	if !admitted {
		a.refused++
		return false, wait, false
	}
	a.admitted++
	a.recent += 1_000 / float64(recentPeriod)
	if _, limited := l.limits[a.id]; !limited && !l.link.urgent && float64(a.admitted) >= max(minUrgentUse, urgentPeriod*share) {
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

// modeOf returns how the requests of a customer are admitted, by the time since the last reply of its slot's coordinator.
func (l *Limiter) modeOf(a *account, c *daisygap.Customer, now daisygap.Millis) mode {
	if l.slots == 0 || !l.link.isLate(now) && len(l.silent) == 0 && len(l.late) == 0 {
		return byFraction
	}
	slot := int(a.id % uint64(l.slots))
	switch {
	case l.link.isSilent(now) || slices.Contains(l.silent, slot):
		return byEqualShare
	case c.Rate > smallRate && now-l.startedAt > recentPeriod && (l.link.isLate(now) || slices.Contains(l.late, slot)):
		return asBefore
	}
	return byFraction
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

// takeRate admits a request from a bucket that fills at a rate and was last used some time ago, of which up to longest counts.
func (l *Limiter) takeRate(a *account, rate float64, since, longest daisygap.Millis) (bool, daisygap.Millis) {
	if since > longest {
		a.credit, since = l.random(), longest
	}
	a.credit = min(a.credit+rate*float64(since)/1_000, max(1, depthPeriod*rate))
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

// Return returns the token of a request that was admitted at a time and has not reached an upstream.
func (l *Limiter) Return(c *daisygap.Customer, takenAt, now daisygap.Millis) {
	if c == nil || c.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c, now)
	if a.mode == byEqualShare {
		a.credit = min(a.credit+1, max(1, depthPeriod*c.Rate/float64(max(l.daemons, 1))))
		return
	}
	if takenAt >= a.countedFrom {
		a.admitted--
	}
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
	l.late, l.silent = reply.Late, reply.Silent
	l.link.urgent = l.link.urgent || len(l.late)+len(l.silent) > 0
	if r.Slots != l.slots {
		l.link.version, l.late, l.silent = 0, nil, nil
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
