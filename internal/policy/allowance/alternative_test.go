package allowance

import (
	"fmt"
	"testing"

	"github.com/daisygap/daisygap"
)

// The alternatives that docs/design/allowances.md compares with this package, each in its simplest form, under the loads of floodLoads.

// alternative admits requests of one customer at any of its daemons. step is called every simStep.
type alternative interface {
	step(now daisygap.Millis)
	take(daemon int, now daisygap.Millis) bool
	// sent returns the messages and their bytes so far.
	sent() (messages, bytes int)
}

// alternativeMessage is the size of a message with one entry in bytes.
const alternativeMessage = messageOverhead + 60

type tokens struct {
	level float64
	at    daisygap.Millis
}

func (b *tokens) fill(rate, depth float64, now daisygap.Millis) {
	b.level = min(depth, b.level+rate*float64(now-b.at)/1_000)
	b.at = now
}

// equalShares gives each daemon the same part of the rate and of the burst. A daemon without tokens asks a random other one for half of its
// tokens, and again after 100 ms.
type equalShares struct {
	c               *daisygap.Customer
	buckets         []tokens
	askedAt         []daisygap.Millis
	queue           []event
	draw            func(int) int
	messages, bytes int
}

func (a *equalShares) step(now daisygap.Millis) { runDue(&a.queue, now) }

func (a *equalShares) take(i int, now daisygap.Millis) bool {
	n := float64(len(a.buckets))
	depth := max(1, a.c.Burst/n, minDepthPeriod*a.c.Rate/n)
	b := &a.buckets[i]
	b.fill(a.c.Rate/n, depth, now)
	if b.level >= 1 {
		b.level--
		return true
	}
	if now-a.askedAt[i] >= 100 {
		a.askedAt[i] = now
		o := &a.buckets[a.draw(len(a.buckets))]
		a.messages, a.bytes = a.messages+2, a.bytes+2*alternativeMessage
		a.queue = append(a.queue, event{at: now + 35, do: func() {
			o.fill(a.c.Rate/n, depth, now+35)
			lent := o.level / 2
			o.level -= lent
			a.queue = append(a.queue, event{at: now + 70, do: func() { b.level += lent }})
		}})
	}
	return false
}

func (a *equalShares) sent() (messages, bytes int) { return a.messages, a.bytes }

// ownerLeases has one owner of the bucket, of which a daemon without tokens requests a quarter of a second of its recent use, at least one.
// The request that finds no tokens is refused, since the request path doesn't wait.
type ownerLeases struct {
	c               *daisygap.Customer
	bucket          tokens
	held            []float64
	used            []float64
	asking          []bool
	queue           []event
	messages, bytes int
}

func (a *ownerLeases) step(now daisygap.Millis) {
	runDue(&a.queue, now)
	for i := range a.used {
		a.used[i] *= 1 - float64(simStep)/1_000
	}
}

func (a *ownerLeases) take(i int, now daisygap.Millis) bool {
	a.used[i]++
	admitted := a.held[i] >= 1
	if admitted {
		a.held[i]--
	}
	if want := max(1, a.used[i]/4); a.held[i] < want/2 && !a.asking[i] {
		a.asking[i] = true
		a.messages, a.bytes = a.messages+2, a.bytes+2*alternativeMessage
		a.queue = append(a.queue, event{at: now + 35, do: func() {
			a.bucket.fill(a.c.Rate, max(a.c.Burst, minDepth, minDepthPeriod*a.c.Rate), now+35)
			lease := min(want, max(0, a.bucket.level))
			a.bucket.level -= lease
			a.queue = append(a.queue, event{at: now + 70, do: func() { a.held[i] += lease; a.asking[i] = false }})
		}})
	}
	return admitted
}

func (a *ownerLeases) sent() (messages, bytes int) { return a.messages, a.bytes }

// gossipedCounts spreads the counts of admitted requests to two random daemons every 400 ms. Each daemon keeps a bucket of the whole rate
// and withdraws the requests in the received counts from it.
type gossipedCounts struct {
	c               *daisygap.Customer
	buckets         []tokens
	counts          [][]int32
	next            daisygap.Millis
	draw            func(int) int
	messages, bytes int
}

func (a *gossipedCounts) step(now daisygap.Millis) {
	if now < a.next {
		return
	}
	a.next = now + 400
	for i := range a.buckets {
		for range 2 {
			j := a.draw(len(a.buckets))
			known := 0
			for k := range a.counts[i] {
				high := max(a.counts[i][k], a.counts[j][k])
				a.buckets[i].level -= float64(high - a.counts[i][k])
				a.buckets[j].level -= float64(high - a.counts[j][k])
				a.counts[i][k], a.counts[j][k] = high, high
				if high > 0 {
					known++
				}
			}
			// 12 bytes for the count of a daemon.
			a.messages, a.bytes = a.messages+2, a.bytes+2*(messageOverhead+12*known)
		}
	}
}

func (a *gossipedCounts) take(i int, now daisygap.Millis) bool {
	b := &a.buckets[i]
	b.fill(a.c.Rate, max(a.c.Burst, minDepth, minDepthPeriod*a.c.Rate), now)
	if b.level < 1 {
		return false
	}
	b.level--
	a.counts[i][i]++
	return true
}

func (a *gossipedCounts) sent() (messages, bytes int) { return a.messages, a.bytes }

// runDue runs the events that are due, which may append others.
func runDue(queue *[]event, now daisygap.Millis) {
	list := *queue
	*queue = nil
	for _, e := range list {
		if e.at <= now {
			e.do()
		} else {
			*queue = append(*queue, e)
		}
	}
}

func newAlternative(name string, c *daisygap.Customer, count int, draw func(int) int) alternative {
	switch name {
	case "equal shares with loans":
		return &equalShares{c: c, buckets: make([]tokens, count), askedAt: make([]daisygap.Millis, count), draw: draw}
	case "owner with leases":
		return &ownerLeases{c: c, held: make([]float64, count), used: make([]float64, count), asking: make([]bool, count)}
	}
	a := &gossipedCounts{c: c, buckets: make([]tokens, count), counts: make([][]int32, count), draw: draw}
	for i := range a.counts {
		a.counts[i] = make([]int32, count)
	}
	return a
}

// BenchmarkAlternatives floods customers as BenchmarkFleet does.
func BenchmarkAlternatives(b *testing.B) {
	for _, name := range []string{"equal shares with loans", "owner with leases", "gossip of counts"} {
		for _, count := range []int{12, 88, 300, 2_400} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				for b.Loop() {
					runAlternative(b, name, count)
				}
			})
		}
	}
}

func runAlternative(b *testing.B, name string, count int) {
	loads := floodLoads()
	if count > 1_000 {
		// The gossiped counts of 2,400 daemons take a gigabyte for all customers together.
		loads = loads[2:8]
	}
	messages, bytes, worst, lost := 0, 0, 0.0, 0.0
	for i, l := range loads {
		s := newSimulation(3, 1)
		a := newAlternative(name, &l.customer, count, s.rand.IntN)
		for s.now < 17_000 {
			s.now += simStep
			a.step(s.now)
			n := poisson(s.rand, l.rate(s.now)*float64(simStep)/1_000)
			admitted := 0
			for range n {
				d := s.rand.IntN(count)
				if l.region >= 0 {
					d = min(l.region+simRegions*s.rand.IntN((count+simRegions-1)/simRegions), count-1)
				}
				if a.take(d, s.now) {
					admitted++
				}
			}
			l.arrived, l.admitted, l.refused = append(l.arrived, n), append(l.admitted, admitted), append(l.refused, n-admitted)
		}
		ratio, _ := l.worstWindow()
		worst, lost = max(worst, ratio), max(lost, l.lossBelow(0))
		m, n := a.sent()
		if _, shared := a.(*gossipedCounts); shared && i > 0 {
			// One message carries the counts of all customers.
			m, n = 0, n-m*messageOverhead
		}
		messages, bytes = messages+m, bytes+n
		b.Logf("rate %.0f, burst %.0f, region %d: %.2f of the bound, %.4f lost", l.customer.Rate, l.customer.Burst, l.region, ratio, l.lossBelow(0))
	}
	b.ReportMetric(worst, "worst/bound")
	b.ReportMetric(lost, "lost")
	b.ReportMetric(float64(messages)/16/float64(count), "messages/s")
	b.ReportMetric(float64(bytes)/16/float64(count), "bytes/s")
}
