package placement

import (
	"math"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry advice of a refusal.
	minRetryAfter = daisygap.Millis(50)
	maxRetryAfter = daisygap.Millis(1_000)
)

// search holds the state of choosing an upstream for one query.
type search struct {
	p          *Pool
	q          Query
	now        daisygap.Millis
	eligible   []*Upstream
	homeRegion string
	// owners holds the object's owner of each region. Those of the home region come first, and the region's own owner
	// follows that of this daemon's domain, if any.
	owners []*Upstream
	// hitTime and missTime are the expected service times in ms at the object's owner and elsewhere.
	hitTime  float64
	missTime float64
}

func (p *Pool) search(q Query, eligible []*Upstream, now daisygap.Millis) *search {
	s := &p.buffers.search
	*s = search{p: p, q: q, now: now, eligible: eligible}
	t := p.serviceTimesOf(q.Route.Name)
	t.target = float64(q.Route.TargetLatency)
	t.requests++
	s.hitTime, s.missTime = t.hit.median, t.miss.median
	if p.homing.active {
		s.hitTime = t.hit.low
	}
	if s.hitTime == 0 {
		s.hitTime = float64(q.Route.TargetLatency) / 2
	}
	if s.missTime == 0 {
		s.missTime = 2 * s.hitTime
	}
	s.homeRegion = p.homeRegionOf(q, eligible)
	s.owners = s.findOwners()
	s.countMissed()
	return s
}

// countMissed counts the query as demand at the upstream that would own its object if this daemon had a permit for it.
func (s *search) countMissed() {
	if s.q.PermitRequests > 0 || len(s.q.Tried) > 0 {
		return
	}
	var missed *Upstream
	for _, u := range s.p.buffers.limited {
		if u.Region == s.homeRegion && (missed == nil || s.prefers(u, missed)) {
			missed = u
		}
	}
	if missed != nil && (len(s.owners) == 0 || s.prefers(missed, s.owners[0])) {
		missed.demand++
	}
}

// findOwners returns the object's owner of each region, the home region's first. For large responses in this daemon's own
// region, and for objects that are owned by domain, the owner within its failure domain comes before that, so that they
// stay in the domain.
func (s *search) findOwners() []*Upstream {
	best := s.bestByRegion()
	list := s.p.buffers.owners[:0]
	for _, u := range best {
		if u != nil && u.Region == s.homeRegion {
			if s.homeRegion == s.p.Region && (s.q.Route.LargeResponses || s.isOwnedByDomain()) {
				list = s.appendDomainOwner(list)
			}
			if !slices.Contains(list, u) {
				list = append(list, u)
			}
			if s.homeRegion == s.p.Region && s.isOwnedByDomain() {
				list = s.appendOtherDomainOwners(list)
			}
		}
	}
	for _, u := range best {
		if u != nil && u.Region != s.homeRegion {
			list = append(list, u)
		}
	}
	s.p.buffers.owners = list
	return list
}

// bestByRegion returns the best upstream of each region. The objects of an upstream without a permit go to the best one that doesn't limit
// its rate, if there is one: each object has one other owner then, which soon serves it fast as well.
func (s *search) bestByRegion() []*Upstream {
	best, unlimited := s.p.buffers.best, s.p.buffers.unlimited
	clear(best)
	clear(unlimited)
	for _, u := range s.eligible {
		if b := best[u.regionIndex]; b == nil || s.prefers(u, b) {
			best[u.regionIndex] = u
		}
		if b := unlimited[u.regionIndex]; !u.limit.named && (b == nil || s.prefers(u, b)) {
			unlimited[u.regionIndex] = u
		}
	}
	for _, u := range s.p.buffers.limited {
		if b := best[u.regionIndex]; b != nil && s.prefers(u, b) && unlimited[u.regionIndex] != nil {
			best[u.regionIndex] = unlimited[u.regionIndex]
		}
	}
	return best
}

// appendDomainOwner appends the object's owner within this daemon's failure domain.
func (s *search) appendDomainOwner(list []*Upstream) []*Upstream {
	var best *Upstream
	for _, u := range s.eligible {
		if u.Domain == s.p.Domain && (best == nil || s.prefers(u, best)) {
			best = u
		}
	}
	if best == nil {
		return list
	}
	return append(list, best)
}

// appendOtherDomainOwners appends the object's owners in the other domains of this daemon's region, which have served it as well.
func (s *search) appendOtherDomainOwners(list []*Upstream) []*Upstream {
	first := len(list)
	for _, u := range s.eligible {
		if u.Region != s.p.Region || slices.ContainsFunc(list[:first], func(o *Upstream) bool { return o.Domain == u.Domain }) {
			continue
		}
		i := slices.IndexFunc(list[first:], func(o *Upstream) bool { return o.Domain == u.Domain })
		switch {
		case i < 0:
			list = append(list, u)
		case s.prefers(u, list[first+i]):
			list[first+i] = u
		}
	}
	return list
}

// prefers reports whether a comes before b for the query: by affinity, or by load if the query has no affinity.
func (s *search) prefers(a, b *Upstream) bool {
	if s.q.HasObject && s.q.Route.Affinity {
		if s.p.speed.weighted {
			return weightedAffinity(a, b, s.q.ObjectHash)
		}
		return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
	}
	la, lb := a.load(s.now)/float64(a.Slots), b.load(s.now)/float64(b.Slots)
	if s.p.speed.uneven {
		la, lb = a.occupancy(s.now), b.occupancy(s.now)
	}
	if la != lb {
		return la < lb
	}
	return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
}

// slack returns the time in ms that a request may wait at an upstream and still meet its target latency.
func (s *search) slack(u *Upstream, serviceTime float64) float64 {
	slack := float64(s.q.Route.TargetLatency-s.q.Elapsed) - serviceTime - s.p.roundTrip(u)
	if u.limit.named && !u.hasPermit(s.now) {
		slack -= s.p.roundTrip(u) // for the permit
	}
	return slack
}

// isOnTime reports whether a request is expected to meet its target latency at an upstream.
func (s *search) isOnTime(u *Upstream, serviceTime float64) bool {
	wait := u.wait(s.now, s.hitTime)
	slack := s.slack(u, serviceTime*u.currentSlowness(s.now))
	return wait == 0 && slack > 0 || wait <= maxWaitRatio*slack
}

func (s *search) choose(u *Upstream, v Verdict, isOwner bool) (Choice, bool) {
	return Choice{Upstream: u, Verdict: v, Load: u.load(s.now), Wait: u.wait(s.now, s.hitTime), ReportAge: s.now - u.observedAt, isOwner: isOwner}, true
}

// tryOwner chooses the object's owner in its home region if it is on time.
func (s *search) tryOwner() (Choice, bool) {
	for _, u := range s.owners {
		if u.Region == s.homeRegion && s.isOnTime(u, s.hitTime) && s.allowsRegion(u.Region) {
			return s.choose(u, Owner, true)
		}
	}
	return Choice{}, false
}

// tryBesideSlow chooses the next upstream by affinity in the home region when the object's owner would be on time but for its
// momentary slowness.
func (s *search) tryBesideSlow() (Choice, bool) {
	if len(s.owners) == 0 || !s.allowsMisses(s.homeRegion) {
		return Choice{}, false
	}
	owner := s.owners[0]
	if owner.Region != s.homeRegion || !owner.isSlow(s.now) || owner.wait(s.now, s.hitTime) > 0 {
		return Choice{}, false
	}
	best := s.freeBeside(owner)
	if best == nil || !s.allowsRegion(best.Region) {
		return Choice{}, false
	}
	return s.choose(best, Second, false)
}

// freeBeside returns the next upstream by affinity at another address in another one's region that is at most half loaded and not slow, or nil.
func (s *search) freeBeside(other *Upstream) *Upstream {
	var best *Upstream
	for _, u := range s.eligible {
		if u.Address == other.Address || u.Region != other.Region || u.limit.named || 2*u.load(s.now) > float64(u.Slots) || u.isSlow(s.now) {
			continue
		}
		if best == nil || s.prefers(u, best) {
			best = u
		}
	}
	return best
}

// trySpill chooses the object's owner in another region if it is on time and the spill limit allows it.
func (s *search) trySpill() (Choice, bool) {
	if !s.canSpill() {
		return Choice{}, false
	}
	var best *Upstream
	for _, u := range s.owners {
		if u.Region != s.homeRegion && s.allowsMisses(u.Region) && s.isOnTime(u, s.hitTime) && s.allowsRegion(u.Region) && (best == nil || u.wait(s.now, s.hitTime) < best.wait(s.now, s.hitTime)) {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	s.p.spillTokens--
	return s.choose(best, Spilled, true)
}

// allowsRegion reports whether the limit on shifts between regions allows one more request in a region.
func (s *search) allowsRegion(region string) bool {
	return s.now < s.p.unlimitedUntil || len(s.q.Tried) > 0 || s.p.shifts.allows(region, s.now)
}

// allowsMisses reports whether a region has spare capacity for requests at upstreams that haven't served the object lately,
// which take several times as long.
func (s *search) allowsMisses(region string) bool {
	return s.p.utilization[region] < maxMissUtilization
}

func (s *search) canSpill() bool {
	return s.p.spillTokens >= 1 || s.now < s.p.unlimitedUntil || len(s.q.Tried) > 0
}

// tryNonOwner chooses an upstream of the home region that is at most half loaded and doesn't own the object, if it is on time.
func (s *search) tryNonOwner() (Choice, bool) {
	if !s.allowsMisses(s.homeRegion) {
		return Choice{}, false
	}
	var best *Upstream
	for _, u := range s.eligible {
		if u.Region != s.homeRegion || u.limit.named || 2*u.load(s.now) > float64(u.Slots) || !s.isOnTime(u, s.missTime) {
			continue
		}
		if best == nil || s.prefers(u, best) {
			best = u
		}
	}
	if best == nil || !s.allowsRegion(best.Region) {
		return Choice{}, false
	}
	return s.choose(best, Second, false)
}

// tryLate chooses among the owners when no upstream is on time: the one with the shortest wait, or for large responses the first
// one in the order of findOwners, so that they stay in the domain or region where they belong.
func (s *search) tryLate() (Choice, bool) {
	var best *Upstream
	for _, u := range s.owners {
		if u.Region != s.homeRegion && !s.canSpill() || !s.allowsRegion(u.Region) || !s.acceptsLate(u) {
			continue
		}
		if best == nil || !s.q.Route.LargeResponses && u.wait(s.now, s.hitTime) < best.wait(s.now, s.hitTime) {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.Region != s.homeRegion {
		s.p.spillTokens--
	}
	return s.choose(best, Late, best.Region == s.homeRegion)
}

// acceptsLate reports whether an upstream's queue is short enough for a request that will miss its target latency.
func (s *search) acceptsLate(u *Upstream) bool {
	wait, serviceTime := u.wait(s.now, s.hitTime), max(u.meanServiceTime, s.hitTime)
	if wait+s.p.roundTrip(u)+serviceTime > float64(s.q.Remaining) {
		return false
	}
	limit := serviceTime
	// A longer queue would make the following requests late as well.
	if onTime := maxWaitRatio * (float64(s.q.Route.TargetLatency) - s.hitTime); onTime > 0 {
		limit = min(serviceTime, onTime)
	}
	ratio := lateQueueRatios[min(max(s.q.Route.Priority, 0), len(lateQueueRatios)-1)]
	return wait <= ratio*limit || u.Region == s.homeRegion && s.p.shifts.hasLostShare(u.Region, s.now)
}

// refusal returns a refusal with the time until the object's owner is expected to have a free slot.
func (s *search) refusal() Choice {
	u := s.owners[0]
	wait := u.wait(s.now, s.hitTime)
	slack := max(0, maxWaitRatio*s.slack(u, s.hitTime))
	retryAfter := daisygap.Millis(wait - slack)
	return Choice{Verdict: Full, Load: u.load(s.now), Wait: wait, ReportAge: s.now - u.observedAt, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}

// homeRegionOf returns the home region of a query's object. A fraction of the objects (localShare) stays in this daemon's region.
// For the others, weighted rendezvous hashing selects the region, the same one for the callers of every region.
func (p *Pool) homeRegionOf(q Query, eligible []*Upstream) string {
	slots := resize(p.buffers.slots, len(p.regions))
	p.buffers.slots = slots
	for _, u := range eligible {
		slots[u.regionIndex] += float64(u.Slots)
	}
	share := p.localShareOf(q.Route)
	home, best := "", -1.0
	stays := toUnitInterval(mixBits(q.ObjectHash)) < share
	for i, region := range p.regions {
		if slots[i] == 0 {
			continue
		}
		// Upstreams without a permit count, so that objects don't change their home region with every permit.
		slots[i] += p.buffers.limitedSlots[i]
		if stays && region == p.Region {
			return region
		}
		if score := weightedScore(q.ObjectHash^p.regionHashes[i], slots[i]); score > best {
			home, best = region, score
		}
	}
	return home
}

// weightedScore returns a region's score in weighted rendezvous hashing. Each region scores highest for a fraction of the
// hashes in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	return math.Pow(toUnitInterval(mixBits(hash)), 1/weight)
}
