package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// TickInterval is the time between two calls of Pool.Tick.
	TickInterval = daisygap.Millis(500)
	// localShareStep is the change of localShare in one tick. Four ticks (2 s) stay below the fraction of the requests that may
	// change regions in two seconds.
	localShareStep = 0.02
	// largeLocalShareStep is the decrease of largeLocalShare in one tick while the region is busy. Large responses are few, and
	// the limit on shifts between regions applies to them too.
	largeLocalShareStep = 0.1
	// busyUtilization is the utilization of this daemon's region above which the local shares may decrease, and idleUtilization
	// the one below which they increase. They also increase while the other regions are busier than this one.
	busyUtilization = 0.8
	idleUtilization = 0.4
	// minDistantRatio is the fraction of a request's slack above which the round trip to another region makes objects return to
	// this region. For a shorter round trip the move isn't worth its cost: the new owner has not served the object before.
	minDistantRatio = 0.25
	// objectsPerUpstream is the number of objects that an upstream is assumed to serve fast because it has served them lately.
	objectsPerUpstream = 16
	// maxMissUtilization is the utilization of a region from which on requests go only to upstreams that have served their
	// objects lately.
	maxMissUtilization = 0.6
)

// Tick adjusts the fraction of the objects that stay in this daemon's region to the utilization of its own and the other regions.
func (p *Pool) Tick(now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects.rotate(now) {
		p.updateHoming()
	}
	p.updateSpeeds(now)
	local, remote, both := p.updateUtilization(now)
	// Without requests, the utilization says nothing.
	if both && p.homing.active && p.objects.estimate() > 0 {
		// Before the local share changes, so that the first share of a route differs from it by one step only.
		p.updateRouteShares()
		p.adjustLocalShare(local, remote)
		p.adjustDomainShare(local)
	}
	switch {
	case !both:
	case local > busyUtilization && remote < local:
		if !p.homing.active {
			p.localShare = max(0, p.localShare-localShareStep)
		}
		p.largeLocalShare = max(0, p.largeLocalShare-largeLocalShareStep)
	case local < idleUtilization || remote > local:
		if !p.homing.active && (p.isFarFromOthers() || p.hasFewObjects()) {
			p.localShare = min(1, p.localShare+localShareStep)
		}
		p.largeLocalShare = min(1, p.largeLocalShare+localShareStep)
	}
}

// updateUtilization updates the utilization of each region. It returns that of this daemon's region and of all others together,
// and whether both have slots.
func (p *Pool) updateUtilization(now daisygap.Millis) (local, remote float64, both bool) {
	load, slots := make(map[string]float64), make(map[string]float64)
	for _, u := range p.upstreams {
		if a := u.availability(now); (a == available || a == limited) && !u.isDown(now) && !u.isCold(now) {
			load[u.Region] += u.load(now)
			slots[u.Region] += u.usableSlots()
		}
	}
	p.utilization = make(map[string]float64, len(slots))
	var remoteLoad, remoteSlots float64
	for region, n := range slots {
		p.utilization[region] = load[region] / n
		if region != p.Region {
			remoteLoad += load[region]
			remoteSlots += n
		}
	}
	if slots[p.Region] == 0 || remoteSlots == 0 {
		return 0, 0, false
	}
	return p.utilization[p.Region], remoteLoad / remoteSlots, true
}

// hasFewObjects reports whether the upstreams of this daemon's region can keep all objects that were requested repeatedly.
func (p *Pool) hasFewObjects() bool {
	count := 0
	for _, u := range p.upstreams {
		if u.Region == p.Region {
			count++
		}
	}
	n := p.objects.repeated()
	return n > 0 && n <= objectsPerUpstream*count
}

// isFarFromOthers reports whether the round trip to the nearest other region takes more than minDistantRatio of the slack of
// some route's requests.
func (p *Pool) isFarFromOthers() bool {
	roundTrip := math.Inf(1)
	for _, region := range p.regions {
		if region != p.Region {
			roundTrip = min(roundTrip, p.roundTripTo(region))
		}
	}
	for _, t := range p.serviceTimes {
		if t.hit.median > 0 && roundTrip > minDistantRatio*(t.target-t.hit.median) {
			return true
		}
	}
	return false
}
