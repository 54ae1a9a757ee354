package allowance

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	simStep    = daisygap.Millis(10)
	windowSpan = daisygap.Millis(5_000)
	// messageOverhead is the size of the JSON-RPC envelope, the frame and the TCP header of a message in bytes.
	messageOverhead = 130
	simRegions      = 3
)

// simulation runs the daemons of a fleet on a manual clock, with delayed messages.
type simulation struct {
	now     daisygap.Millis
	rand    *rand.Rand
	daemons []*simDaemon
	loads   []*load
	queue   eventQueue
	// delay is added to each message, and lost is the fraction of messages that get lost.
	delay daisygap.Millis
	lost  float64
	// cut reports whether two daemons can't reach each other.
	cut func(a, b *simDaemon) bool

	// everyone lists all daemons.
	everyone []daisygap.Peer

	messages, bytes int
	received        map[string]int
}

// simDaemon is one daemon with its view of the others.
type simDaemon struct {
	name    string
	index   int
	region  int
	limiter Limiter
	relay   Relay
	ledger  Ledger
	dead    bool
	// startedAt is when the process started. peers and known are its view of the fleet.
	startedAt    daisygap.Millis
	peers        []daisygap.Peer
	known        int
	coordinators *Coordinators
	// lastContact is when each other daemon was last reachable, as gossip would notice.
	lastContact []daisygap.Millis
	nextView    daisygap.Millis
	incarnation int
}

// load is a customer with its callers.
type load struct {
	customer daisygap.Customer
	// rate returns the requests per second at a time, and region the region of the callers, or -1 for all.
	rate   func(now daisygap.Millis) float64
	region int

	arrived, admitted, refused []int
}

type event struct {
	at  daisygap.Millis
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSimulation(count int, seed uint64, loads ...*load) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), loads: loads, received: make(map[string]int), now: 1_000}
	for i := range count {
		d := &simDaemon{name: fmt.Sprintf("host-%d", i), index: i, region: i % simRegions, lastContact: make([]daisygap.Millis, count)}
		s.daemons = append(s.daemons, d)
		s.everyone = append(s.everyone, daisygap.Peer{Name: d.name, Address: d.address()})
		s.start(d, count)
	}
	for _, d := range s.daemons {
		for j := range s.daemons {
			d.lastContact[j] = s.now
		}
	}
	return s
}

// start starts the process of a daemon, with a number of daemons in the store.
func (s *simulation) start(d *simDaemon, known int) {
	d.dead, d.startedAt, d.nextView, d.coordinators = false, s.now, 0, &Coordinators{}
	d.incarnation++
	source := rand.New(rand.NewPCG(s.rand.Uint64(), 2))
	d.limiter = Limiter{Name: d.name, Rand: source}
	d.relay = Relay{Name: d.name}
	d.ledger = Ledger{}
	d.limiter.Start(s.now)
	d.setKnown(known)
	s.configure(d)
}

func (d *simDaemon) address() string { return fmt.Sprint(d.index) }

func (d *simDaemon) setKnown(known int) {
	d.known = known
	d.limiter.SetDaemons(known)
	d.relay.SetDaemons(known)
	d.ledger.SetDaemons(known)
}

// configure puts the customers of the loads in force at a daemon.
func (s *simulation) configure(d *simDaemon) {
	var list []daisygap.Customer
	for _, l := range s.loads {
		list = append(list, l.customer)
	}
	d.ledger.SetCustomers(list)
}

func (s *simulation) reaches(a, b *simDaemon) bool {
	return !a.dead && !b.dead && (s.cut == nil || !s.cut(a, b))
}

func (s *simulation) allAlive() bool {
	return !slices.ContainsFunc(s.daemons, func(d *simDaemon) bool { return d.dead })
}

// updateView sets the live daemons as gossip would: 3 s after the last contact in a region and 8 s between regions.
func (s *simulation) updateView(d *simDaemon) {
	if s.cut == nil && s.allAlive() {
		d.peers = s.everyone
		d.coordinators.SetPeers(d.peers, s.now)
		for j := range d.lastContact {
			d.lastContact[j] = s.now
		}
		return
	}
	d.peers = nil
	for j, o := range s.daemons {
		if s.reaches(d, o) {
			d.lastContact[j] = s.now
		}
		limit := daisygap.Millis(3_000)
		if o.region != d.region {
			limit = 8_000
		}
		if d.lastContact[j] > 0 && s.now-d.lastContact[j] <= limit {
			d.peers = append(d.peers, daisygap.Peer{Name: o.name, Address: o.address()})
		}
	}
	d.coordinators.SetPeers(d.peers, s.now)
}

func (s *simulation) after(delay daisygap.Millis, do func()) {
	heap.Push(&s.queue, event{s.now + delay, s.messages, do})
}

// latency returns the time of a message between two daemons.
func (s *simulation) latency(a, b *simDaemon) daisygap.Millis {
	n := s.delay + 1
	if a.region != b.region {
		n += 34
	}
	return n
}

func (s *simulation) count(to *simDaemon, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.messages++
	s.bytes += len(data) + messageOverhead
	s.received[to.name]++
}

// send sends a report and passes on the reply, or nothing after the timeout.
func (s *simulation) send(d *simDaemon, k SlotKey, r daisygap.AllowanceReport, answered func(daisygap.AllowanceReply), failed func()) {
	to, known := d.coordinators.Of(k)
	if !known {
		failed()
		return
	}
	if to.Name == d.name {
		answered(s.serve(d, r))
		return
	}
	var index int
	_, _ = fmt.Sscan(to.Address, &index)
	o, incarnation, done := s.daemons[index], d.incarnation, false
	fail := func() {
		if !done && d.incarnation == incarnation {
			done = true
			d.coordinators.Failed(to.Address, o.dead, s.now)
			failed()
		}
	}
	s.count(o, r)
	if o.dead {
		s.after(s.latency(d, o), fail) // the connection is refused
		return
	}
	s.after(CallTimeout, fail)
	if s.rand.Float64() < s.lost {
		return
	}
	s.after(s.latency(d, o), func() {
		if !s.reaches(d, o) {
			return
		}
		reply := s.serve(o, r)
		s.count(d, reply)
		if s.rand.Float64() < s.lost {
			return
		}
		s.after(s.latency(d, o), func() {
			if s.reaches(d, o) && !done && d.incarnation == incarnation {
				done = true
				d.coordinators.Answered(to.Address)
				answered(reply)
			}
		})
	})
}

func (s *simulation) serve(d *simDaemon, r daisygap.AllowanceReport) daisygap.AllowanceReply {
	if r.Heard > 0 {
		return d.ledger.Report(r, s.now)
	}
	d.relay.Add(r, s.now)
	for i := range r.Slots {
		k := SlotKey{i, r.Slots}
		if to, known := d.coordinators.Of(k); known && to.Name == d.name {
			s.reportSlot(d, k)
		}
	}
	return d.relay.Reply(r, s.now)
}

func (s *simulation) reportSlot(d *simDaemon, k SlotKey) {
	if r, ok := d.relay.Report(k, s.now); ok {
		s.send(d, k, r, func(reply daisygap.AllowanceReply) { d.relay.Answered(r, reply, s.now) }, func() { d.relay.Failed(r) })
	}
}

// run advances the clock by a span.
func (s *simulation) run(span daisygap.Millis) {
	for end := s.now + span; s.now < end; s.now += simStep {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			heap.Pop(&s.queue).(event).do()
		}
		for _, d := range s.daemons {
			if d.dead {
				continue
			}
			if s.now >= d.nextView {
				d.nextView = s.now + 400
				s.updateView(d)
			}
			if r, group, due := d.limiter.Report(s.now); due {
				s.send(d, SlotKey{group, r.Slots}, r, func(reply daisygap.AllowanceReply) { d.limiter.Answered(r, reply) }, d.limiter.Failed)
			}
			for _, k := range d.relay.Due(s.now) {
				s.reportSlot(d, k)
			}
		}
		for _, l := range s.loads {
			s.arrive(l)
		}
	}
}

// arrive lets the requests of one step arrive.
func (s *simulation) arrive(l *load) {
	n := poisson(s.rand, l.rate(s.now)*float64(simStep)/1_000)
	arrived, admitted := 0, 0
	for range n {
		d := s.daemons[s.rand.IntN(len(s.daemons))]
		if l.region >= 0 {
			d = s.daemons[min(l.region+simRegions*s.rand.IntN((len(s.daemons)+simRegions-1)/simRegions), len(s.daemons)-1)]
		}
		if d.dead {
			continue
		}
		arrived++
		if ok, _, _ := d.limiter.Take(&l.customer, s.now); ok {
			admitted++
		}
	}
	l.arrived, l.admitted, l.refused = append(l.arrived, arrived), append(l.admitted, admitted), append(l.refused, arrived-admitted)
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

// worstWindow returns the most requests that were admitted in 5 s, as a fraction of the bound, and the number of steps before its end.
func (l *load) worstWindow() (ratio float64, end int) {
	bound := (l.customer.Rate*float64(windowSpan)/1_000+l.customer.Burst)*1.1 + 20
	steps, sum, most := int(windowSpan/simStep), 0, 0
	for i, n := range l.admitted {
		sum += n
		if i >= steps {
			sum -= l.admitted[i-steps]
		}
		if sum > most {
			most, end = sum, i
		}
	}
	return float64(most) / bound, end
}

// lossBelow returns the fraction of the requests that were refused in seconds, from a step on, in which one exact bucket with the same rate
// and burst refuses none.
func (l *load) lossBelow(from int) float64 {
	depth := max(l.customer.Burst, minDepth, minDepthPeriod*l.customer.Rate)
	level, second, lost := 0.0, int(1_000/simStep), 0
	for start := 0; start+second <= len(l.arrived); start += second {
		exact := 0
		for _, n := range l.arrived[start : start+second] {
			level = min(depth, level+l.customer.Rate*float64(simStep)/1_000)
			taken := min(n, int(max(level, 0)))
			level -= float64(taken)
			exact += n - taken
		}
		if start >= from && exact == 0 {
			lost += sum(l.refused[start : start+second])
		}
	}
	return float64(lost) / float64(max(sum(l.arrived[from:]), 1))
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// flood returns a rate that is a multiple of a usual one for 6 s.
func flood(usual, factor float64, from daisygap.Millis) func(daisygap.Millis) float64 {
	return func(now daisygap.Millis) float64 {
		if now >= from && now < from+6_000 {
			return usual * factor
		}
		return usual
	}
}
