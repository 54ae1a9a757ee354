package placement

import (
	"math"
	"slices"

	"github.com/daisygap/daisygap"
)

// speedScale and weightScale convert the values of a SpeedEstimate.
const (
	speedScale  = 1_000
	weightScale = 1_000
)

// RecentSpeeds returns estimates of the speeds of upstreams that aren't even with their pools, to be sent to other daemons.
func (f *Fleet) RecentSpeeds(now daisygap.Millis) []daisygap.SpeedEstimate {
	var list []daisygap.SpeedEstimate
	for _, p := range f.Pools() {
		list = p.appendSpeeds(list, now)
	}
	return list
}

// appendSpeeds appends estimates up to maxSpeedsPerMessage, those of the least even upstreams first.
func (p *Pool) appendSpeeds(list []daisygap.SpeedEstimate, now daisygap.Millis) []daisygap.SpeedEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.speed.shared {
		if len(list) >= maxSpeedsPerMessage {
			break
		}
		if s := &u.speed; now-s.observedAt <= maxSpeedAge && s.low.weight+s.high.weight >= minSpeedWeight {
			list = append(list, p.estimateOf(u, now))
		}
	}
	return list
}

func (p *Pool) estimateOf(u *Upstream, now daisygap.Millis) daisygap.SpeedEstimate {
	s := &u.speed
	return daisygap.SpeedEstimate{
		Upstream: u.shortID(), StartTime: u.StartTime, Age: now - s.observedAt,
		Low: toScale(s.low.mean()-p.speed.low, speedScale), LowWeight: toScale(s.low.weight, weightScale),
		High: toScale(s.high.mean()-p.speed.high, speedScale), HighWeight: toScale(s.high.weight, weightScale),
	}
}

func toScale(x, scale float64) int {
	return int(math.Round(x * scale))
}

// MergeSpeeds mixes another daemon's estimates with this daemon's, and returns the results for that daemon to adopt. Estimates of other
// processes, old ones and invalid ones are ignored.
func (f *Fleet) MergeSpeeds(list []daisygap.SpeedEstimate, now daisygap.Millis) []daisygap.SpeedEstimate {
	var results []daisygap.SpeedEstimate
	f.eachSpeed(list, func(p *Pool, u *Upstream, e daisygap.SpeedEstimate) {
		p.mergeSpeed(u, e, now)
		results = append(results, p.estimateOf(u, now))
	})
	return results
}

// AdoptSpeeds changes this daemon's estimates by what the reply to the sent ones changed in them. Replacing them would discard what other
// exchanges mixed into them meanwhile, and count what was sent more than once.
func (f *Fleet) AdoptSpeeds(sent, reply []daisygap.SpeedEstimate, now daisygap.Millis) {
	f.eachSpeed(reply, func(p *Pool, u *Upstream, e daisygap.SpeedEstimate) {
		i := slices.IndexFunc(sent, func(s daisygap.SpeedEstimate) bool { return s.Upstream == e.Upstream && s.StartTime == e.StartTime })
		if i < 0 {
			return
		}
		s := &u.speed
		s.expire(now)
		s.low.adopt(p.speed.low, sent[i].Low, sent[i].LowWeight, e.Low, e.LowWeight)
		s.high.adopt(p.speed.high, sent[i].High, sent[i].HighWeight, e.High, e.HighWeight)
		s.observedAt = max(s.observedAt, now-e.Age)
		s.merges++
	})
}

// eachSpeed calls a function with each valid estimate and its upstream, under the lock of its pool.
func (f *Fleet) eachSpeed(list []daisygap.SpeedEstimate, do func(*Pool, *Upstream, daisygap.SpeedEstimate)) {
	known := f.byShortID.Load()
	if known == nil {
		return
	}
	for _, e := range list[:min(len(list), maxSpeedsPerMessage)] {
		u := (*known)[e.Upstream]
		if u == nil || u.StartTime != e.StartTime || e.Age < 0 || e.Age > maxSpeedAge || !isPlausible(e) {
			continue
		}
		if p := f.Pool(u.Pool); p != nil {
			p.mu.Lock()
			do(p, u, e)
			p.mu.Unlock()
		}
	}
}

// isPlausible reports whether an estimate's values are some that a daemon can send.
func isPlausible(e daisygap.SpeedEstimate) bool {
	// The medians of two daemons may differ.
	maxMean := toScale(2*maxSpeedMean, speedScale)
	const maxWeight = 1_000 * weightScale
	return min(e.Low, e.High) >= -maxMean && max(e.Low, e.High) <= maxMean &&
		min(e.LowWeight, e.HighWeight) >= 0 && max(e.LowWeight, e.HighWeight) <= maxWeight
}

func (p *Pool) mergeSpeed(u *Upstream, e daisygap.SpeedEstimate, now daisygap.Millis) {
	s := &u.speed
	s.expire(now)
	s.low.mix(p.speed.low+float64(e.Low)/speedScale, float64(e.LowWeight)/weightScale)
	s.high.mix(p.speed.high+float64(e.High)/speedScale, float64(e.HighWeight)/weightScale)
	s.observedAt = max(s.observedAt, now-e.Age)
	s.merges++
}
