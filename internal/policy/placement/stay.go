package placement

import "github.com/daisygap/daisygap"

const (
	// TickSpan is the time between two adjustments of the region's share.
	TickSpan = daisygap.Millis(500)
	// stayStep is the change of the share in one tick; four ticks stay under the part that may move in two seconds.
	stayStep = 0.02
	// busy and idle are the parts of the own region's slots between which the share rests.
	busy = 0.8
	idle = 0.6
	// overFair is the share at the start against an even spread of all work over the regions.
	overFair = 1.6
)

// fairStay is the share of objects that the own region's slots bear if all regions see the same work.
func (p *Pool) fairStay() float64 {
	own, all := 0.0, 0.0
	for _, u := range p.upstreams {
		all += float64(u.Slots)
		if u.Region == p.Region {
			own += float64(u.Slots)
		}
	}
	if all == 0 {
		return 1
	}
	return min(1, overFair*own/all*float64(len(p.regions)))
}

// Tick adjusts the part of the objects that the own region serves by the load of its upstreams and the others'.
func (p *Pool) Tick(now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var own, ownSlots, far, farSlots float64
	for _, u := range p.upstreams {
		if u.isDown(now) || u.isCold(now) {
			continue
		}
		if u.Region == p.Region {
			own += u.load(now)
			ownSlots += float64(u.Slots)
		} else {
			far += u.load(now)
			farSlots += float64(u.Slots)
		}
	}
	if ownSlots == 0 || farSlots == 0 {
		return
	}
	near, away := own/ownSlots, far/farSlots
	switch {
	case near > busy && away < near:
		p.stay = max(0, p.stay-stayStep)
	case near < idle || away > near:
		p.stay = min(1, p.stay+stayStep)
	}
}
