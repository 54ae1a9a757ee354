package placement

import (
	"math"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// unlimitedPeriod is how long after a change of the pool's upstreams requests may leave their region without limit.
	unlimitedPeriod = daisygap.Millis(5_000)
	// spillTokensPerRequest is the part of the requests that may leave their region at once, in calm times.
	spillTokensPerRequest = 0.04
	// maxSpillTokens bounds the saved leave to spill.
	maxSpillTokens = 6
	// maxWaitRatio is the part of the spare time that a queue may use; load reports lag.
	maxWaitRatio = 0.7
	// defaultRoundTrip is the round trip to another region in ms, before one was measured.
	defaultRoundTrip = 70
	// maxEjectedRatio bounds the part of a pool that may be left out for failing.
	maxEjectedRatio = 0.4
)

// lateQueueRatios is the longest queue, in service times, for a request that can't be on time, by rank.
var lateQueueRatios = [...]float64{1, 0.8, 0.6}

// Query is one request that looks for an upstream.
type Query struct {
	Route *daisygap.Route
	// ObjectHash is the hash of the affinity key; HasObject tells whether there is one.
	ObjectHash uint64
	HasObject  bool
	// Elapsed is the time since the request came in, and Left the time until its deadline.
	Elapsed   daisygap.Millis
	Remaining daisygap.Millis
	// Tried names the upstreams that had the request already.
	Tried map[*Upstream]bool
}

// Verdict says why a choice came out as it did.
type Verdict string

// The verdicts of a choice; the last five are refusals.
const (
	Owner     Verdict = "owner"
	Second    Verdict = "second"
	Spilled   Verdict = "spilled"
	Late      Verdict = "late"
	ColdStart Verdict = "cold"
	Full      Verdict = "full"
	Tried     Verdict = "tried"
	Down      Verdict = "down"
	Empty     Verdict = "empty"
	Forbidden Verdict = "forbidden"
)

// Choice is the outcome for one request; Upstream is nil for a refusal.
type Choice struct {
	Upstream *Upstream
	Verdict  Verdict
	// Load and Wait are the estimates for the chosen or the best upstream, Wait in ms; Age is the age of the report behind them.
	Load      float64
	Wait      float64
	ReportAge daisygap.Millis
	// RetryAfter is when a slot is expected, for a refusal.
	RetryAfter daisygap.Millis
	// isOwner tells that the upstream holds the object for its region.
	isOwner bool
}

// Pool holds the upstreams of one pool; it is safe for concurrent use.
type Pool struct {
	// Region and Domain are this daemon's own.
	Region string
	Domain string

	mu        sync.Mutex
	limits    daisygap.PoolLimits
	upstreams []*Upstream
	// regions are those of the upstreams, in order.
	regions []string
	// coldShareOf returns this daemon's part of the rate that a cold upstream bears.
	coldShareOf func(id string, rate float64) float64
	// shifts counts the regions of this daemon's requests over all pools.
	shifts *shiftLimiter
	// observations takes the loads that answers tell, for other daemons.
	observations *loadRing
	// localShare is the part of the objects that the own region serves for its callers, and bulkStay the same for large answers.
	localShare      float64
	largeLocalShare float64
	// utilization is the part of each region's slots in utilization, as of the last tick.
	utilization map[string]float64
	started     bool
	spillTokens float64
	// unlimitedUntil is until when requests may leave their region without limit.
	unlimitedUntil daisygap.Millis
	roundTrips     map[string]float64
	serviceTimes   map[string]*serviceTimes
}

// serviceTimes are the mean service serviceTimes of a route in ms, with and without the object at hand.
type serviceTimes struct {
	hit  float64
	miss float64
	// target is the time within which an answer is of full value.
	target float64
}

// replace sets the upstreams that may get new work.
func (p *Pool) replace(limits daisygap.PoolLimits, list []*Upstream, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	if p.started && !slices.Equal(p.upstreams, list) {
		p.unlimitedUntil = now + unlimitedPeriod
	}
	p.upstreams, p.regions = list, regionsOf(list)
	if !p.started && len(list) > 0 {
		p.started = true
		p.largeLocalShare = 1
	}
}

// Choose finds an upstream and counts the request there, or refuses; call Done for each upstream that it returns.
func (p *Pool) Choose(q Query, now daisygap.Millis) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.choose(q, now)
	if c.Upstream != nil {
		c.Upstream.inFlight++
		p.shifts.record(c.Upstream.Region, now)
	}
	return c
}

func (p *Pool) choose(q Query, now daisygap.Millis) Choice {
	p.spillTokens = min(maxSpillTokens, p.spillTokens+spillTokensPerRequest)
	able, cold, verdict := p.candidates(q, now)
	if len(able) == 0 {
		return p.chooseCold(cold, verdict, now)
	}
	s := p.search(q, able, now)
	for _, try := range []func() (Choice, bool){s.tryOwner, s.trySpill, s.tryNonOwner, s.tryLate} {
		if c, ok := try(); ok {
			return c
		}
	}
	if c := p.chooseCold(cold, Full, now); c.Upstream != nil {
		return c
	}
	return s.refusal()
}

// candidates returns the upstreams that may serve a query, apart from the cold ones, and why there are none.
func (p *Pool) candidates(q Query, now daisygap.Millis) (able, cold []*Upstream, verdict Verdict) {
	verdict = Empty
	for _, u := range p.upstreams {
		switch {
		case !regionAllowed(q.Route.HomeRegions, u.Region):
			if verdict == Empty {
				verdict = Forbidden
			}
		case q.Tried[u]:
			verdict = Tried
		case u.isDown(now):
			verdict = Down
		case u.isCold(now):
			cold = append(cold, u)
		default:
			able = append(able, u)
		}
	}
	return withoutFailing(able), cold, verdict
}

func regionAllowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// withoutFailing leaves out upstreams that fail much of their work, unless too many do.
func withoutFailing(list []*Upstream) []*Upstream {
	var good []*Upstream
	for _, u := range list {
		if u.failureRatio < ejectFailureRatio {
			good = append(good, u)
		}
	}
	if float64(len(list)-len(good)) > maxEjectedRatio*float64(len(list)) {
		return list
	}
	return good
}

// chooseCold gives a cold upstream one of the few requests that it bears.
func (p *Pool) chooseCold(cold []*Upstream, verdict Verdict, now daisygap.Millis) Choice {
	best := Choice{Verdict: verdict, RetryAfter: minRetryAfter}
	if len(cold) > 0 && verdict != Full {
		best.Verdict = Full
	}
	for _, u := range cold {
		share := p.coldShare(u)
		if share <= 0 || now < u.nextColdRequest || u.load(now) >= float64(u.Slots) {
			continue
		}
		u.nextColdRequest = now + daisygap.Millis(math.Ceil(1_000/(p.limits.ColdRate*share)))
		return Choice{Upstream: u, Verdict: ColdStart, Load: u.load(now), ReportAge: now - u.observedAt}
	}
	return best
}

// coldShare is this daemon's part of what a cold upstream bears.
func (p *Pool) coldShare(u *Upstream) float64 {
	if p.coldShareOf == nil || p.limits.ColdRate <= 0 {
		return 0
	}
	return p.coldShareOf(u.ID, p.limits.ColdRate)
}

// Done takes in how a request at an upstream ended.
func (p *Pool) Done(c Choice, route string, o Outcome, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := c.Upstream
	if o.Load != nil {
		u.applyReport(o.Load, now)
		p.recordLoad(u, o.Load.Running+o.Load.Waiting, now)
	}
	u.inFlight--
	if o.ConnectTime > 0 {
		p.recordConnectTime(u.Region, o.ConnectTime)
	}
	switch o.Result {
	case Unreachable:
		u.connectFailures++
		u.downUntil = now + min(minDownPeriod<<min(u.connectFailures-1, 4), maxDownPeriod)
		p.unlimitedUntil = now + unlimitedPeriod
	case Answered:
		p.recordSuccess(c, route, o, now)
		u.failureRatio -= failureWeight * u.failureRatio
	case Failed:
		u.failureRatio += failureWeight * (1 - u.failureRatio)
	case Shed:
		// A full upstream sheds for good reason; one that isn't fails.
		if u.load(now)+1 < float64(u.Slots) {
			u.failureRatio += failureWeight * (1 - u.failureRatio)
		}
		u.otherRequests = max(u.otherRequests, float64(u.Slots))
		u.observedAt = now
	case Misdirected:
		u.downUntil = now + maxDownPeriod
	case Canceled:
	}
}

// recordSuccess updates the service times, and takes an upstream that was unreachable for one that has just started.
func (p *Pool) recordSuccess(c Choice, route string, o Outcome, now daisygap.Millis) {
	u := c.Upstream
	if u.connectFailures > 0 {
		u.connectFailures = 0
		u.setCold(p.limits.ColdPeriod, now)
	}
	held := max(1, float64(o.ResponseTime)-c.Wait-p.roundTrip(u))
	// A queue that was estimated too short would pass for slow service, so only a shorter time counts then.
	queued := c.Wait > 0 || c.Load+1 > float64(u.Slots)
	updateMean(&u.meanServiceTime, held, queued)
	if c.Verdict == ColdStart {
		return
	}
	t := p.serviceTimesOf(route)
	if c.isOwner {
		updateMean(&t.hit, held, queued)
	} else {
		updateMean(&t.miss, held, queued)
	}
}

// updateMean moves a running mean towards a value, or only down.
func updateMean(mean *float64, value float64, onlyDown bool) {
	switch {
	case onlyDown && (*mean == 0 || value >= *mean):
	case *mean == 0:
		*mean = value
	default:
		*mean += serviceTimeWeight * (value - *mean)
	}
}

func (p *Pool) serviceTimesOf(route string) *serviceTimes {
	t := p.serviceTimes[route]
	if t == nil {
		if p.serviceTimes == nil {
			p.serviceTimes = make(map[string]*serviceTimes)
		}
		t = &serviceTimes{}
		p.serviceTimes[route] = t
	}
	return t
}

// roundTrip returns the round roundTrip to an upstream in ms.
func (p *Pool) roundTrip(u *Upstream) float64 {
	return p.roundTripTo(u.Region)
}

func (p *Pool) roundTripTo(region string) float64 {
	if region == p.Region {
		return 0
	}
	if t, ok := p.roundTrips[region]; ok {
		return t
	}
	return defaultRoundTrip
}

// recordConnectTime keeps the shortest time of opening a connection to a region.
func (p *Pool) recordConnectTime(region string, took daisygap.Millis) {
	if p.roundTrips == nil {
		p.roundTrips = make(map[string]float64)
	}
	if t, ok := p.roundTrips[region]; !ok || float64(took) < t {
		p.roundTrips[region] = float64(took)
	}
}

// Result is how a request at an upstream ended.
type Result int

// The results; Canceled is one that tells nothing of the upstream.
const (
	Answered Result = iota
	Failed
	Shed
	Unreachable
	Misdirected
	Canceled
)

// Outcome is what a request tells of its upstream.
type Outcome struct {
	Result Result
	// ResponseTime is the time from sending to the whole answer; Trip is the time of opening a connection, or 0.
	ResponseTime daisygap.Millis
	ConnectTime  daisygap.Millis
	Load         *daisygap.LoadReport
}

func regionsOf(list []*Upstream) []string {
	var names []string
	for _, u := range list {
		if !slices.Contains(names, u.Region) {
			names = append(names, u.Region)
		}
	}
	slices.Sort(names)
	return names
}
