package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// minRetryAfter and retryMost bound the advice when to come back, in ms.
	minRetryAfter = daisygap.Millis(50)
	maxRetryAfter = daisygap.Millis(1_000)
)

// search is the choice for one query among the upstreams that can take it.
type search struct {
	p          *Pool
	q          Query
	now        daisygap.Millis
	eligible   []*Upstream
	homeRegion string
	// owners are the upstreams that hold the object, the one of the home first.
	owners []*Upstream
	// hitTime is the expected time in a slot in ms, with the object at hand.
	hitTime  float64
	missTime float64
}

func (p *Pool) search(q Query, able []*Upstream, now daisygap.Millis) *search {
	s := &search{p: p, q: q, now: now, eligible: able}
	t := p.serviceTimesOf(q.Route.Name)
	t.target = float64(q.Route.TargetLatency)
	s.hitTime, s.missTime = t.hit, t.miss
	if s.hitTime == 0 {
		s.hitTime = float64(q.Route.TargetLatency) / 2
	}
	if s.missTime == 0 {
		s.missTime = 2 * s.hitTime
	}
	s.homeRegion = p.homeRegionOf(q, able)
	s.owners = s.findOwners()
	return s
}

// findOwners returns the upstream of each region that serves the object, the home's first; bulk answers stay in the own domain.
func (s *search) findOwners() []*Upstream {
	best := make(map[string]*Upstream)
	for _, u := range s.eligible {
		if b := best[u.Region]; b == nil || s.prefers(u, b) {
			best[u.Region] = u
		}
	}
	var list []*Upstream
	if u := best[s.homeRegion]; u != nil {
		if s.q.Route.LargeResponses && s.homeRegion == s.p.Region {
			list = s.appendDomainOwner(list)
		}
		list = append(list, u)
	}
	for _, region := range s.p.regions {
		if u := best[region]; u != nil && region != s.homeRegion {
			list = append(list, u)
		}
	}
	return list
}

// appendDomainOwner adds the upstream of the own domain that serves the object.
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

// prefers orders upstreams for the query: by affinity, or by load where there is none.
func (s *search) prefers(a, b *Upstream) bool {
	if s.q.HasObject && s.q.Route.Affinity {
		return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
	}
	la, lb := a.load(s.now)/float64(a.Slots), b.load(s.now)/float64(b.Slots)
	if la != lb {
		return la < lb
	}
	return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
}

// slack is the time in ms that a request may wait at an upstream and still be on time.
func (s *search) slack(u *Upstream, service float64) float64 {
	return float64(s.q.Route.TargetLatency-s.q.Elapsed) - service - s.p.roundTrip(u)
}

func (s *search) isOnTime(u *Upstream, service float64) bool {
	wait := u.wait(s.now, s.hitTime)
	return wait == 0 && s.slack(u, service) > 0 || wait <= maxWaitRatio*s.slack(u, service)
}

func (s *search) choose(u *Upstream, v Verdict, owner bool) (Choice, bool) {
	return Choice{Upstream: u, Verdict: v, Load: u.load(s.now), Wait: u.wait(s.now, s.hitTime), ReportAge: s.now - u.observedAt, isOwner: owner}, true
}

// tryOwner takes the upstream that holds the object in the region where it belongs.
func (s *search) tryOwner() (Choice, bool) {
	for _, u := range s.owners {
		if u.Region == s.homeRegion && s.isOnTime(u, s.hitTime) && s.allowsRegion(u.Region) {
			return s.choose(u, Owner, true)
		}
	}
	return Choice{}, false
}

// trySpill takes the upstream that holds the object in another region, as far as the share of moved work allows.
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

// allowsRegion tells whether the regions' shares of the requests allow one more in a region.
func (s *search) allowsRegion(region string) bool {
	return s.now < s.p.unlimitedUntil || len(s.q.Tried) > 0 || s.p.shifts.allows(region, s.now)
}

// allowsMisses tells whether a region has room for work without its objects at hand, which takes several times as long.
func (s *search) allowsMisses(region string) bool {
	return s.p.utilization[region] < maxMissUtilization
}

func (s *search) canSpill() bool {
	return s.p.spillTokens >= 1 || s.now < s.p.unlimitedUntil || len(s.q.Tried) > 0
}

// tryNonOwner takes an idle upstream of the home region that doesn't hold the object, if that is still on time.
func (s *search) tryNonOwner() (Choice, bool) {
	if !s.allowsMisses(s.homeRegion) {
		return Choice{}, false
	}
	var best *Upstream
	for _, u := range s.eligible {
		if u.Region != s.homeRegion || 2*u.load(s.now) > float64(u.Slots) || !s.isOnTime(u, s.missTime) {
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

// tryLate takes the owner with the shortest queue, or the nearest for large answers, when nothing can be on time.
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

// acceptsLate tells whether an upstream's queue is short enough for a request that will be late.
func (s *search) acceptsLate(u *Upstream) bool {
	wait, held := u.wait(s.now, s.hitTime), max(u.meanServiceTime, s.hitTime)
	if wait+s.p.roundTrip(u)+held > float64(s.q.Remaining) {
		return false
	}
	queue := held
	// A longer queue would make those that come next late as well.
	if punctual := maxWaitRatio * (float64(s.q.Route.TargetLatency) - s.hitTime); punctual > 0 {
		queue = min(held, punctual)
	}
	most := lateQueueRatios[min(max(s.q.Route.Priority, 0), len(lateQueueRatios)-1)]
	return wait <= most*queue || u.Region == s.homeRegion && s.p.shifts.hasLostShare(u.Region, s.now)
}

// refusal says when the object's owner is expected to have a slot.
func (s *search) refusal() Choice {
	u := s.owners[0]
	wait := u.wait(s.now, s.hitTime)
	spare := max(0, maxWaitRatio*s.slack(u, s.hitTime))
	retry := daisygap.Millis(wait - spare)
	return Choice{Verdict: Full, Load: u.load(s.now), Wait: wait, ReportAge: s.now - u.observedAt, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter)}
}

// homeRegionOf returns the region where a query's object belongs: the own one for a share of the objects, else that of the one region for all callers.
func (p *Pool) homeRegionOf(q Query, able []*Upstream) string {
	slots := make(map[string]float64)
	for _, u := range able {
		slots[u.Region] += float64(u.Slots)
	}
	stay := p.localShare
	if q.Route.LargeResponses {
		stay = p.largeLocalShare
	}
	if slots[p.Region] > 0 && toUnitInterval(mixBits(q.ObjectHash)) < stay {
		return p.Region
	}
	home, top := "", -1.0
	for _, region := range p.regions {
		if slots[region] == 0 {
			continue
		}
		if rank := weightedScore(q.ObjectHash^xxhash.Sum64String(region), slots[region]); rank > top {
			home, top = region, rank
		}
	}
	return home
}

// weightedScore orders regions by rendezvous hashing, each first in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	return math.Pow(toUnitInterval(mixBits(hash)), 1/weight)
}
