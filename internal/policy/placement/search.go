package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// retryLeast and retryMost bound the advice when to come back, in ms.
	retryLeast = daisygap.Millis(50)
	retryMost  = daisygap.Millis(1_000)
)

// search is the choice for one query among the upstreams that can take it.
type search struct {
	p    *Pool
	q    Query
	now  daisygap.Millis
	able []*Upstream
	home string
	// owners are the upstreams that hold the object, the one of the home first.
	owners []*Upstream
	// service is the expected time in a slot in ms, with the object at hand.
	service float64
	coldly  float64
}

func (p *Pool) search(q Query, able []*Upstream, now daisygap.Millis) *search {
	s := &search{p: p, q: q, now: now, able: able}
	t := p.timesOf(q.Route.Name)
	t.target = float64(q.Route.TargetLatency)
	s.service, s.coldly = t.warm, t.cold
	if s.service == 0 {
		s.service = float64(q.Route.TargetLatency) / 2
	}
	if s.coldly == 0 {
		s.coldly = 2 * s.service
	}
	s.home = p.homeOf(q, able)
	s.owners = s.findOwners()
	return s
}

// findOwners returns the upstream of each region that serves the object, the home's first; bulk answers stay in the own domain.
func (s *search) findOwners() []*Upstream {
	best := make(map[string]*Upstream)
	for _, u := range s.able {
		if b := best[u.Region]; b == nil || s.before(u, b) {
			best[u.Region] = u
		}
	}
	var list []*Upstream
	if u := best[s.home]; u != nil {
		if s.q.Route.LargeResponses && s.home == s.p.Region {
			list = s.appendLocal(list)
		}
		list = append(list, u)
	}
	for _, region := range s.p.regions {
		if u := best[region]; u != nil && region != s.home {
			list = append(list, u)
		}
	}
	return list
}

// appendLocal adds the upstream of the own domain that serves the object.
func (s *search) appendLocal(list []*Upstream) []*Upstream {
	var best *Upstream
	for _, u := range s.able {
		if u.Domain == s.p.Domain && (best == nil || s.before(u, best)) {
			best = u
		}
	}
	if best == nil {
		return list
	}
	return append(list, best)
}

// before orders upstreams for the query: by affinity, or by load where there is none.
func (s *search) before(a, b *Upstream) bool {
	if s.q.HasObject && s.q.Route.Affinity {
		return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
	}
	la, lb := a.load(s.now)/float64(a.Slots), b.load(s.now)/float64(b.Slots)
	if la != lb {
		return la < lb
	}
	return a.score(s.q.ObjectHash) > b.score(s.q.ObjectHash)
}

// spare is the time in ms that a request may wait at an upstream and still be on time.
func (s *search) spare(u *Upstream, service float64) float64 {
	return float64(s.q.Route.TargetLatency-s.q.Elapsed) - service - s.p.trip(u)
}

func (s *search) fits(u *Upstream, service float64) bool {
	wait := u.wait(s.now, s.service)
	return wait == 0 && s.spare(u, service) > 0 || wait <= onTimeShare*s.spare(u, service)
}

func (s *search) pick(u *Upstream, v Verdict, owner bool) (Choice, bool) {
	return Choice{Upstream: u, Verdict: v, Load: u.load(s.now), Wait: u.wait(s.now, s.service), ReportAge: s.now - u.reported, owner: owner}, true
}

// owner takes the upstream that holds the object in the region where it belongs.
func (s *search) owner() (Choice, bool) {
	for _, u := range s.owners {
		if u.Region == s.home && s.fits(u, s.service) && s.mayRun(u.Region) {
			return s.pick(u, Owner, true)
		}
	}
	return Choice{}, false
}

// spilled takes the upstream that holds the object in another region, as far as the share of moved work allows.
func (s *search) spilled() (Choice, bool) {
	if !s.maySpill() {
		return Choice{}, false
	}
	var best *Upstream
	for _, u := range s.owners {
		if u.Region != s.home && s.roomy(u.Region) && s.fits(u, s.service) && s.mayRun(u.Region) && (best == nil || u.wait(s.now, s.service) < best.wait(s.now, s.service)) {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	s.p.spill--
	return s.pick(best, Spilled, true)
}

// mayRun tells whether the regions' shares of the requests allow one more in a region.
func (s *search) mayRun(region string) bool {
	return s.now < s.p.troubled || len(s.q.Tried) > 0 || s.p.drift.allows(region, s.now)
}

// roomy tells whether a region has room for work without its objects at hand, which takes several times as long.
func (s *search) roomy(region string) bool {
	return s.p.use[region] < roomyUse
}

func (s *search) maySpill() bool {
	return s.p.spill >= 1 || s.now < s.p.troubled || len(s.q.Tried) > 0
}

// second takes an idle upstream of the home region that doesn't hold the object, if that is still on time.
func (s *search) second() (Choice, bool) {
	if !s.roomy(s.home) {
		return Choice{}, false
	}
	var best *Upstream
	for _, u := range s.able {
		if u.Region != s.home || 2*u.load(s.now) > float64(u.Slots) || !s.fits(u, s.coldly) {
			continue
		}
		if best == nil || s.before(u, best) {
			best = u
		}
	}
	if best == nil || !s.mayRun(best.Region) {
		return Choice{}, false
	}
	return s.pick(best, Second, false)
}

// late takes the owner with the shortest queue, or the nearest for large answers, when nothing can be on time.
func (s *search) late() (Choice, bool) {
	var best *Upstream
	for _, u := range s.owners {
		if u.Region != s.home && !s.maySpill() || !s.mayRun(u.Region) || !s.bears(u) {
			continue
		}
		if best == nil || !s.q.Route.LargeResponses && u.wait(s.now, s.service) < best.wait(s.now, s.service) {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.Region != s.home {
		s.p.spill--
	}
	return s.pick(best, Late, best.Region == s.home)
}

// bears tells whether an upstream's queue is short enough for a request that will be late.
func (s *search) bears(u *Upstream) bool {
	wait, held := u.wait(s.now, s.service), max(u.service, s.service)
	if wait+s.p.trip(u)+held > float64(s.q.Remaining) {
		return false
	}
	queue := held
	// A longer queue would make those that come next late as well.
	if punctual := onTimeShare * (float64(s.q.Route.TargetLatency) - s.service); punctual > 0 {
		queue = min(held, punctual)
	}
	most := lateShare[min(max(s.q.Route.Priority, 0), len(lateShare)-1)]
	return wait <= most*queue || u.Region == s.home && s.p.drift.lacks(u.Region, s.now)
}

// refusal says when the object's owner is expected to have a slot.
func (s *search) refusal() Choice {
	u := s.owners[0]
	wait := u.wait(s.now, s.service)
	spare := max(0, onTimeShare*s.spare(u, s.service))
	retry := daisygap.Millis(wait - spare)
	return Choice{Verdict: Full, Load: u.load(s.now), Wait: wait, ReportAge: s.now - u.reported, RetryAfter: min(max(retry, retryLeast), retryMost)}
}

// homeOf returns the region where a query's object belongs: the own one for a share of the objects, else that of the one region for all callers.
func (p *Pool) homeOf(q Query, able []*Upstream) string {
	slots := make(map[string]float64)
	for _, u := range able {
		slots[u.Region] += float64(u.Slots)
	}
	stay := p.stay
	if q.Route.LargeResponses {
		stay = p.bulkStay
	}
	if slots[p.Region] > 0 && unit(mix(q.ObjectHash)) < stay {
		return p.Region
	}
	home, top := "", -1.0
	for _, region := range p.regions {
		if slots[region] == 0 {
			continue
		}
		if rank := weighted(q.ObjectHash^xxhash.Sum64String(region), slots[region]); rank > top {
			home, top = region, rank
		}
	}
	return home
}

// weighted orders regions by rendezvous hashing, each first in proportion to its weight.
func weighted(hash uint64, weight float64) float64 {
	return math.Pow(unit(mix(hash)), 1/weight)
}
