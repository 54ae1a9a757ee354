package placement

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// recentTimesSize is the number of service times that a median is taken of. It is odd, so that the median is one of them.
const recentTimesSize = 15

// lowRatio is the fraction of the requests at owners that stay below the time of one for an object that the owner has served lately, while many
// objects are new to their owners.
const lowRatio = 0.3

// recentTimes holds the latest service times of a kind of request. Their median stays near the usual time while some requests
// take many times as long, which a mean doesn't.
type recentTimes struct {
	ring  [recentTimesSize]float64
	count int
	// median is the median in ms, or 0 before the first time, and low the time that lowRatio of them stay below.
	median float64
	low    float64
}

// record adds a service time. With onlyDown, times that are not below the median are ignored.
func (r *recentTimes) record(ms float64, onlyDown bool) {
	if onlyDown && ms >= r.median {
		return
	}
	r.ring[r.count%recentTimesSize] = ms
	r.count++
	sorted := r.ring
	known := sorted[:min(r.count, recentTimesSize)]
	slices.Sort(known)
	r.median, r.low = known[len(known)/2], known[int(lowRatio*float64(len(known)))]
}

// start sets the service time that is assumed before the first requests.
func (r *recentTimes) start(ms float64) {
	if ms <= 0 {
		return
	}
	for range hintTimes {
		r.record(ms, false)
	}
}

// serviceTimes holds the service times of a route in ms.
type serviceTimes struct {
	// hit is for requests at the object's owner, which has usually served the object lately, and miss for all others.
	hit  recentTimes
	miss recentTimes
	// hitReference and missReference are the usual times that the speeds of upstreams are compared with.
	hitReference  reference
	missReference reference
	// target is the route's target latency, and requests the number of its requests since the last tick.
	target   float64
	requests int
	// hedgeGain is the moving average of the fraction of second copies that were answered before the first copy, and
	// hedgesSkipped the number of second copies in a row that were not sent because that fraction is low.
	hedgeGain     float64
	hedgesSkipped int
}

// updateMean updates an exponentially weighted moving average. With onlyDown, values that would raise it are ignored.
func updateMean(mean *float64, value float64, onlyDown bool) {
	switch {
	case onlyDown && (*mean == 0 || value >= *mean):
	case *mean == 0:
		*mean = value
	default:
		*mean += serviceTimeWeight * (value - *mean)
	}
}

func (p *Pool) serviceTimesOf(route string) *serviceTimes {
	t := p.serviceTimes[route]
	if t == nil {
		if p.serviceTimes == nil {
			p.serviceTimes = make(map[string]*serviceTimes)
		}
		t = &serviceTimes{hedgeGain: initialHedgeGain}
		p.serviceTimes[route] = t
	}
	return t
}

// UsualTime returns the usual time of a route's requests at the most distant upstream that doesn't own their objects, and whether it is
// known.
func (p *Pool) UsualTime(route string) (daisygap.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.serviceTimes[route]
	if t == nil || t.hit.count+t.miss.count == 0 {
		return 0, false
	}
	longest := 0.0
	for _, region := range p.regions {
		longest = max(longest, p.roundTripTo(region))
	}
	return daisygap.Millis(max(t.hit.median, t.miss.median) + longest), true
}
