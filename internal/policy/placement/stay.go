package placement

import (
	"math"

	"github.com/daisygap/daisygap"
)

const (
	// TickInterval is the time between two adjustments of the region's share.
	TickInterval = daisygap.Millis(500)
	// stayStep is the change of the share in one tick; four ticks stay under the part that may move in two seconds.
	stayStep = 0.02
	// bulkStep is the same for large answers that leave a busy region; they are few, and the limit of moved requests holds for them too.
	bulkStep = 0.1
	// busy and idle are the parts of the own region's slots between which the share rests.
	busy = 0.8
	idle = 0.4
	// distantShare is the part of a request's spare time that the way to another region must take for objects to come home; an object that
	// moves is met anew.
	distantShare = 0.25
	// roomyUse is the part of a region's slots in use from which on objects stay with the upstreams that hold them.
	roomyUse = 0.6
)

// Tick adjusts the part of the objects that the own region serves by the load of its upstreams and the others'.
func (p *Pool) Tick(now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, away, both := p.measureUse(now)
	switch {
	case !both:
	case near > busy && away < near:
		p.stay, p.bulkStay = max(0, p.stay-stayStep), max(0, p.bulkStay-bulkStep)
	case near < idle || away > near:
		if p.distant() {
			p.stay = min(1, p.stay+stayStep)
		}
		p.bulkStay = min(1, p.bulkStay+stayStep)
	}
}

// measureUse keeps the part of each region's slots in use, and returns that of the own region and of the others, if both have slots.
func (p *Pool) measureUse(now daisygap.Millis) (near, away float64, both bool) {
	load, slots := make(map[string]float64), make(map[string]float64)
	for _, u := range p.upstreams {
		if !u.isDown(now) && !u.isCold(now) {
			load[u.Region] += u.load(now)
			slots[u.Region] += float64(u.Slots)
		}
	}
	p.use = make(map[string]float64, len(slots))
	var far, farSlots float64
	for region, n := range slots {
		p.use[region] = load[region] / n
		if region != p.Region {
			far += load[region]
			farSlots += n
		}
	}
	if slots[p.Region] == 0 || farSlots == 0 {
		return 0, 0, false
	}
	return p.use[p.Region], far / farSlots, true
}

// distant tells whether the way to the nearest other region takes much of the time that a request has beside its service.
func (p *Pool) distant() bool {
	trip := math.Inf(1)
	for _, region := range p.regions {
		if region != p.Region {
			trip = min(trip, p.tripTo(region))
		}
	}
	for _, t := range p.times {
		if t.warm > 0 && trip > distantShare*(t.target-t.warm) {
			return true
		}
	}
	return false
}
