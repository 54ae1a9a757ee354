package placement

import (
	"testing"

	"github.com/daisygap/daisygap"
)

func TestLargeResponsesPreferOwnDomain(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, all(6), nil, 0)
	r := reads()
	r.LargeResponses = true
	p := f.Pool("p")
	for object := range uint64(50) {
		c := p.Choose(query(r, object), 1)
		if c.Upstream.Domain != "n-1" && c.Upstream.Region == "north" {
			t.Errorf("object %d is fetched from %s", object, c.Upstream.Domain)
		}
		p.Done(c, "r", Outcome{Result: Canceled}, 1)
	}
}

// TestLargeResponsesStayInIdleRegion has a region with a small part of the slots, which would share its other objects.
func TestLargeResponsesStayInIdleRegion(t *testing.T) {
	for _, target := range []daisygap.Millis{300, 20} {
		f := newFleet("a", "n-1")
		f.Replace(limits, append(instances("n-2", 1, 6), instances("s-1", 8, 6)...), nil, 0)
		r := reads()
		r.LargeResponses, r.TargetLatency = true, target
		p := f.Pool("p")
		for object := range uint64(100) {
			c := p.Choose(query(r, object), 1)
			if c.Upstream.Region != "north" {
				t.Errorf("target %d: object %d is fetched from the %s", target, object, c.Upstream.Region)
			}
			p.Done(c, "r", Outcome{Result: Answered, ResponseTime: 100}, 1)
		}
	}
}

// TestLargeResponsesLeaveBusyRegion has a region with far too few slots for its large answers.
func TestLargeResponsesLeaveBusyRegion(t *testing.T) {
	const patience = 5_000
	f := newFleet("a", "n-1")
	f.Replace(limits, append(instances("n-2", 1, 6), instances("s-1", 8, 6)...), nil, 0)
	r := reads()
	r.LargeResponses = true
	p := f.Pool("p")
	var held []Choice
	for now := daisygap.Millis(0); now < patience; now += TickInterval {
		for p.upstreams[0].load(now) < 6 {
			held = append(held, p.Choose(query(r, uint64(len(held))), now))
		}
		p.Tick(now)
	}
	home := 0
	for object := range uint64(100) {
		if p.homeRegionOf(query(r, object), p.upstreams) == "north" {
			home++
		}
	}
	if fair := 100 * 6 / 54; home > 2*fair {
		t.Errorf("%d of 100 objects stay in a region with %d of 100 slots that was busy for %d ms", home, fair, patience)
	}
}

// TestObjectsReturnOnlyFromDistantRegions has regions that are 70 ms apart, and requests that have much or little time beside their service.
func TestObjectsReturnOnlyFromDistantRegions(t *testing.T) {
	for _, tt := range []struct {
		target daisygap.Millis
		home   bool
	}{{300, true}, {1_000, false}} {
		f := newFleet("a", "n-1")
		f.Replace(limits, all(6), nil, 0)
		p := f.Pool("p")
		r := reads()
		r.TargetLatency = tt.target
		for now := daisygap.Millis(0); now < 60_000; now += TickInterval {
			c := p.Choose(query(r, uint64(now)), now)
			p.Done(c, r.Name, Outcome{Result: Answered, ResponseTime: 120 + daisygap.Millis(p.roundTrip(c.Upstream)), ConnectTime: daisygap.Millis(p.roundTrip(c.Upstream))}, now)
			p.Tick(now)
		}
		if home := p.localShare == 1; home != tt.home {
			t.Errorf("target %d: all objects at home: %t, a part of %v", tt.target, home, p.localShare)
		}
	}
}
