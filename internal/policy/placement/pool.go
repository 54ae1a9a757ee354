package placement

import (
	"math"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// troubleSpan is how long after a change of the pool's upstreams requests may leave their region without limit.
	troubleSpan = daisygap.Millis(5_000)
	// spillShare is the part of the requests that may leave their region at once, in calm times.
	spillShare = 0.04
	// maxSpill bounds the saved leave to spill.
	maxSpill = 6
	// onTimeShare is the part of the spare time that a queue may use; load reports lag.
	onTimeShare = 0.7
	// remoteTrip is the round trip to another region in ms, before one was measured.
	remoteTrip = 70
	// poorShare bounds the part of a pool that may be left out for failing.
	poorShare = 0.4
)

// lateShare is the longest queue, in service times, for a request that can't be on time, by rank.
var lateShare = [...]float64{1, 0.8, 0.6}

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
	Trickle   Verdict = "cold"
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
	// owner tells that the upstream holds the object for its region.
	owner bool
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
	// shareOf returns this daemon's part of the rate that a cold upstream bears.
	shareOf func(id string, rate float64) float64
	// drift counts the regions of this daemon's requests over all pools.
	drift *drift
	// seen takes the loads that answers tell, for other daemons.
	seen *sightings
	// stay is the part of the objects that the own region serves for its callers, and bulkStay the same for large answers.
	stay     float64
	bulkStay float64
	// use is the part of each region's slots in use, as of the last tick.
	use     map[string]float64
	started bool
	spill   float64
	// troubled is until when requests may leave their region without limit.
	troubled daisygap.Millis
	trips    map[string]float64
	times    map[string]*times
}

// times are the mean service times of a route in ms, with and without the object at hand.
type times struct {
	warm float64
	cold float64
	// target is the time within which an answer is of full value.
	target float64
}

// replace sets the upstreams that may get new work.
func (p *Pool) replace(limits daisygap.PoolLimits, list []*Upstream, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	if p.started && !slices.Equal(p.upstreams, list) {
		p.troubled = now + troubleSpan
	}
	p.upstreams, p.regions = list, regionsOf(list)
	if !p.started && len(list) > 0 {
		p.started = true
		p.bulkStay = 1
	}
}

// Choose finds an upstream and counts the request there, or refuses; call Done for each upstream that it returns.
func (p *Pool) Choose(q Query, now daisygap.Millis) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.choose(q, now)
	if c.Upstream != nil {
		c.Upstream.inFlight++
		p.drift.note(c.Upstream.Region, now)
	}
	return c
}

func (p *Pool) choose(q Query, now daisygap.Millis) Choice {
	p.spill = min(maxSpill, p.spill+spillShare)
	able, cold, verdict := p.candidates(q, now)
	if len(able) == 0 {
		return p.trickle(cold, verdict, now)
	}
	s := p.search(q, able, now)
	for _, try := range []func() (Choice, bool){s.owner, s.spilled, s.second, s.late} {
		if c, ok := try(); ok {
			return c
		}
	}
	if c := p.trickle(cold, Full, now); c.Upstream != nil {
		return c
	}
	return s.refusal()
}

// candidates returns the upstreams that may serve a query, apart from the cold ones, and why there are none.
func (p *Pool) candidates(q Query, now daisygap.Millis) (able, cold []*Upstream, verdict Verdict) {
	verdict = Empty
	for _, u := range p.upstreams {
		switch {
		case !allowed(q.Route.HomeRegions, u.Region):
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
	return withoutPoor(able), cold, verdict
}

func allowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// withoutPoor leaves out upstreams that fail much of their work, unless too many do.
func withoutPoor(list []*Upstream) []*Upstream {
	var good []*Upstream
	for _, u := range list {
		if u.failures < poorFailures {
			good = append(good, u)
		}
	}
	if float64(len(list)-len(good)) > poorShare*float64(len(list)) {
		return list
	}
	return good
}

// trickle gives a cold upstream one of the few requests that it bears.
func (p *Pool) trickle(cold []*Upstream, verdict Verdict, now daisygap.Millis) Choice {
	best := Choice{Verdict: verdict, RetryAfter: retryLeast}
	if len(cold) > 0 && verdict != Full {
		best.Verdict = Full
	}
	for _, u := range cold {
		share := p.coldShare(u)
		if share <= 0 || now < u.nextCold || u.load(now) >= float64(u.Slots) {
			continue
		}
		u.nextCold = now + daisygap.Millis(math.Ceil(1_000/(p.limits.ColdRate*share)))
		return Choice{Upstream: u, Verdict: Trickle, Load: u.load(now), ReportAge: now - u.reported}
	}
	return best
}

// coldShare is this daemon's part of what a cold upstream bears.
func (p *Pool) coldShare(u *Upstream) float64 {
	if p.shareOf == nil || p.limits.ColdRate <= 0 {
		return 0
	}
	return p.shareOf(u.ID, p.limits.ColdRate)
}

// Done takes in how a request at an upstream ended.
func (p *Pool) Done(c Choice, route string, o Outcome, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := c.Upstream
	if o.Load != nil {
		u.report(o.Load, now)
		p.tell(u, o.Load.Running+o.Load.Waiting, now)
	}
	u.inFlight--
	if o.ConnectTime > 0 {
		p.measureTrip(u.Region, o.ConnectTime)
	}
	switch o.Result {
	case Unreachable:
		u.unreached++
		u.downUntil = now + min(downSpan<<min(u.unreached-1, 4), maxDownSpan)
		p.troubled = now + troubleSpan
	case Answered:
		p.answered(c, route, o, now)
		u.failures -= failureGain * u.failures
	case Failed:
		u.failures += failureGain * (1 - u.failures)
	case Shed:
		// A full upstream sheds for good reason; one that isn't fails.
		if u.load(now)+1 < float64(u.Slots) {
			u.failures += failureGain * (1 - u.failures)
		}
		u.others = max(u.others, float64(u.Slots))
		u.reported = now
	case Misdirected:
		u.downUntil = now + maxDownSpan
	case Canceled:
	}
}

// answered updates the service times, and takes an upstream that was unreachable for one that has just started.
func (p *Pool) answered(c Choice, route string, o Outcome, now daisygap.Millis) {
	u := c.Upstream
	if u.unreached > 0 {
		u.unreached = 0
		u.setCold(p.limits.ColdPeriod, now)
	}
	held := max(1, float64(o.ResponseTime)-c.Wait-p.trip(u))
	// A queue that was estimated too short would pass for slow service, so only a shorter time counts then.
	queued := c.Wait > 0 || c.Load+1 > float64(u.Slots)
	follow(&u.service, held, queued)
	if c.Verdict == Trickle {
		return
	}
	t := p.timesOf(route)
	if c.owner {
		follow(&t.warm, held, queued)
	} else {
		follow(&t.cold, held, queued)
	}
}

// follow moves a running mean towards a value, or only down.
func follow(mean *float64, value float64, onlyDown bool) {
	switch {
	case onlyDown && (*mean == 0 || value >= *mean):
	case *mean == 0:
		*mean = value
	default:
		*mean += serviceGain * (value - *mean)
	}
}

func (p *Pool) timesOf(route string) *times {
	t := p.times[route]
	if t == nil {
		if p.times == nil {
			p.times = make(map[string]*times)
		}
		t = &times{}
		p.times[route] = t
	}
	return t
}

// trip returns the round trip to an upstream in ms.
func (p *Pool) trip(u *Upstream) float64 {
	return p.tripTo(u.Region)
}

func (p *Pool) tripTo(region string) float64 {
	if region == p.Region {
		return 0
	}
	if t, ok := p.trips[region]; ok {
		return t
	}
	return remoteTrip
}

// measureTrip keeps the shortest time of opening a connection to a region.
func (p *Pool) measureTrip(region string, took daisygap.Millis) {
	if p.trips == nil {
		p.trips = make(map[string]float64)
	}
	if t, ok := p.trips[region]; !ok || float64(took) < t {
		p.trips[region] = float64(took)
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
