package placement

import (
	"math"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// minHomingUpstreams is the number of upstreams of a pool from which on objects are served in the region of their callers as far as it
	// has slots. In a smaller pool a region has too few upstreams to take that many objects at the start.
	minHomingUpstreams = 40
	// minDomainUpstreams is the number of upstreams in each domain of a region from which on the domains have owners of their own. With
	// fewer, the end of one upstream would move a large part of a domain's objects.
	minDomainUpstreams = 8
	// minKeptUpstreams is the number below which a region whose domains had owners of their own goes back to one owner for all of them.
	minKeptUpstreams = minDomainUpstreams / 2
	// maxOwningDomains is the largest number of domains of a region that have owners of their own. Each domain more adds a first, slow request for
	// each object.
	maxOwningDomains = 2
	// maxObjectsMargin is by how much the estimated number of objects must exceed what the upstreams of a domain can keep before the region
	// goes back to one owner, since the estimate is rough.
	maxObjectsMargin = 1.5
	// minUtilizationGap is how much less utilized than this region the others must be before objects leave it. Below that, the round trip
	// and the first slow response elsewhere cost more than the shorter queue gains.
	minUtilizationGap = 0.25
	// spareUtilization is the utilization of this region below which objects return to it.
	spareUtilization = 0.55
	// routeShareStep is the largest change of one route's local share in one tick.
	routeShareStep = 0.035
	// domainShareStep is the increase of the fraction of the objects that are owned by domain in one tick. The first request for an object at
	// a new owner takes several times as long.
	domainShareStep = 0.04
	// maxWarmRatio is the largest ratio of the median time at owners to the low one while most requests meet an owner that has served the object.
	maxWarmRatio = 1.6
	// initialHeadroom is the fraction of a region's part of the work that stays at the start. The rest allows for demand that moves between
	// regions, and for objects whose first requests are slow.
	initialHeadroom = 0.8
	// workWeight is the weight of one tick in the moving average of a route's work.
	workWeight = 0.2
	// minEstimateRequests is the number of requests from which on the number of objects is estimated.
	minEstimateRequests = 40
)

// homing decides which objects are served in the region of their callers, and whether its domains have owners of their own. It is used in
// large pools, whose daemons see each object too rarely to decide from their own requests.
type homing struct {
	active bool
	// byDomain is set if the domains of this daemon's region may have owners of their own, and domainShare is the fraction of the objects for
	// which they have.
	byDomain    bool
	domainShare float64
	// work is the moving average of each route's work in ms per tick, and shares the fraction of its objects that stay in the region.
	work   map[string]float64
	shares map[string]float64
}

// updateHoming adapts the owners to a change of the upstreams or of the number of objects.
func (p *Pool) updateHoming() {
	h := &p.homing
	if h.active && len(p.upstreams) < minHomingUpstreams/2 {
		*h = homing{}
	}
	if !h.active && len(p.upstreams) >= minHomingUpstreams {
		h.active = true
		// A pool in use keeps its share, since a jump would exceed the limit on shifts between regions.
		if !p.hinted && len(p.serviceTimes) == 0 {
			p.localShare = p.initialLocalShare()
		}
	}
	smallest, domains := p.smallestDomain()
	limit, kept := minDomainUpstreams, float64(objectsPerUpstream*smallest)
	if h.byDomain {
		limit, kept = minKeptUpstreams, maxObjectsMargin*kept
	}
	h.byDomain = h.active && domains <= maxOwningDomains && smallest >= limit && float64(p.objects.estimate()) <= kept
	if !h.byDomain {
		h.domainShare = 0
	}
}

// isOwnedByDomain reports whether the query's object has an owner in each domain of this daemon's region.
func (s *search) isOwnedByDomain() bool {
	return s.q.HasObject && s.q.Route.Affinity && toUnitInterval(mixBits(s.q.ObjectHash^domainSalt)) < s.p.homing.domainShare
}

// isWarm reports whether most requests are as fast as those for objects that their owners have served lately.
func (p *Pool) isWarm() bool {
	known := false
	for _, t := range p.serviceTimes {
		if t.hit.count < recentTimesSize {
			continue
		}
		known = true
		if t.hit.median > maxWarmRatio*t.hit.low {
			return false
		}
	}
	return known
}

// domainSalt makes the objects that are owned by domain independent of those that stay in the region.
const domainSalt = 0x9e3779b97f4a7c15

// adjustDomainShare gives more objects to owners in each domain while the region has spare slots for the first, slow requests there, and most
// requests meet an owner that has served the object.
func (p *Pool) adjustDomainShare(local float64) {
	if p.homing.byDomain && local < spareUtilization && p.isWarm() {
		p.homing.domainShare = min(1, p.homing.domainShare+domainShareStep)
	}
}

// smallestDomain returns the number of upstreams in the smallest domain of this daemon's region, and the number of its domains.
func (p *Pool) smallestDomain() (smallest, domains int) {
	counts := make(map[string]int)
	for _, u := range p.upstreams {
		if u.Region == p.Region {
			counts[u.Domain]++
		}
	}
	for _, n := range counts {
		if smallest == 0 || n < smallest {
			smallest = n
		}
	}
	return smallest, len(counts)
}

// initialLocalShare returns the fraction of the objects that this region can serve without being busier than the others, if each region has
// the same demand, with some headroom.
func (p *Pool) initialLocalShare() float64 {
	own, total := 0, 0
	for _, u := range p.upstreams {
		total += u.Slots
		if u.Region == p.Region {
			own += u.Slots
		}
	}
	return min(1, initialHeadroom*float64(own)/float64(total)*float64(len(p.regions)))
}

// adjustLocalShare moves objects out of this region while it is much busier than the others, and back while it has spare slots.
func (p *Pool) adjustLocalShare(local, remote float64) {
	switch {
	case local > busyUtilization && remote+minUtilizationGap < local:
		p.localShare = max(0, p.localShare-localShareStep)
	case local < spareUtilization || remote > local:
		p.localShare = min(1, p.localShare+localShareStep)
	}
}

// updateRouteShares divides the local share among the routes. Those whose target latency leaves the least time for the way to another region
// stay first.
func (p *Pool) updateRouteShares() {
	h := &p.homing
	if h.work == nil {
		h.work, h.shares = make(map[string]float64), make(map[string]float64)
	}
	total := 0.0
	var routes []string
	for route, t := range p.serviceTimes {
		work := float64(t.requests) * t.hit.low
		t.requests = 0
		if last, known := h.work[route]; known {
			work = last + workWeight*(work-last)
		}
		h.work[route] = work
		total += work
		routes = append(routes, route)
	}
	slices.SortFunc(routes, func(a, b string) int { return p.compareSlack(a, b) })
	left := p.localShare * total
	for _, route := range routes {
		share := 1.0
		if work := h.work[route]; work > left {
			share = left / work
		}
		left -= min(left, h.work[route])
		last, known := h.shares[route]
		if !known {
			if h.work[route] == 0 {
				continue
			}
			last = p.localShare
		}
		h.shares[route] = min(max(share, last-routeShareStep), last+routeShareStep)
	}
}

// compareSlack orders routes by the time that their target latency leaves beside the service time.
func (p *Pool) compareSlack(a, b string) int {
	ta, tb := p.serviceTimes[a], p.serviceTimes[b]
	switch slack := (ta.target - ta.hit.low) - (tb.target - tb.hit.low); {
	case slack < 0:
		return -1
	case slack > 0:
		return 1
	case a < b:
		return -1
	}
	return 1
}

// localShareOf returns the fraction of a route's objects that are served in this daemon's region.
func (p *Pool) localShareOf(r *daisygap.Route) float64 {
	if r.LargeResponses {
		return p.largeLocalShare
	}
	if share, known := p.homing.shares[r.Name]; known {
		return share
	}
	return p.localShare
}

// estimate returns the estimated number of distinct objects that callers request, or 0 if too few requests were seen. A daemon of a large
// fleet sees each object rarely, so the estimate follows from how many of its requests were for an object that it had seen before.
func (c *objectCounter) estimate() int {
	period := c.current
	if c.previous.requests > period.requests {
		period = c.previous
	}
	requests, distinct := float64(period.requests), float64(len(period.objects))
	if requests < minEstimateRequests {
		return 0
	}
	if distinct >= requests {
		// About so many objects give one repetition.
		return int(requests * requests / 2)
	}
	low, high := distinct, requests*requests
	for high-low > 1 {
		middle := (low + high) / 2
		if middle*(1-math.Exp(-requests/middle)) < distinct {
			low = middle
		} else {
			high = middle
		}
	}
	return int(high)
}
