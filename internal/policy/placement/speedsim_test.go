package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// speedMiss is the service time in ms at an even upstream of an object that it hasn't served lately, and speedHit of one of the
	// speedCache that it served last.
	speedMiss  = 300
	speedHit   = 90
	speedCache = 16
	// speedNear and speedFar are the latencies in ms of three quarters and of a quarter of the messages between daemons. A daemon may get
	// messages while it waits for a reply.
	speedNear, speedFar = daisygap.Millis(1), daisygap.Millis(35)
)

// speedTrial simulates daemons and the upstreams of one pool on a manual clock.
type speedTrial struct {
	daemons, upstreams, objects int
	seed                        uint64
	// rate is in requests per second, over all daemons.
	rate float64
	// factor returns how long work takes at an upstream relative to an even one.
	factor func(upstream, running int, now daisygap.Millis) float64
	// noise makes work take 2.5 times as long in 15 of 100 intervals of 600 ms, and 7 times in 3 of 100 requests.
	noise bool
	// alone turns the gossip off, and blind the use of speeds.
	alone, blind bool
	// response is called for each response to a daemon, and tick after the daemons have updated their estimates.
	response func(daemon, upstream int, hit bool, ms float64, now daisygap.Millis)
	tick     func(now daisygap.Millis)

	random  *rand.Rand
	events  speedEvents
	fleets  []*Fleet
	servers []*speedServer
	indexes map[string]int
	// times holds the response times since reset, served counts them by upstream, and refused counts the refusals.
	times   []float64
	served  []int
	refused int
	// speedsSent is the number of estimates that the daemons sent.
	speedsSent int
}

type speedEvent struct {
	at daisygap.Millis
	do func(now daisygap.Millis)
}

type speedEvents []speedEvent

func (e speedEvents) Len() int           { return len(e) }
func (e speedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e speedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *speedEvents) Push(x any)        { *e = append(*e, x.(speedEvent)) }
func (e *speedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type speedServer struct {
	running int
	waiting []func(now daisygap.Millis)
	cache   []uint64
}

func (tr *speedTrial) after(now, delay daisygap.Millis, do func(now daisygap.Millis)) {
	heap.Push(&tr.events, speedEvent{now + delay, do})
}

func (tr *speedTrial) run(seconds int) {
	tr.random = rand.New(rand.NewPCG(tr.seed, 2))
	tr.reset()
	list := instances("n-1", tr.upstreams, 4)
	var names []string
	for i := range tr.daemons {
		names = append(names, fmt.Sprint("d", i))
	}
	for i := range tr.daemons {
		f := newFleet(names[i], "n-1")
		f.SetDaemons(names)
		if tr.alone {
			f.SetDaemons(names[i : i+1])
		}
		f.Replace(limits, list, nil, 1)
		tr.fleets = append(tr.fleets, f)
		tr.after(1, daisygap.Millis(tr.random.IntN(400)), func(now daisygap.Millis) { tr.gossip(i, now) })
		tr.after(1, daisygap.Millis(tr.random.IntN(500)), func(now daisygap.Millis) { tr.update(i, now) })
	}
	tr.indexes = make(map[string]int)
	for i := range tr.upstreams {
		tr.servers = append(tr.servers, &speedServer{})
		tr.indexes[list[i].ID] = i
	}
	tr.after(1, 0, tr.arrive)
	for end := daisygap.Millis(1_000 * seconds); tr.events[0].at < end; {
		e := heap.Pop(&tr.events).(speedEvent)
		e.do(e.at)
	}
}

func (tr *speedTrial) reset() {
	tr.times, tr.served, tr.refused = nil, make([]int, tr.upstreams), 0
}

// gossip starts two exchanges, the second one when the first has ended.
func (tr *speedTrial) gossip(i int, now daisygap.Millis) {
	tr.exchange(i, now, func(now daisygap.Millis) {
		tr.exchange(i, now, func(daisygap.Millis) {})
	})
	tr.after(now, 400, func(now daisygap.Millis) { tr.gossip(i, now) })
}

func (tr *speedTrial) exchange(i int, now daisygap.Millis, then func(now daisygap.Millis)) {
	j := tr.random.IntN(tr.daemons)
	if j == i || tr.alone {
		then(now)
		return
	}
	delay := speedNear
	if tr.random.IntN(4) == 0 {
		delay = speedFar
	}
	sent := tr.fleets[i].RecentSpeeds(now)
	tr.after(now, delay, func(now daisygap.Millis) {
		reply := tr.fleets[j].MergeSpeeds(sent, now)
		tr.speedsSent += len(sent) + len(reply)
		tr.after(now, delay, func(now daisygap.Millis) {
			tr.fleets[i].AdoptSpeeds(sent, reply, now)
			then(now)
		})
	})
}

func (tr *speedTrial) update(i int, now daisygap.Millis) {
	p := tr.fleets[i].Pool("p")
	p.Tick(now)
	if tr.blind {
		for _, u := range p.upstreams {
			u.speed = evenSpeed()
		}
		p.speed.uneven, p.speed.weighted = false, false
	}
	if i == 0 && tr.tick != nil {
		tr.tick(now)
	}
	tr.after(now, TickInterval, func(now daisygap.Millis) { tr.update(i, now) })
}

func (tr *speedTrial) arrive(now daisygap.Millis) {
	tr.after(now, daisygap.Millis(tr.random.ExpFloat64()*1_000/tr.rate+tr.random.Float64()), tr.arrive)
	d := tr.random.IntN(tr.daemons)
	p, q := tr.fleets[d].Pool("p"), query(reads(), uint64(tr.random.IntN(tr.objects)))
	c := p.Choose(q, now)
	if c.Upstream == nil {
		tr.refused++
		return
	}
	i := tr.indexes[c.Upstream.ID]
	s := tr.servers[i]
	start := func(started daisygap.Millis) {
		s.running++
		ms, hit := tr.work(i, q.ObjectHash, started)
		tr.after(started, daisygap.Millis(ms), func(end daisygap.Millis) {
			report := &daisygap.LoadReport{Running: s.running, Waiting: len(s.waiting), Slots: 4}
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next(end)
			}
			p.Done(c, "r", Outcome{Result: Answered, ResponseTime: end - now, Load: report}, end)
			tr.times = append(tr.times, float64(end-now))
			tr.served[i]++
			if tr.response != nil {
				tr.response(d, i, hit, float64(end-now), end)
			}
		})
	}
	if s.running < 4 {
		start(now)
		return
	}
	s.waiting = append(s.waiting, start)
}

// work returns the service time of a request that starts now, and whether its object was served lately.
func (tr *speedTrial) work(i int, object uint64, now daisygap.Millis) (ms float64, hit bool) {
	s := tr.servers[i]
	at := slices.Index(s.cache, object)
	ms = speedMiss
	if at >= 0 {
		ms = speedHit
		s.cache = slices.Delete(s.cache, at, at+1)
	}
	s.cache = append(s.cache, object)
	s.cache = s.cache[max(0, len(s.cache)-speedCache):]
	ms *= 0.8 + 0.4*tr.random.Float64()
	if tr.noise && toUnitInterval(mixBits(uint64(now/600)<<16|uint64(i)+1)) < 0.15 {
		ms *= 2.5
	}
	if tr.noise && tr.random.Float64() < 0.03 {
		ms *= 7
	}
	if tr.factor != nil {
		ms *= tr.factor(i, s.running, now)
	}
	return ms, at >= 0
}

func (tr *speedTrial) speedOf(daemon, upstream int) speed {
	return tr.fleets[daemon].Pool("p").upstreams[upstream].speed
}

// inForce returns the fraction of the daemons for which an upstream's factor satisfies a condition.
func (tr *speedTrial) inForce(upstream int, is func(s speed) bool) float64 {
	n := 0
	for d := range tr.daemons {
		if is(tr.speedOf(d, upstream)) {
			n++
		}
	}
	return float64(n) / float64(tr.daemons)
}

func isSlower(s speed) bool { return s.factor > 1 }

func isUneven(s speed) bool { return s.factor != 1 || s.slots != 1 }

func percentile(list []float64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(part*float64(len(sorted)-1))]
}

// ownedPart returns the fraction of the objects whose owner an upstream is while all are even.
func (tr *speedTrial) ownedPart(upstream int) float64 {
	owned := 0
	list := tr.fleets[0].Pool("p").upstreams
	for object := range uint64(tr.objects) {
		best := slices.MaxFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.score(mixBits(object)), b.score(mixBits(object))) })
		if best == list[upstream] {
			owned++
		}
	}
	return float64(owned) / float64(tr.objects)
}
