package placement

import (
	"math"
	"testing"

	"github.com/daisygap/daisygap"
)

// TestOverlappingExchangesKeepWeights guards against observations that count more than once because a daemon sends them to several others
// before the first reply, or gets another message meanwhile.
func TestOverlappingExchangesKeepWeights(t *testing.T) {
	var fleets []*Fleet
	weight := func() (sum float64) {
		for _, f := range fleets {
			sum += f.Pool("p").upstreams[0].speed.low.weight
		}
		return sum
	}
	for i := range 4 {
		f, _ := slowPool(tickPool)
		m := &f.Pool("p").upstreams[0].speed.low
		m.sum, m.weight = m.sum/float64(i+1), m.weight/float64(i+1)
		fleets = append(fleets, f)
	}
	before := weight()
	a, b, c, d := fleets[0], fleets[1], fleets[2], fleets[3]
	sent, sentByD := a.RecentSpeeds(10_000), d.RecentSpeeds(10_000)
	fromB, fromC := b.MergeSpeeds(sent, 10_000), c.MergeSpeeds(sent, 10_000)
	fromA := a.MergeSpeeds(sentByD, 10_000)
	a.AdoptSpeeds(sent, fromB, 10_000)
	a.AdoptSpeeds(sent, fromC, 10_000)
	d.AdoptSpeeds(sentByD, fromA, 10_000)
	if after := weight(); math.Abs(after-before) > 0.01 {
		t.Errorf("sum of the weights %.2f, want %.2f as before the exchanges", after, before)
	}
}

// TestAdoptionIsBounded guards against a negative weight or an extreme mean after many overlapping exchanges.
func TestAdoptionIsBounded(t *testing.T) {
	m := speedMean{weight: 1, sum: 0.5}
	for i := range 20 {
		m.adopt(0.1, 400, 1_000, 200+10*i, 500)
		if m.weight < 0 || math.IsNaN(m.sum) || m.mean() < 0 || m.mean() > 0.5 {
			t.Fatalf("weight %.2f and mean %.2f after %d results", m.weight, m.mean(), i+1)
		}
	}
}

// TestQueuedResponsesExtendOnlyWhatIsKnown guards against a slow upstream that counts as one which slows down under load, because responses
// that may have been queued pass for even ones at a load at which nothing was observed.
func TestQueuedResponsesExtendOnlyWhatIsKnown(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 3, 4), nil, 1)
	p := f.Pool("p")
	u := p.upstreams[0]
	for now := daisygap.Millis(100); now <= 20_000; now += 100 {
		for _, other := range p.upstreams {
			ms, load, waiting := daisygap.Millis(100), 3, 0
			if other == u {
				ms = 200
				if now > 10_000 && now%TickInterval != 0 {
					ms, load, waiting = 260, 5, 1
				}
			}
			other.inFlight++
			p.Done(Choice{Upstream: other, isOwner: true, Load: float64(load - 1)}, "r",
				Outcome{Result: Answered, ResponseTime: ms, Load: &daisygap.LoadReport{Running: load - waiting, Waiting: waiting, Slots: 4}}, now)
		}
		if now%TickInterval == 0 {
			p.Tick(now)
			if s := u.speed; now >= 5_000 && (s.factor < 1.5 || s.slots != 1) {
				t.Fatalf("factor %.2f and usable slots %.2f at %d ms, want about 2 and all", s.factor, u.effectiveSlots(), now)
			}
		}
	}
}

// TestFrozenObservationsExpire guards against observations that count as new ones after a daemon was frozen or a domain evacuated.
func TestFrozenObservationsExpire(t *testing.T) {
	const later = 600_000
	f, list := slowPool(tickPool)
	f.Replace(limits, list, map[string]bool{list[0].Domain: true}, 10_001)
	f.Replace(limits, list, nil, later)
	tickPool(f, later)
	if s := f.Pool("p").upstreams[0].speed; s.factor != 1 || s.low.weight > 0 {
		t.Errorf("factor %.2f and weight %.2f of observations ten minutes ago", s.factor, s.low.weight)
	}
	f, _ = slowPool(tickPool)
	e := f.RecentSpeeds(10_000)[0]
	e.Low, e.High, e.Age = 0, 0, 0
	reply := f.MergeSpeeds([]daisygap.SpeedEstimate{e}, later)
	if len(reply) != 1 || math.Abs(float64(reply[0].Low)) > 1 {
		t.Errorf("reply %+v contains observations ten minutes ago", reply)
	}
}

// TestRejectionsSayNothingOfSpeed guards against an upstream that gets more requests because it rejects some immediately.
func TestRejectionsSayNothingOfSpeed(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 3, 4), nil, 1)
	p := f.Pool("p")
	for now := daisygap.Millis(100); now <= 20_000; now += 100 {
		for i, u := range p.upstreams {
			o := Outcome{Result: Answered, ResponseTime: 100}
			if i == 0 && now%200 == 0 {
				o.ResponseTime, o.Rejected = 2, true
			}
			u.inFlight++
			p.Done(Choice{Upstream: u, isOwner: true}, "r", o, now)
		}
		if now%TickInterval == 0 {
			p.Tick(now)
			if s := p.upstreams[0].speed; s.factor != 1 || s.weight != 1 {
				t.Fatalf("factor %.2f and weight %.2f at %d ms", s.factor, s.weight, now)
			}
		}
	}
}

// TestVerySlowUpstreamRecovers guards against an upstream that counts as slow long after a time in which it took many times as long, because
// each response counts only a little less than the mean.
func TestVerySlowUpstreamRecovers(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 3, 4), nil, 1)
	p := f.Pool("p")
	const ended = 60_000
	for now := daisygap.Millis(100); ; now += 100 {
		for i, u := range p.upstreams {
			ms := daisygap.Millis(100)
			if i == 0 && now > 10_000 && now <= ended {
				ms = 5_000
			}
			u.inFlight++
			p.Done(Choice{Upstream: u, isOwner: true}, "r", Outcome{Result: Answered, ResponseTime: ms}, now)
		}
		if now%TickInterval == 0 {
			p.Tick(now)
		}
		if u := p.upstreams[0]; now > ended && u.speed.factor == 1 {
			t.Logf("even %d ms after the end", now-ended)
			return
		}
		if now > ended+15_000 {
			t.Fatalf("factor %.2f and mean %.2f 15 s after the end", p.upstreams[0].speed.factor, p.upstreams[0].speed.low.mean())
		}
	}
}
