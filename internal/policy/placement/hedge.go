package placement

import (
	"github.com/daisygap/daisygap"
)

const (
	// hedgeMargin is the part of a request's target latency that a second copy leaves for the way to the caller and back.
	hedgeMargin = daisygap.Millis(20)
	// minHedgeDelayRatio is the smallest delay of a second copy, relative to the usual service time. Below it most requests would
	// be sent twice.
	minHedgeDelayRatio = 1.05
	// hedgeGainWeight is the weight of one second copy in the moving average of hedgeGain.
	hedgeGainWeight = 0.05
	// initialHedgeGain and minHedgeGain are the value of hedgeGain before the first second copy, and the value below which only
	// one in hedgeProbeInterval second copies is sent.
	initialHedgeGain   = 0.5
	minHedgeGain       = 0.15
	hedgeProbeInterval = 16
)

// HedgeDelay returns how long to wait for an answer before a second copy of a request is sent, which is the latest time at
// which the copy can still meet the target latency. It returns 0 if no copy can.
func (p *Pool) HedgeDelay(q Query, first Choice) daisygap.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !q.Route.Idempotent || q.Route.LargeResponses || len(q.Tried) > 0 {
		return 0
	}
	t := p.serviceTimes[q.Route.Name]
	if t == nil || t.hit.count < recentTimesSize {
		return 0
	}
	away := p.roundTrip(first.Upstream)
	delay := float64(q.Route.TargetLatency-q.Elapsed-hedgeMargin) - away - t.hit.median
	if delay < away+minHedgeDelayRatio*t.hit.median {
		return 0
	}
	return daisygap.Millis(delay)
}

// ChooseHedge returns the upstream for the second copy of a request: the next one by affinity in the region of the first copy
// that has a free slot. It returns false if there is none, if the region is busy or if second copies rarely help. Done must be
// called for an upstream that ChooseHedge returns.
func (p *Pool) ChooseHedge(q Query, first Choice, now daisygap.Millis) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	region := first.Upstream.Region
	if p.utilization[region] >= maxMissUtilization || !p.isHedgeWorthwhile(q.Route.Name) {
		return Choice{}, false
	}
	q.PermitRequests = maxPermitRequests // an upstream that limits its rate gets no copies
	warm, _, _ := p.candidates(q, now)
	s := &p.buffers.search
	*s = search{p: p, q: q, now: now, eligible: warm}
	best := s.freeBeside(first.Upstream)
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	p.shifts.record(region, now)
	return Choice{Upstream: best, Verdict: Hedge, Load: best.load(now), ReportAge: now - best.observedAt}, true
}

func (p *Pool) isHedgeWorthwhile(route string) bool {
	t := p.serviceTimesOf(route)
	if t.hedgeGain >= minHedgeGain {
		return true
	}
	t.hedgesSkipped++
	if t.hedgesSkipped < hedgeProbeInterval {
		return false
	}
	t.hedgesSkipped = 0
	return true
}

// RecordHedge records whether the second copy of a request was answered before the first.
func (p *Pool) RecordHedge(route string, won bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.serviceTimesOf(route)
	t.hedgeGain -= hedgeGainWeight * t.hedgeGain
	if won {
		t.hedgeGain += hedgeGainWeight
	}
}
