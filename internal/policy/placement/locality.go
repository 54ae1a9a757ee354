package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// TickInterval is the time between two adjustments of the region's share.
	TickInterval = daisygap.Millis(500)
	// localShareStep is the change of the share in one tick; four ticks stay under the part that may move in two seconds.
	localShareStep = 0.02
	// largeLocalShareStep is the same for large answers that leave a busy region; they are few, and the limit of moved requests holds for them too.
	largeLocalShareStep = 0.1
	// busyUtilization and idle are the parts of the own region's slots between which the share rests.
	busyUtilization = 0.8
	idleUtilization = 0.4
	// minDistantRatio is the part of a request's spare time that the way to another region must take for objects to come home; an object that
	// moves is met anew.
	minDistantRatio = 0.25
	// maxMissUtilization is the part of a region's slots in use from which on objects stay with the upstreams that hold them.
	maxMissUtilization = 0.6
)

// Tick adjusts the part of the objects that the own region serves by the load of its upstreams and the others'.
func (p *Pool) Tick(now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, away, both := p.updateUtilization(now)
	switch {
	case !both:
	case near > busyUtilization && away < near:
		p.localShare, p.largeLocalShare = max(0, p.localShare-localShareStep), max(0, p.largeLocalShare-largeLocalShareStep)
	case near < idleUtilization || away > near:
		if p.isFarFromOthers() {
			p.localShare = min(1, p.localShare+localShareStep)
		}
		p.largeLocalShare = min(1, p.largeLocalShare+localShareStep)
	}
}

// updateUtilization keeps the part of each region's slots in use, and returns that of the own region and of the others, if both have slots.
func (p *Pool) updateUtilization(now daisygap.Millis) (near, away float64, both bool) {
	load, slots := make(map[string]float64), make(map[string]float64)
	for _, u := range p.upstreams {
		if !u.isDown(now) && !u.isCold(now) {
			load[u.Region] += u.load(now)
			slots[u.Region] += float64(u.Slots)
		}
	}
	p.utilization = make(map[string]float64, len(slots))
	var far, farSlots float64
	for region, n := range slots {
		p.utilization[region] = load[region] / n
		if region != p.Region {
			far += load[region]
			farSlots += n
		}
	}
	if slots[p.Region] == 0 || farSlots == 0 {
		return 0, 0, false
	}
	return p.utilization[p.Region], far / farSlots, true
}

// isFarFromOthers tells whether the way to the nearest other region takes much of the time that a request has beside its service.
func (p *Pool) isFarFromOthers() bool {
	trip := math.Inf(1)
	for _, region := range p.regions {
		if region != p.Region {
			trip = min(trip, p.roundTripTo(region))
		}
	}
	for _, t := range p.serviceTimes {
		if t.hit > 0 && trip > minDistantRatio*(t.target-t.hit) {
			return true
		}
	}
	return false
}
