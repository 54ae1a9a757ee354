package admission

import (
	"fmt"
	"slices"
	"testing"

	"github.com/daisygap/daisygap"
)

// fifoQueue is a bounded FIFO queue, the baseline that the rules are compared with.
type fifoQueue struct {
	requests []*daisygap.Request
	limit    int
}

// floodOutcome counts the requests sent and the ones that ended before their deadlines, by kind, and the slots spent on
// requests that ended in time (useful) or too late (wasted).
type floodOutcome struct {
	sent, onTime map[string]int
	useful       int
	wasted       int
}

// sentRequest is a request with the time it was sent. Requests of the last second are not counted by kind, because they may
// not have ended when the simulation does.
type sentRequest struct {
	*daisygap.Request
	Sent daisygap.Millis
}

func (o *floodOutcome) report(b *testing.B, slotTime float64) {
	for kind, n := range o.sent {
		b.ReportMetric(float64(o.onTime[kind])/float64(n), kind+"-on-time")
	}
	b.ReportMetric(float64(o.useful)/slotTime, "useful")
	b.ReportMetric(float64(o.wasted)/slotTime, "wasted")
}

const (
	floodDuration = 20_000
	floodSlots    = 10
	floodService  = 50
)

// arrivals calls offer for each request that arrives in a millisecond: orders and catalogue at a fifth of the capacity of
// the slots each, drawings at ten times the capacity.
func arrivals(now daisygap.Millis, offer func(kind string, left daisygap.Millis)) {
	if now%25 == 0 {
		offer("orders", 500)
	}
	if now%25 == 12 {
		offer("catalogue", 300)
	}
	for range 2 {
		offer("drawings", 1_000)
	}
}

func (o *floodOutcome) end(r sentRequest, now daisygap.Millis) {
	if now > r.Deadline {
		o.wasted++
		return
	}
	o.useful++
	if r.Sent < floodDuration-1_000 {
		o.onTime[r.Kind]++
	}
}

// simulate runs a flood against a queue given by its operations: offer queues a request, next returns the one to start or
// nil, and finish releases its slot.
func simulate(offer func(r *daisygap.Request, now daisygap.Millis), next func(now daisygap.Millis) *daisygap.Request, finish func(r *daisygap.Request)) *floodOutcome {
	o := &floodOutcome{sent: make(map[string]int), onTime: make(map[string]int)}
	type started struct {
		r         *daisygap.Request
		sent, end daisygap.Millis
	}
	var running []started
	n := 0
	sent := make(map[*daisygap.Request]daisygap.Millis)
	for now := daisygap.Millis(0); now < floodDuration; now++ {
		kept := running[:0]
		for _, s := range running {
			if now < s.end {
				kept = append(kept, s)
				continue
			}
			o.end(sentRequest{s.r, s.sent}, now)
			finish(s.r)
		}
		running = kept
		arrivals(now, func(kind string, left daisygap.Millis) {
			n++
			if now < floodDuration-1_000 {
				o.sent[kind]++
			}
			r := &daisygap.Request{Kind: kind, Caller: fmt.Sprint(n % 7), Deadline: now + left}
			sent[r] = now
			offer(r, now)
		})
		for len(running) < floodSlots {
			r := next(now)
			if r == nil {
				break
			}
			running = append(running, started{r, sent[r], now + floodService})
		}
	}
	return o
}

func simulateRules(rules []Rule) *floodOutcome {
	var q Queue
	q.SetRules(rules)
	q.SetLimit(floodSlots)
	return simulate(
		func(r *daisygap.Request, now daisygap.Millis) { q.Offer(r, now) },
		func(now daisygap.Millis) *daisygap.Request {
			if p := q.Pop(now); p.Next != nil {
				return p.Next.Request
			}
			return nil
		},
		func(r *daisygap.Request) { q.Finish(r.Kind, floodService) },
	)
}

func simulateFIFO() *floodOutcome {
	l := &fifoQueue{limit: 150}
	return simulate(
		func(r *daisygap.Request, _ daisygap.Millis) {
			if len(l.requests) < l.limit {
				l.requests = append(l.requests, r)
			}
		},
		func(daisygap.Millis) *daisygap.Request {
			if len(l.requests) == 0 {
				return nil
			}
			r := l.requests[0]
			l.requests = l.requests[1:]
			return r
		},
		func(*daisygap.Request) {},
	)
}

// BenchmarkFlood compares the rules with a FIFO queue and with one rank for all kinds, on a manual clock.
func BenchmarkFlood(b *testing.B) {
	var equal []Rule
	for _, r := range slices.Backward(threeRanks) {
		equal = append(equal, Rule{Name: r.Name, Rank: daisygap.Normal, MaxQueued: r.MaxQueued})
	}
	for _, variant := range []struct {
		name string
		run  func() *floodOutcome
	}{
		{"rules", func() *floodOutcome { return simulateRules(threeRanks) }},
		{"one-rank", func() *floodOutcome { return simulateRules(equal) }},
		{"first-come", simulateFIFO},
	} {
		b.Run(variant.name, func(b *testing.B) {
			var o *floodOutcome
			for b.Loop() {
				o = variant.run()
			}
			o.report(b, floodSlots*floodDuration/floodService)
		})
	}
}
