package placement

import (
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// unlimitedPeriod is how long requests may leave their region without limit after the pool's upstreams changed or one
	// could not be reached.
	unlimitedPeriod = daisygap.Millis(5_000)
	// spillTokensPerRequest is the fraction of the requests that may leave their region while the pool's upstreams don't change.
	spillTokensPerRequest = 0.04
	// maxSpillTokens is the size of the spill token bucket.
	maxSpillTokens = 6
	// maxWaitRatio is the fraction of a request's slack that the estimated wait may use. The rest allows for load reports that lag.
	maxWaitRatio = 0.7
	// defaultRoundTrip is the assumed round trip time to another region in ms until a connection to that region was opened.
	defaultRoundTrip = 70
	// maxPermitRequests is the number of single permits that are requested for a request, after which it goes only to upstreams that need none.
	maxPermitRequests = 2
	// maxEjectedRatio is the largest fraction of the candidates that may be ejected for failing.
	maxEjectedRatio = 0.4
)

// lateQueueRatios is the longest wait, in service times, of a request that will miss its target latency, by route priority.
var lateQueueRatios = [...]float64{1, 0.8, 0.6}

// Query describes a request that needs an upstream.
type Query struct {
	Route *daisygap.Route
	// ObjectHash is the hash of the affinity key. HasObject reports whether the request has one.
	ObjectHash uint64
	HasObject  bool
	// Elapsed is the time since the request arrived, and Remaining the time until its deadline.
	Elapsed   daisygap.Millis
	Remaining daisygap.Millis
	// Tried holds the addresses of the upstreams that earlier attempts used. A new upstream at the same address is left out as well,
	// because a connection that was kept may still deliver the response to the earlier attempt.
	Tried map[string]bool
	// PermitRequests is the number of single permits that were requested for the request so far. From maxPermitRequests on, the upstreams
	// that need one are left out.
	PermitRequests int
}

// Verdict is the reason for a choice. It appears in logs.
type Verdict string

// The verdicts of a choice. Those from Full on are refusals.
const (
	// Owner is the object's owner in its home region.
	Owner Verdict = "owner"
	// Second is an upstream of the home region that does not own the object.
	Second Verdict = "second"
	// Spilled is the object's owner in another region.
	Spilled Verdict = "spilled"
	// Late is an owner that will miss the target latency.
	Late Verdict = "late"
	// ColdStart is a recently started upstream, which gets requests at a limited rate.
	ColdStart Verdict = "cold"
	// Hedge is an upstream that gets a second copy of a request because the first one is slow.
	Hedge Verdict = "hedge"
	// Full means that all queues are too long and no cold upstream may get a request yet.
	Full Verdict = "full"
	// Tried means that earlier attempts used the upstreams.
	Tried Verdict = "tried"
	// Down means that the upstreams are skipped after connection failures or misdirected requests.
	Down Verdict = "down"
	// Leaving means that the upstreams are about to stop, and Paused that they asked this daemon for a pause.
	Leaving Verdict = "leaving"
	Paused  Verdict = "paused"
	// Limited means that the upstreams take no more requests than all daemons together send them.
	Limited Verdict = "limited"
	// Empty means that the pool has no upstreams.
	Empty Verdict = "empty"
	// Forbidden means that no upstream is in one of the route's allowed regions.
	Forbidden Verdict = "forbidden"
)

// Choice is the result of Choose. Upstream is nil for a refusal.
type Choice struct {
	Upstream *Upstream
	Verdict  Verdict
	// Load (in requests) and Wait (in ms) are the estimates for the chosen upstream, or for the object's owner if all are full.
	// ReportAge is the age of the load observation that they are based on.
	Load      float64
	Wait      float64
	ReportAge daisygap.Millis
	// RetryAfter is the time until a slot is expected to be free, for a refusal.
	RetryAfter daisygap.Millis
	// NeedsPermit reports whether the upstream's arbiter must grant a permit before the request is sent.
	NeedsPermit bool
	// PassedOver is the number of upstreams that were left out because they are leaving, asked for a pause or limit their rate.
	PassedOver int
	// isOwner is set if the upstream owns the object in its region.
	isOwner bool
}

// Pool holds the upstreams of one pool. It is safe for concurrent use.
type Pool struct {
	// Region and Domain are this daemon's own.
	Region string
	Domain string

	mu        sync.Mutex
	limits    daisygap.PoolLimits
	upstreams []*Upstream
	// regions lists the regions of the upstreams, sorted, and regionHashes the hashes of their names.
	regions      []string
	regionHashes []uint64
	// buffers is reused by every choice.
	buffers choiceBuffers
	// coldShareOf returns the fraction of a cold upstream's request rate that this daemon may use.
	coldShareOf func(u *Upstream, rate float64) float64
	// coldRankOf returns the number of daemons that send to a cold upstream before this one does.
	coldRankOf func(u *Upstream) int
	// check starts a status check.
	check func(u *Upstream)
	// shifts limits how fast this daemon's requests, over all pools, move between regions.
	shifts *shiftLimiter
	// notices remembers what the processes of all pools announced.
	notices *notices
	// rateNews collects the upstreams whose rates change, for the other daemons.
	rateNews *rateNews
	// seed differs between daemons.
	seed uint64
	// observations holds the load observations to send to other daemons.
	observations *loadRing
	// localShare is the fraction of the objects whose requests stay in this daemon's region, and largeLocalShare the same for
	// routes with large responses.
	localShare      float64
	largeLocalShare float64
	// hinted is set if localShare comes from a hint.
	hinted bool
	homing homing
	// objects counts the objects that were requested lately.
	objects objectCounter
	// utilization is the fraction of each region's slots in use at the last tick.
	utilization map[string]float64
	// started is set once the pool has had upstreams.
	started bool
	// spillTokens is a token bucket: sending a request out of its home region takes one token.
	spillTokens float64
	// unlimitedUntil is the time until which requests may leave their region without limit.
	unlimitedUntil daisygap.Millis
	// roundTrips holds the round trip time to each region in ms, and serviceTimes the service times of each route.
	roundTrips   map[string]float64
	serviceTimes map[string]*serviceTimes
	speed        poolSpeed
	// daemonCount returns the number of live daemons.
	daemonCount func() int
}

// choiceBuffers holds the lists that a choice needs, so that it allocates none.
type choiceBuffers struct {
	warm, cold, healthy, owners []*Upstream
	// passedOver counts the unavailable upstreams, and resumesAt is the first time at which one of them becomes available.
	passedOver int
	resumesAt  daisygap.Millis
	// limitedSlots holds, by region, the slots of the upstreams that this daemon gets no permit for.
	limitedSlots []float64
	// limited lists the upstreams that this daemon gets no permit for.
	limited []*Upstream
	// slots and best hold the slots and the best upstream for a query by region.
	slots []float64
	best  []*Upstream
	// unlimited holds the best upstream by region that doesn't limit its rate.
	unlimited []*Upstream
	search
}

// replace sets the limits and the upstreams that may get new requests.
func (p *Pool) replace(limits daisygap.PoolLimits, list []*Upstream, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	if p.started && !slices.Equal(p.upstreams, list) {
		p.unlimitedUntil = now + unlimitedPeriod
	}
	p.setUpstreams(list)
	p.started = p.started || len(list) > 0
}

func (p *Pool) setUpstreams(list []*Upstream) {
	p.upstreams, p.regions = list, regionsOf(list)
	p.regionHashes = p.regionHashes[:0]
	for _, region := range p.regions {
		p.regionHashes = append(p.regionHashes, xxhash.Sum64String(region))
	}
	for _, u := range list {
		u.regionIndex = slices.Index(p.regions, u.Region)
	}
	p.buffers.best, p.buffers.unlimited = make([]*Upstream, len(p.regions)), make([]*Upstream, len(p.regions))
	p.updateHoming()
}

// choiceOrder lists the ways to choose an upstream, in the order of preference.
var choiceOrder = [...]func(*search) (Choice, bool){
	(*search).tryOwner, (*search).tryBesideSlow, (*search).trySpill, (*search).tryNonOwner, (*search).tryLate,
}

// Choose returns the upstream for a request and counts the request as in flight there, or refuses the request. Done must be
// called for each upstream that Choose returns.
func (p *Pool) Choose(q Query, now daisygap.Millis) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.choose(q, now)
	c.PassedOver = p.buffers.passedOver
	if c.Upstream != nil {
		c.Upstream.inFlight++
		c.NeedsPermit = c.Upstream.limit.named && !c.Upstream.usePermit(now)
		p.shifts.record(c.Upstream.Region, now)
	}
	return c
}

func (p *Pool) choose(q Query, now daisygap.Millis) Choice {
	// In a large pool the number of objects is estimated from repeated requests, among which further choices for one request don't count.
	if q.HasObject && (!p.homing.active || len(q.Tried) == 0 && q.PermitRequests == 0) {
		p.objects.record(q.ObjectHash)
	}
	p.spillTokens = min(maxSpillTokens, p.spillTokens+spillTokensPerRequest)
	warm, cold, verdict := p.candidates(q, now)
	if len(warm) == 0 {
		c := p.chooseCold(cold, verdict, now)
		if c.Verdict == Paused || c.Verdict == Limited {
			// The callers come back one after the other.
			c.RetryAfter += resumeSpread(q.ObjectHash^p.seed, c.RetryAfter)
		}
		return c
	}
	s := p.search(q, warm, now)
	for _, try := range choiceOrder {
		if c, ok := try(s); ok {
			return c
		}
	}
	if c := p.chooseCold(cold, Full, now); c.Upstream != nil {
		return c
	}
	return s.refusal()
}

// candidates returns the warm and the cold upstreams that may serve a query, and the verdict if there are none. The lists are
// valid until the next call.
func (p *Pool) candidates(q Query, now daisygap.Millis) (warm, cold []*Upstream, verdict Verdict) {
	verdict = Empty
	warm, cold = p.buffers.warm[:0], p.buffers.cold[:0]
	p.buffers.passedOver, p.buffers.resumesAt = 0, 0
	p.buffers.limited = p.buffers.limited[:0]
	p.buffers.limitedSlots = resize(p.buffers.limitedSlots, len(p.regions))
	for _, u := range p.upstreams {
		reason := u.availability(now)
		switch {
		case !regionAllowed(q.Route.AllowedRegions, u.Region):
			if verdict == Empty {
				verdict = Forbidden
			}
		case q.Tried[u.Address]:
			verdict = Tried
		case reason == leaving:
			verdict = Leaving
			p.buffers.passedOver++
		case reason == paused:
			verdict = Paused
			p.passOver(u.pausedUntil)
		case reason == limited, q.PermitRequests >= maxPermitRequests && u.limit.named, q.HasObject && !u.returns(q.ObjectHash, now):
			if reason == limited {
				p.buffers.limited = append(p.buffers.limited, u)
			}
			verdict = Limited
			p.passOver(u.permitFrom(now))
			p.buffers.limitedSlots[u.regionIndex] += float64(u.Slots)
		case u.isDown(now):
			verdict = Down
			p.checkUnknown(u, now)
		case u.isCold(now):
			cold = append(cold, u)
		default:
			warm = append(warm, u)
		}
	}
	p.buffers.warm, p.buffers.cold = warm, cold
	return p.withoutFailing(warm), cold, verdict
}

// passOver counts an upstream that is unavailable until a time.
func (p *Pool) passOver(until daisygap.Millis) {
	p.buffers.passedOver++
	if p.buffers.resumesAt == 0 || until < p.buffers.resumesAt {
		p.buffers.resumesAt = until
	}
}

func regionAllowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// withoutFailing ejects upstreams with a high failure ratio. If more than maxEjectedRatio of them would be ejected, none is.
func (p *Pool) withoutFailing(list []*Upstream) []*Upstream {
	healthy := p.buffers.healthy[:0]
	for _, u := range list {
		if u.failureRatio < ejectFailureRatio {
			healthy = append(healthy, u)
		}
	}
	p.buffers.healthy = healthy
	if float64(len(list)-len(healthy)) > maxEjectedRatio*float64(len(list)) {
		return list
	}
	return healthy
}

// chooseCold returns a cold upstream whose rate limit allows a request, or a refusal.
func (p *Pool) chooseCold(cold []*Upstream, verdict Verdict, now daisygap.Millis) Choice {
	refusal := Choice{Verdict: verdict, RetryAfter: max(minRetryAfter, p.buffers.resumesAt-now)}
	if len(cold) > 0 && verdict != Full {
		refusal.Verdict = Full
	}
	for _, u := range cold {
		share := p.coldShare(u)
		if share <= 0 || now < u.nextColdRequest || u.load(now) >= float64(u.Slots) {
			continue
		}
		u.nextColdRequest = now + daisygap.Millis(math.Ceil(1_000/(p.limits.ColdRate*share)))
		return Choice{Upstream: u, Verdict: ColdStart, Load: u.load(now), ReportAge: now - u.observedAt}
	}
	return refusal
}

// coldShare returns the fraction of a cold upstream's request rate that this daemon may use.
func (p *Pool) coldShare(u *Upstream) float64 {
	if p.coldShareOf == nil || p.limits.ColdRate <= 0 {
		return 0
	}
	return p.coldShareOf(u, p.limits.ColdRate)
}

// Done records how a request at an upstream ended, and returns what its response changed in the upstream's availability.
func (p *Pool) Done(c Choice, route string, o Outcome, now daisygap.Millis) Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := c.Upstream
	notice := p.recordAvailability(u, o, now)
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
		p.recordUnreachable(u, o.Refused, now)
	case Answered:
		p.recordSuccess(c, route, o, now)
		u.failureRatio -= failureWeight * u.failureRatio
	case Failed:
		u.failureRatio += failureWeight * (1 - u.failureRatio)
	case Shed:
		// Shedding is a failure only if the upstream appears to have a free slot.
		if u.load(now)+1 < float64(u.Slots) {
			u.failureRatio += failureWeight * (1 - u.failureRatio)
		}
		u.otherRequests = max(u.otherRequests, float64(u.Slots))
		u.observedAt = now
	case Misdirected:
		u.downUntil = now + maxDownPeriod
	case Canceled:
	}
	return notice
}

// recordSuccess updates the service times.
func (p *Pool) recordSuccess(c Choice, route string, o Outcome, now daisygap.Millis) {
	u := c.Upstream
	wait := c.Wait
	if u.speed.slots < 1 {
		wait = 0 // it was a penalty for using slots that slow the upstream down
	}
	serviceTime := max(1, float64(o.ResponseTime)-wait-p.roundTrip(u))
	// If the wait was underestimated, the rest of it looks like service time. So the mean may only decrease for requests
	// that may have been queued.
	maybeQueued := c.Wait > 0 || c.Load+1 > float64(u.Slots)
	updateMean(&u.meanServiceTime, serviceTime, maybeQueued)
	if c.Verdict == ColdStart {
		return
	}
	t := p.serviceTimesOf(route)
	times, r := &t.miss, &t.missReference
	if c.isOwner {
		times, r = &t.hit, &t.hitReference
	}
	times.record(serviceTime, maybeQueued)
	if !o.Rejected {
		p.recordSpeed(c, r, o, now)
	}
}

// roundTrip returns the round trip time to an upstream in ms.
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

// recordConnectTime keeps the shortest connect time to a region as its round trip time.
func (p *Pool) recordConnectTime(region string, connectTime daisygap.Millis) {
	if p.roundTrips == nil {
		p.roundTrips = make(map[string]float64)
	}
	if t, ok := p.roundTrips[region]; !ok || float64(connectTime) < t {
		p.roundTrips[region] = float64(connectTime)
	}
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
