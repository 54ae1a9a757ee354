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
			t.Errorf("object %d is served by domain %s", object, c.Upstream.Domain)
		}
		p.Done(c, "r", Outcome{Result: Canceled}, 1)
	}
}

// TestLargeResponsesStayInIdleRegion uses a region with few of the slots. Other routes spread their objects over all regions by
// slots, but large responses must not cross regions while their own is idle.
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
				t.Errorf("target %d ms: object %d is served by region %s", target, object, c.Upstream.Region)
			}
			p.Done(c, "r", Outcome{Result: Answered, ResponseTime: 100}, 1)
		}
	}
}

// TestLargeResponsesLeaveBusyRegion uses a region with far too few slots for its large responses. After five
// seconds, the fraction of their objects that stay may be at most twice the region's fraction of the slots.
func TestLargeResponsesLeaveBusyRegion(t *testing.T) {
	const overload = 5_000
	f := newFleet("a", "n-1")
	f.Replace(limits, append(instances("n-2", 1, 6), instances("s-1", 8, 6)...), nil, 0)
	r := reads()
	r.LargeResponses = true
	p := f.Pool("p")
	var held []Choice
	for now := daisygap.Millis(0); now < overload; now += TickInterval {
		for p.upstreams[0].load(now) < 6 {
			held = append(held, p.Choose(query(r, uint64(len(held))), now))
		}
		p.Tick(now)
	}
	local := 0
	for object := range uint64(100) {
		if p.homeRegionOf(query(r, object), p.upstreams) == "north" {
			local++
		}
	}
	if fair := 100 * 6 / 54; local > 2*fair {
		t.Errorf("%d of 100 objects stay in a region with %d%% of the slots after %d ms of overload", local, fair, overload)
	}
}

// TestObjectsReturnOnlyFromDistantRegions uses regions that are 70 ms apart, with a target latency that leaves requests little or
// much slack. Objects must return to their own region only if the round trip takes much of the slack.
func TestObjectsReturnOnlyFromDistantRegions(t *testing.T) {
	for _, tt := range []struct {
		target daisygap.Millis
		local  bool
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
		if local := p.localShare == 1; local != tt.local {
			t.Errorf("target %d ms: local share %v, want 1: %t", tt.target, p.localShare, tt.local)
		}
	}
}
