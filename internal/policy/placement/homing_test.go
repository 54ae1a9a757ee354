package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// unevenPool returns the pool of a daemon in domain n-1, whose region has one upstream for each four of the other region's.
func unevenPool(t *testing.T) *Pool {
	t.Helper()
	f := newFleet("a", "n-1")
	var list []daisygap.Instance
	for domain, n := range map[string]int{"n-1": 8, "n-2": 8, "s-1": 32, "s-2": 32} {
		list = append(list, instances(domain, n, 4)...)
	}
	f.Replace(limits, list, nil, 0)
	return f.Pool("p")
}

// localFraction returns the fraction of many objects whose home is the daemon's region.
func localFraction(p *Pool, r *daisygap.Route) float64 {
	local := 0
	for object := range uint64(2_000) {
		warm, _, _ := p.candidates(query(r, object), 0)
		if p.homeRegionOf(query(r, object), warm) == p.Region {
			local++
		}
	}
	return float64(local) / 2_000
}

// TestLargePoolServesObjectsAtHome guards against the requests of a large fleet that cross regions after a start although their own region has
// slots, and against a region with few slots that keeps all its objects.
func TestLargePoolServesObjectsAtHome(t *testing.T) {
	p := unevenPool(t)
	// The region has a fifth of the slots and half of the demand, and 0.8 of 0.4 of the objects stay. It gets a fifth of the others as well.
	if got, want := localFraction(p, reads()), 0.32+0.68*0.2; math.Abs(got-want) > 0.05 {
		t.Errorf("%.2f of the objects are served in the region with few slots, want %.2f", got, want)
	}
	f := newFleet("a", "n-1")
	f.Replace(limits, append(instances("n-1", 40, 4), instances("s-1", 20, 4)...), nil, 0)
	if got := localFraction(f.Pool("p"), reads()); got != 1 {
		t.Errorf("%.2f of the objects are served in the region with most slots, want all", got)
	}
}

// TestUrgentTargetStaysAtHome guards against the way to another region being taken by the requests that can't afford it, while others of the same
// pool could.
func TestUrgentTargetStaysAtHome(t *testing.T) {
	p := unevenPool(t)
	tight, loose := reads(), reads()
	tight.Name, tight.TargetLatency = "tight", 200
	loose.Name, loose.TargetLatency = "loose", 1_500
	r := rand.New(rand.NewPCG(1, 1))
	for now := daisygap.Millis(0); now < 20_000; now += 10 {
		for _, route := range []*daisygap.Route{tight, loose} {
			c := p.Choose(query(route, uint64(r.IntN(200))), now)
			if c.Upstream != nil {
				p.Done(c, route.Name, Outcome{Result: Answered, ResponseTime: 100 + daisygap.Millis(p.roundTrip(c.Upstream))}, now)
			}
		}
		if now%TickInterval == 0 {
			p.localShare = 0.5
			before := p.localShareOf(tight)
			p.Tick(now)
			if after := p.localShareOf(tight); after-before > routeShareStep+0.001 {
				t.Errorf("the share changed from %.2f to %.2f in one tick", before, after)
			}
		}
	}
	p.localShare = 0.5
	p.updateRouteShares()
	if p.homing.shares["tight"] != 1 || p.homing.shares["loose"] > 0.2 {
		t.Errorf("local shares %v, want all of the tight route and nearly none of the other", p.homing.shares)
	}
}

// TestDomainsGetOwnersWhileSlotsAreFree guards against first, slow requests at new owners in a region that is already busy.
func TestDomainsGetOwnersWhileSlotsAreFree(t *testing.T) {
	var got []float64
	for _, running := range []int{0, 4} {
		p := unevenPool(t)
		for object := range uint64(2 * minEstimateRequests) {
			p.objects.record(object % minEstimateRequests)
			p.serviceTimesOf("r").hit.record(100, false)
		}
		for now := TickInterval; now <= 15*TickInterval; now += TickInterval {
			for _, u := range p.upstreams {
				u.otherRequests, u.observedAt = float64(running), now
			}
			p.Tick(now)
		}
		got = append(got, math.Round(100*p.homing.domainShare)/100)
	}
	if diff := cmp.Diff([]float64{0.6, 0}, got); diff != "" {
		t.Errorf("share of the objects owned by domain after 15 ticks, idle and busy (-want +got):\n%s", diff)
	}
}

// TestSharesWaitForRequests guards against a region that takes all objects before the first requests, when it looks idle.
func TestSharesWaitForRequests(t *testing.T) {
	p := unevenPool(t)
	before := p.localShare
	for now := TickInterval; now <= 20*TickInterval; now += TickInterval {
		p.Tick(now)
	}
	if p.localShare != before || p.homing.domainShare != 0 {
		t.Errorf("local share %.2f after %.2f, domain share %.2f without requests", p.localShare, before, p.homing.domainShare)
	}
}

// TestSmallPoolsAreServedAsBefore guards against a change of owners in pools whose daemons know their objects.
func TestSmallPoolsAreServedAsBefore(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, all(6), nil, 0)
	p := f.Pool("p")
	p.Tick(TickInterval)
	if p.homing.active || p.homing.byDomain || p.localShare > localShareStep {
		t.Errorf("%+v with a local share of %.2f in a pool of 12 upstreams", p.homing, p.localShare)
	}
}

func TestObjectsAreEstimatedFromRepetitions(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	for _, objects := range []int{50, 275, 2_000} {
		var c objectCounter
		for range 150 {
			c.record(uint64(r.IntN(objects)))
		}
		if got := c.estimate(); got < objects/2 || got > 2*objects {
			t.Errorf("%d objects are estimated as %d", objects, got)
		}
	}
}

// TestManyDomainsShareOwners guards against a first, slow request for each object in each of many domains.
func TestManyDomainsShareOwners(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Regions = map[string]string{"n-1": "north", "n-2": "north", "n-3": "north", "s-1": "south"}
	var list []daisygap.Instance
	for domain := range f.Regions {
		list = append(list, instances(domain, 20, 4)...)
	}
	f.Replace(limits, list, nil, 0)
	if p := f.Pool("p"); !p.homing.active || p.homing.byDomain {
		t.Errorf("%+v in a region of three domains, want one owner for all", p.homing)
	}
}

// TestPoolInUseKeepsItsShare guards against a jump of the objects to another region when a pool grows to the size from which on they are served at
// home, and against daemons that disagree about owners after it has shrunk.
func TestPoolInUseKeepsItsShare(t *testing.T) {
	f := newFleet("a", "n-1")
	list := append(instances("n-1", 20, 4), instances("s-1", 19, 4)...)
	f.Replace(limits, list, nil, 0)
	p := f.Pool("p")
	p.Done(p.Choose(query(reads(), 1), 0), "r", Outcome{Result: Answered, ResponseTime: 100}, 50)
	before := localFraction(p, reads())
	f.Replace(limits, append(list, instances("s-2", 1, 4)...), nil, 100)
	if got := localFraction(p, reads()); !p.homing.active || math.Abs(got-before) > 0.05 {
		t.Errorf("%.2f of the objects at home after %.2f, active %t", got, before, p.homing.active)
	}
	f.Replace(limits, all(6), nil, 200)
	if p.homing.active {
		t.Error("a pool of 12 upstreams still serves objects at home")
	}
}

// TestFurtherChoicesAreNoRepetitions guards against an estimate of too few objects because requests that are tried again look like repetitions.
func TestFurtherChoicesAreNoRepetitions(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	p := unevenPool(t)
	for range 150 {
		q := query(reads(), uint64(r.IntN(2_000)))
		for i := range 2 {
			q.PermitRequests = i
			p.Choose(q, 0)
		}
	}
	if got := p.objects.estimate(); got < 1_000 {
		t.Errorf("2,000 objects are estimated as %d", got)
	}
}

// TestOtherDomainOwnersAreNextChoices guards against a request that goes to an upstream which hasn't served its object while another domain has one.
func TestOtherDomainOwnersAreNextChoices(t *testing.T) {
	p := unevenPool(t)
	p.homing.byDomain, p.homing.domainShare, p.localShare = true, 1, 1
	for object := range uint64(200) {
		q := query(reads(), object)
		warm, _, _ := p.candidates(q, 0)
		var got []string
		for _, u := range p.search(q, warm, 0).owners[:2] {
			got = append(got, u.Domain)
		}
		if diff := cmp.Diff([]string{"n-1", "n-2"}, got); diff != "" {
			t.Fatalf("object %d: domains of the first two owners (-want +got):\n%s", object, diff)
		}
	}
}

// TestRequestsWithoutObjectStayBalanced guards against all requests without an object that switch to one domain at once.
func TestRequestsWithoutObjectStayBalanced(t *testing.T) {
	p := unevenPool(t)
	p.homing.byDomain, p.homing.domainShare = true, 1
	for _, u := range p.upstreams {
		if u.Domain == "n-1" {
			u.otherRequests, u.observedAt = 2, 0
		}
	}
	q := query(reads(), 0)
	q.HasObject = false
	warm, _, _ := p.candidates(q, 0)
	if first := p.search(q, warm, 0).owners[0]; first.load(0) != 0 {
		t.Errorf("the first choice in %s has a load of %.0f, others have none", first.Domain, first.load(0))
	}
}
