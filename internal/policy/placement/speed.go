package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// evenFactor bounds the time factors from 1/evenFactor to evenFactor at which an upstream counts as even with its pool.
	evenFactor = 1.25
	// maxFactor bounds the time factor, so that an upstream keeps some requests by which its improvement is noticed.
	maxFactor = 4
	// minObjectWeight and maxObjectWeight bound an upstream's weight in the hashing of objects.
	minObjectWeight = 0.25
	maxObjectWeight = 2
	// minSlotsRatio is the smallest fraction of its slots that an upstream fills which slows down under load. Loads are distinguished only
	// by whether more than half of the slots are in use.
	minSlotsRatio = 0.5
	// weightExponent relates the weight of an upstream to the part of its factor beyond evenFactor. The weight is continuous there, and
	// about the inverse of the factor at 2 and at 1/2.
	weightExponent = 1.5
	// maxWeightFall and maxWeightRise bound the change of an upstream's weight and usable slots in one tick. Objects return more slowly
	// than they leave, because an upstream serves each returning object slowly once.
	maxWeightFall = 0.1
	maxWeightRise = 0.05
	// speedDecay is the factor of the observations' weights in one tick: e^-1 in 2 s. Momentary slowness takes 600 ms, so that a mean
	// covers about seven such intervals.
	speedDecay = 0.779
	// maxSpeedDeviation bounds the difference of an observation's logarithm from the mean. One response that takes seven times as long
	// counts no more than one that takes 1.35 times as long.
	maxSpeedDeviation = 0.3
	// priorSpeedWeight is the weight, in observations, of the assumption that an upstream is even with its pool.
	priorSpeedWeight = 2
	// minSpeedWeight is the smallest weight of observations that count.
	minSpeedWeight = 0.02
	// queuedWeight is the weight of a response that may have been queued. It extends the life of what is known, and changes nothing else.
	queuedWeight = 0.2
	// comparedDelay is added to service times in ms, so that the delays of a busy host don't make short ones look uneven.
	comparedDelay = 10
	// referenceWeight is the weight of one response in the usual time of a route.
	referenceWeight = 0.03
	// referenceStart is the number of first responses of a route whose plain mean is its usual time, and referenceSettled the number of
	// those that count for the usual time only. Upstreams serve most objects for the first time then.
	referenceStart   = 10
	referenceSettled = 60
	// maxSpeedAge is the age from which on estimates of other daemons are ignored.
	maxSpeedAge = daisygap.Millis(6_000)
	// maxSpeedsPerMessage is the largest number of speed estimates in one gossip message.
	maxSpeedsPerMessage = 32
	// sharedDeviation is the smallest logarithm of a time factor that a daemon sends to others. Their replies contain their own
	// estimates, whatever these are.
	sharedDeviation = 0.08
)

var evenDeviation = math.Log(evenFactor)

// maxSpeedMean bounds how far an observation counts from the median. Since it counts only maxSpeedDeviation less than the mean, a larger mean
// would remain for long after the upstream has recovered.
var maxSpeedMean = math.Log(maxFactor) + maxSpeedDeviation

// speedMean is the decaying mean of the logarithms of service times relative to the usual time of their route.
type speedMean struct {
	weight, sum float64
	// own is the sum of the squared weights of this daemon's observations. It is large after a new one, which dominates the mean until
	// it is mixed with the means of other daemons.
	own float64
}

func (m *speedMean) mean() float64 {
	if m.weight < minSpeedWeight {
		return 0
	}
	return m.sum / m.weight
}

// add adds an observation, limited to maxSpeedDeviation from the mean and to maxSpeedMean from the median.
func (m *speedMean) add(x, median float64) {
	center := m.mean()
	x = center + clamp(x-center, -maxSpeedDeviation, maxSpeedDeviation)
	m.sum += clamp(x, median-maxSpeedMean, median+maxSpeedMean)
	m.weight++
	m.own++
}

// extend adds weight without changing the mean. Without observations there is nothing to extend, and the weight would stand for an even
// upstream.
func (m *speedMean) extend(weight float64) {
	if m.weight < minSpeedWeight {
		return
	}
	m.sum += weight * m.mean()
	m.weight += weight
}

// mix replaces the mean by the average of itself and another daemon's, which then adopts it. The result is always a weighted mean of
// observations, and the sum of the weights doesn't change, however often daemons exchange theirs.
func (m *speedMean) mix(mean, weight float64) {
	m.sum, m.weight, m.own = (m.sum+mean*weight)/2, (m.weight+weight)/2, m.own/4
}

// adopt changes the mean by the difference of two estimates of it, given relative to the median: the one that was sent to another daemon, and
// the result of mixing it there. The mean stays between itself and the result.
func (m *speedMean) adopt(median float64, sent, sentWeight, result, resultWeight int) {
	mean, before, after := m.mean(), float64(sentWeight)/weightScale, float64(resultWeight)/weightScale
	if m.weight < minSpeedWeight {
		mean = median
	}
	x, y := median+float64(sent)/speedScale, median+float64(result)/speedScale
	weight := m.weight + after - before
	sum := m.sum + y*after - x*before
	m.own /= 4
	if weight < minSpeedWeight {
		m.sum, m.weight = 0, 0
		return
	}
	m.weight, m.sum = weight, weight*clamp(sum/weight, min(mean, y), max(mean, y))
}

func (m *speedMean) decay() {
	m.sum *= speedDecay
	m.weight *= speedDecay
	m.own *= speedDecay * speedDecay
}

// count returns the effective number of observations in the mean, which contains those of a number of daemons.
func (m *speedMean) count(sources float64) float64 {
	if m.weight < minSpeedWeight {
		return 0
	}
	return min(m.weight*sources, m.weight*m.weight/max(m.own, 1e-9))
}

// reference is the logarithm of the usual time of a route's requests at an upstream that is even with its pool.
type reference struct {
	log   float64
	count int
}

func (r *reference) record(x float64) {
	r.count++
	if r.count <= referenceStart {
		r.log += (x - r.log) / float64(r.count)
		return
	}
	r.log += referenceWeight * clamp(x-r.log, -maxSpeedDeviation, maxSpeedDeviation)
}

// speed is what is known of an upstream's speed relative to its pool.
type speed struct {
	// factor is how long work takes relative to the pool while that is outside the band of evenFactor, or 1.
	factor float64
	// weight is the upstream's weight in the hashing of objects, and slots the fraction of its slots that it fills without slowing down.
	weight, slots float64
	// low and high hold the observations with up to half of the slots in use and with more.
	low, high speedMean
	// observedAt is the time of the newest observation.
	observedAt daisygap.Millis
	// merges is the decaying number of estimates of other daemons that the means contain.
	merges float64
	// lastLog and lastRise are the results of estimate in the last tick.
	lastLog, lastRise float64
}

func evenSpeed() speed {
	return speed{factor: 1, weight: 1, slots: 1}
}

// poolSpeed holds what the speeds of a pool's upstreams are relative to.
type poolSpeed struct {
	// low and high are the medians of the upstreams' means.
	low, high float64
	// uneven is set while an upstream's factor isn't 1, and weighted while an upstream's weight isn't.
	uneven, weighted bool
	// shared lists the upstreams whose estimates other daemons get, the least even ones first.
	shared []*Upstream
	// changes holds what TakeSpeedChanges returns next.
	changes []SpeedChange
	values  []float64
}

// SpeedChange is the departure of an upstream's time factor from the band of evenFactor, or its return, or the same of its usable slots.
type SpeedChange struct {
	Upstream  string
	StartTime int64
	// Uneven reports whether the upstream isn't even with its pool.
	Uneven bool
	// Factor is how long work takes relative to the pool, or 1 within the band.
	Factor float64
	// UsableSlots is the number of slots that the upstream fills without slowing down, and Weight that in the hashing of objects.
	UsableSlots float64
	Weight      float64
}

// recordSpeed records the service time of a response. A request that may have been queued shows at most that the upstream is faster.
func (p *Pool) recordSpeed(c Choice, r *reference, o Outcome, now daisygap.Millis) {
	u := c.Upstream
	x := math.Log(max(0, float64(o.ResponseTime-o.ConnectTime)-p.roundTrip(u)) + comparedDelay)
	running := c.Load + 1 // when the request was sent
	queued := running > float64(u.Slots)
	if o.Load != nil {
		queued = queued || o.Load.Waiting > 0
		running = min(running, float64(o.Load.Running))
	}
	s := &u.speed
	s.expire(now)
	m, expected := &s.low, p.speed.low
	if 2*running > float64(u.Slots) {
		m, expected = &s.high, p.speed.high
	}
	s.observedAt = now
	if queued && (r.count <= referenceSettled || x-r.log >= m.mean()) {
		if m.mean() > expected {
			s.low.extend(queuedWeight)
			s.high.extend(queuedWeight)
		}
		return
	}
	// The usual time is that of an even upstream.
	r.record(x - m.mean() + expected)
	if r.count > referenceSettled {
		m.add(x-r.log, expected)
	}
}

// updateSpeeds determines each upstream's factor, weight and usable slots from the observations, once per tick.
func (p *Pool) updateSpeeds(now daisygap.Millis) {
	ps := &p.speed
	low, known := p.medianSpeed(func(s *speed) *speedMean { return &s.low })
	high, highKnown := p.medianSpeed(func(s *speed) *speedMean { return &s.high })
	switch {
	case known < 2 && highKnown >= 2:
		low = high
	case highKnown < 3:
		high = low
	}
	ps.low, ps.high, ps.uneven, ps.weighted = low, high, false, false
	ps.shared = ps.shared[:0]
	for _, u := range p.upstreams {
		s := &u.speed
		s.expire(now)
		if s.isUnknown() {
			continue
		}
		x, rise := s.estimate(low, high, p.daemonCount())
		if max(known, highKnown) < 2 {
			x, rise = 0, 0
		}
		evenTime, allSlots := s.factor == 1, s.slots == 1
		s.update(x, rise)
		if evenTime != (s.factor == 1) || allSlots != (s.slots == 1) {
			ps.changes = append(ps.changes, SpeedChange{u.ID, u.StartTime, s.factor != 1 || s.slots != 1, s.factor, s.slots * float64(u.Slots), s.weight})
		}
		ps.uneven, ps.weighted = ps.uneven || s.factor != 1, ps.weighted || s.weight != 1
		if s.deviation() >= sharedDeviation {
			ps.shared = append(ps.shared, u)
		}
		s.low.decay()
		s.high.decay()
		s.merges *= speedDecay
	}
	slices.SortStableFunc(ps.shared, func(a, b *Upstream) int { return cmp.Compare(b.speed.deviation(), a.speed.deviation()) })
}

// expire drops the observations if the newest one is older than maxSpeedAge. Their weights don't decay while the daemon is frozen or the
// upstream's domain is evacuated.
func (s *speed) expire(now daisygap.Millis) {
	if now-s.observedAt > maxSpeedAge {
		s.low, s.high, s.merges = speedMean{}, speedMean{}, 0
	}
}

// isUnknown reports whether there are no observations, and nothing of earlier ones is in force.
func (s *speed) isUnknown() bool {
	return max(s.low.weight, s.high.weight) < minSpeedWeight && s.factor == 1 && s.weight == 1 && s.slots == 1
}

// update sets the factor, weight and usable slots from the results of estimate in this tick and the last one. What only one of them shows
// doesn't count, since a single response of this daemon may dominate the mean for a tick.
func (s *speed) update(x, rise float64) {
	steady := max(0, min(x, s.lastLog)) + min(0, max(x, s.lastLog))
	s.factor = 1
	if math.Abs(steady) > evenDeviation {
		s.factor = clamp(math.Exp(steady), 1.0/maxFactor, maxFactor)
	}
	s.weight = approach(s.weight, clamp(weightOf(steady), minObjectWeight, maxObjectWeight))
	s.slots = approach(s.slots, clamp(weightOf(min(rise, s.lastRise)), minSlotsRatio, 1))
	s.lastLog, s.lastRise = x, rise
}

// deviation returns the logarithm of the factor or of its rise in the last tick, without the band.
func (s *speed) deviation() float64 {
	return max(math.Abs(s.lastLog), s.lastRise)
}

// medianSpeed returns the median of the upstreams' means and the number of upstreams that have one.
func (p *Pool) medianSpeed(of func(*speed) *speedMean) (median float64, known int) {
	values := p.speed.values[:0]
	for _, u := range p.upstreams {
		if m := of(&u.speed); m.weight >= minSpeedWeight {
			values = append(values, m.mean())
		}
	}
	p.speed.values = values
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2, n
}

// estimate returns the logarithms of the time factor and of its rise from half of the slots on, both biased towards 0 while there are
// few observations. A daemon's observations count as often as those of other daemons were merged into them, because merging keeps the
// weight that a single daemon has.
func (s *speed) estimate(low, high float64, daemons int) (x, rise float64) {
	sources := min(math.Exp2(s.merges), float64(max(1, daemons)))
	nl, nh := s.low.count(sources), s.high.count(sources)
	xl, xh := s.low.mean()-low, s.high.mean()-high
	if nl > 0 && nh > 0 {
		n := nl * nh / (nl + nh)
		rise = max(0, (xh-xl)*n/(n+priorSpeedWeight))
	}
	if rise > evenDeviation {
		return xl * nl / (nl + priorSpeedWeight), rise
	}
	return (xl*nl + xh*nh) / (nl + nh + priorSpeedWeight), rise
}

// weightOf returns the weight for the logarithm of a time factor: 1 within the band of evenFactor, and continuous at its ends.
func weightOf(x float64) float64 {
	beyond := max(0, math.Abs(x)-evenDeviation)
	return math.Exp(-weightExponent * math.Copysign(beyond, x))
}

// approach moves a weight towards its target by at most maxWeightFall or maxWeightRise.
func approach(weight, target float64) float64 {
	return clamp(target, weight-maxWeightFall, weight+maxWeightRise)
}

// TakeSpeedChanges returns the changes since the last call.
func (p *Pool) TakeSpeedChanges() []SpeedChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.speed.changes
	p.speed.changes = nil
	return list
}

// UnevenUpstreams returns the number of upstreams whose time factor is outside the band of evenFactor.
func (p *Pool) UnevenUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, u := range p.upstreams {
		if u.speed.factor != 1 {
			count++
		}
	}
	return count
}

// effectiveSlots returns the number of slots that the upstream fills without slowing down.
func (u *Upstream) effectiveSlots() float64 {
	return float64(u.Slots) * u.speed.slots
}

// adjust returns the service time to assume at the upstream: its own mean, which may be old, or the usual time by its factor.
func (s *speed) adjust(mean, usual float64) float64 {
	switch {
	case mean == 0:
		return usual * s.factor
	case s.factor > 1:
		return max(mean, usual*s.factor)
	case s.factor < 1:
		return min(mean, usual*s.factor)
	}
	return mean
}

// weightedAffinity reports whether a comes before b for an object by their scores and weights.
func weightedAffinity(a, b *Upstream, object uint64) bool {
	sa, sb := a.score(object), b.score(object)
	switch wa, wb := a.speed.weight, b.speed.weight; {
	case sa > sb && wa >= wb:
		return true
	case sa <= sb && wa <= wb:
		return false
	}
	return math.Log(toUnitInterval(sa))/a.speed.weight > math.Log(toUnitInterval(sb))/b.speed.weight
}

// occupancy returns the upstream's load relative to the work that it does per slot, for a pool of uneven upstreams.
func (u *Upstream) occupancy(now daisygap.Millis) float64 {
	return (u.load(now) + 1) / u.effectiveSlots() * u.speed.factor
}

func clamp(x, low, high float64) float64 {
	return min(max(x, low), high)
}
