package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

var threeRanks = []Rule{
	{Name: "orders", Rank: daisygap.Urgent, Floor: 0.5, MaxQueued: 50},
	{Name: "catalogue", Rank: daisygap.Normal, Floor: 0.1, MaxQueued: 50},
	{Name: "drawings", Rank: daisygap.Background, Floor: 0.1, MaxQueued: 50},
}

// simulation serves the queue of one group with a number of slots and a settable service time on a manual clock.
type simulation struct {
	queue          Queue
	slots          int
	service        daisygap.Millis
	now            daisygap.Millis
	ends           map[string][]daisygap.Millis
	served         map[string]int
	refused        map[daisygap.Reason]int
	servedByCaller map[string]int
	// waits and latencies hold, by kind, the time from arrival to start and to end of each served request.
	waits, latencies map[string][]daisygap.Millis
	onTime           map[string]int
}

func newSimulation(rules []Rule, slots int, service daisygap.Millis) *simulation {
	b := &simulation{
		slots: slots, service: service, ends: make(map[string][]daisygap.Millis), served: make(map[string]int),
		refused: make(map[daisygap.Reason]int), servedByCaller: make(map[string]int),
		waits: make(map[string][]daisygap.Millis), latencies: make(map[string][]daisygap.Millis), onTime: make(map[string]int),
	}
	b.queue.SetRules(rules)
	b.queue.SetLimit(slots)
	return b
}

func (b *simulation) offer(kind, caller string, left daisygap.Millis) *QueuedRequest {
	o := b.queue.Offer(&daisygap.Request{Kind: kind, Caller: caller, Deadline: b.now + left}, b.now)
	if o.Denial != nil {
		b.refused[o.Denial.Reason]++
	}
	if o.Evicted != nil {
		b.refused[daisygap.ReasonQueueFull]++
	}
	b.start()
	return o.Queued
}

func (b *simulation) start() {
	for b.queue.Running() < b.slots {
		p := b.queue.Pop(b.now)
		b.refused[daisygap.ReasonDeadline] += len(p.Late)
		if p.Next == nil {
			return
		}
		kind := p.Next.Request.Kind
		b.served[kind]++
		wait := b.now - p.Next.Arrived
		b.waits[kind] = append(b.waits[kind], wait)
		b.latencies[kind] = append(b.latencies[kind], wait+b.service)
		if b.now+b.service <= p.Next.Request.Deadline {
			b.onTime[kind]++
		}
		b.servedByCaller[p.Next.Request.Caller]++
		b.ends[kind] = append(b.ends[kind], b.now+b.service)
	}
}

func (b *simulation) tick() {
	b.now++
	for kind, ends := range b.ends {
		var left []daisygap.Millis
		for _, end := range ends {
			if end > b.now {
				left = append(left, end)
				continue
			}
			b.queue.Finish(kind, b.service)
		}
		b.ends[kind] = left
	}
	b.start()
}

// TestUrgentFloodKeepsFloors guards against a flood of urgent requests that takes the slots of less urgent kinds below
// their floors, or leaves slots unused.
func TestUrgentFloodKeepsFloors(t *testing.T) {
	b := newSimulation(threeRanks, 10, 50)
	for range 10_000 {
		for i := range 2 { // ten times the capacity of the slots
			b.offer("orders", fmt.Sprintf("o%d", i), 2_000)
		}
		if b.now%5 == 0 {
			b.offer("catalogue", "c", 2_000)
			b.offer("drawings", "d", 4_000)
		}
		b.tick()
	}
	total := b.served["orders"] + b.served["catalogue"] + b.served["drawings"]
	for kind, floor := range map[string]float64{"catalogue": 0.1, "drawings": 0.1, "orders": 0.5} {
		if share := float64(b.served[kind]) / float64(total); share < 0.95*floor {
			t.Errorf("%s got %.3f of the slots during the flood, want at least 0.95 of its floor %.2f", kind, share, floor)
		}
	}
	if share := float64(b.served["orders"]) / float64(total); share < 0.95*0.8 {
		t.Errorf("orders got %.3f of the slots, want at least 0.95 of the 0.8 that the floors leave", share)
	}
	if utilization := float64(total) / (10_000 / 50 * 10); utilization < 0.95 {
		t.Errorf("%.3f of the slot time was used, want at least 0.95", utilization)
	}
}

// TestFloorBelowOneSlot guards against losing a floor of less than one slot: five slots are flooded with orders while a
// kind with a floor of half a slot and a short deadline sends requests.
func TestFloorBelowOneSlot(t *testing.T) {
	b := newSimulation(threeRanks, 5, 200)
	for range 60_000 {
		if b.now%8 == 0 { // five times the capacity of the slots
			b.offer("orders", fmt.Sprint(b.now%7), 2_000)
		}
		if b.now%133 == 0 { // 0.3 of the capacity
			b.offer("catalogue", "c", 500)
		}
		b.tick()
	}
	total := 60_000 / 200 * 5
	if share := float64(b.served["catalogue"]) / float64(total); share < 0.95*0.1 {
		t.Errorf("catalogue got %.3f of the slots, want at least 0.95 of its floor of 0.1", share)
	}
}

// TestFloorsUnderRandomUrgentFlood guards against floors that hold only for regular arrivals and equal service times.
// Orders arrive at random times at five times the capacity of the slots and two other kinds at 0.3 of it each, one of them
// with a short deadline.
func TestFloorsUnderRandomUrgentFlood(t *testing.T) {
	const service, span = 200, 240_000
	for seed := range uint64(8) {
		slots := 5 + 5*int(seed%2)
		variation := service * daisygap.Millis(seed/2%2)
		random := rand.New(rand.NewPCG(seed, 0))
		b := newSimulation(threeRanks, slots, service)
		arrives := func(share float64) bool { return random.Float64() < share*float64(slots)/service }
		for range span {
			b.service = service - variation/2 + daisygap.Millis(float64(variation)*random.Float64())
			if arrives(5) {
				b.offer("orders", fmt.Sprint(random.IntN(20)), 2_000)
			}
			if arrives(0.3) {
				b.offer("catalogue", fmt.Sprint(random.IntN(20)), 500)
			}
			if arrives(0.3) {
				b.offer("drawings", fmt.Sprint(random.IntN(20)), 5_000)
			}
			b.tick()
		}
		share := func(kind string) float64 { return float64(b.onTime[kind]) / float64(span/service*slots) }
		t.Logf("seed %d: catalogue %.3f of the slots, drawings %.3f, orders %.3f", seed, share("catalogue"), share("drawings"), share("orders"))
		for _, kind := range []string{"catalogue", "drawings"} {
			if share(kind) < 0.95*0.1 {
				t.Errorf("seed %d: %s got %.3f of the slots, want at least 0.95 of its floor of 0.1", seed, kind, share(kind))
			}
		}
		if share("orders") < 0.95*0.8 {
			t.Errorf("seed %d: orders got %.3f of the slots, want at least 0.95 of the 0.8 that the floors leave", seed, share("orders"))
		}
	}
}

func TestBackgroundFloodDoesNotStarveUrgent(t *testing.T) {
	b := newSimulation(threeRanks, 10, 50)
	for range 10_000 {
		for range 2 {
			b.offer("drawings", "flood", 4_000)
		}
		if b.now%10 == 0 {
			b.offer("orders", "o", 2_000)
		}
		b.tick()
	}
	if got := b.served["orders"]; got < 999 {
		t.Errorf("%d of 1000 orders were served during the flood, want at least 999", got)
	}
	left := 10_000/50*10 - b.served["orders"]
	if got := float64(b.served["drawings"]) / float64(left); got < 0.95 {
		t.Errorf("the flooding kind got %.3f of the remaining slots, want at least 0.95", got)
	}
}

// TestUrgentLatencyUnderBackgroundFlood guards against background requests that occupy all slots when an urgent one
// arrives. Urgent requests arrive at random times at a fifth of the capacity, background ones at ten times the capacity.
func TestUrgentLatencyUnderBackgroundFlood(t *testing.T) {
	const slots, service, span = 10, 200, 600_000
	for seed := range uint64(2) {
		variation := daisygap.Millis(seed * service) // the second run has service times from 0.5 to 1.5 times the mean
		random := rand.New(rand.NewPCG(seed, 0))
		b := newSimulation(threeRanks, slots, service)
		for range span {
			b.service = service - variation/2 + daisygap.Millis(float64(variation)*random.Float64())
			if random.Float64() < 10*slots/float64(service) {
				b.offer("drawings", "flood", 4_000)
			}
			if random.Float64() < 0.2*slots/float64(service) {
				b.offer("orders", "o", 2_000)
			}
			b.tick()
		}
		slices.Sort(b.waits["orders"])
		slices.Sort(b.latencies["orders"])
		at := len(b.latencies["orders"]) * 99 / 100
		baseline := service + float64(variation)*0.49 // p99 of the service time alone
		ratio := float64(b.latencies["orders"][at]) / baseline
		utilization := float64(b.served["orders"]+b.served["drawings"]) / (span / service * slots)
		t.Logf("seed %d: urgent p99 wait %d ms, p99 latency %.2f times that without the flood, %.3f of the slot time used", seed, b.waits["orders"][at], ratio, utilization)
		if ratio > 1.2 {
			t.Errorf("seed %d: urgent p99 latency is %.2f times that without the flood, want at most 1.2", seed, ratio)
		}
		if utilization < 0.95 {
			t.Errorf("seed %d: %.3f of the slot time was used, want at least 0.95", seed, utilization)
		}
	}
}

func TestLowerWorthYieldsFirst(t *testing.T) {
	b := newSimulation([]Rule{
		{Name: "cheap", Rank: daisygap.Normal, Worth: 1, Floor: 0.2, MaxQueued: 50},
		{Name: "dear", Rank: daisygap.Normal, Worth: 5, MaxQueued: 50},
	}, 10, 50)
	for range 5_000 {
		b.offer("cheap", "c", 2_000)
		b.offer("dear", "d", 2_000)
		b.tick()
	}
	share := float64(b.served["cheap"]) / float64(b.served["cheap"]+b.served["dear"])
	if share < 0.19 || share > 0.25 {
		t.Errorf("the kind of lower worth got %.2f of the slots, want its floor of 0.20", share)
	}
}

func TestCappedKindStaysAtCap(t *testing.T) {
	b := newSimulation([]Rule{
		{Name: "capped", Rank: daisygap.Urgent, MaxQueued: 50, Capped: true, MaxRunning: 3},
		{Name: "other", Rank: daisygap.Normal, MaxQueued: 50},
		{Name: "closed", Rank: daisygap.Urgent, MaxQueued: 50, Capped: true},
	}, 10, 50)
	for range 1_000 {
		b.offer("capped", "c", 2_000)
		b.offer("other", "o", 2_000)
		b.offer("closed", "x", 2_000)
		b.tick()
		if n := len(b.ends["capped"]); n > 3 {
			t.Fatalf("%d requests of a kind capped at 3 run at the same time", n)
		}
	}
	if b.served["closed"] > 0 || b.served["capped"] < 50 || b.served["other"] < 130 {
		t.Errorf("served %v, want none of the closed kind and the remaining slots used by the other kind", b.served)
	}
}

func TestFairnessAmongCallers(t *testing.T) {
	b := newSimulation(threeRanks, 4, 20)
	for range 4_000 {
		for range 4 {
			b.offer("catalogue", "greedy", 400)
		}
		if b.now%20 == 0 {
			b.offer("catalogue", "modest", 400)
		}
		b.tick()
	}
	if got := b.servedByCaller["modest"]; got < 190 {
		t.Errorf("%d of 200 requests of the modest caller were served during a flood from another caller, want at least 190", got)
	}
}

func TestAdmissionDecisions(t *testing.T) {
	one := []Rule{{Name: "k", Rank: daisygap.Normal, MaxQueued: 2}}
	tests := []struct {
		name string
		run  func(b *simulation) any
		want any
	}{
		{"a request past its deadline is not queued", func(b *simulation) any {
			b.offer("k", "a", 0)
			return b.refused
		}, map[daisygap.Reason]int{daisygap.ReasonExpired: 1}},
		{"an unknown kind is refused", func(b *simulation) any {
			b.offer("x", "a", 100)
			return b.refused
		}, map[daisygap.Reason]int{daisygap.ReasonUnknownKind: 1}},
		{"a full queue refuses the caller with the most queued requests", func(b *simulation) any {
			for range 4 {
				b.offer("k", "a", 1_000)
			}
			return b.refused
		}, map[daisygap.Reason]int{daisygap.ReasonQueueFull: 1}},
		{"a full queue evicts a request of its busiest caller for another caller", func(b *simulation) any {
			for range 3 {
				b.offer("k", "a", 1_000)
			}
			return b.offer("k", "b", 1_000) != nil
		}, true},
		{"the earliest deadline starts first among callers with equal tags", func(b *simulation) any {
			b.offer("k", "running", 1_000)
			b.offer("k", "late", 900)
			b.offer("k", "soon", 500)
			for range 11 {
				b.tick()
			}
			return b.servedByCaller
		}, map[string]int{"running": 1, "soon": 1}},
		{"a request that can't end before its deadline is not started", func(b *simulation) any {
			b.offer("k", "first", 1_000)
			b.offer("k", "second", 15)
			for range 11 {
				b.tick()
			}
			return b.refused
		}, map[daisygap.Reason]int{daisygap.ReasonDeadline: 1}},
		{"a request whose estimated wait is too long is refused at once", func(b *simulation) any {
			b.offer("k", "first", 1_000)
			for range 10 {
				b.tick()
			}
			b.offer("k", "second", 1_000)
			b.offer("k", "third", 15)
			return b.refused
		}, map[daisygap.Reason]int{daisygap.ReasonDeadline: 1}},
		{"a cancelled request is removed from the queue", func(b *simulation) any {
			b.offer("k", "first", 1_000)
			b.queue.Remove(b.offer("k", "second", 1_000))
			return b.queue.Waiting()
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newSimulation(one, 1, 10)
			got := tt.run(b)
			if counts, ok := got.(map[daisygap.Reason]int); ok {
				for reason, n := range counts {
					if n == 0 {
						delete(counts, reason)
					}
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func BenchmarkAdmission(b *testing.B) {
	var q Queue
	q.SetRules(threeRanks)
	q.SetLimit(10)
	requests := make([]*daisygap.Request, 64)
	for i := range requests {
		requests[i] = &daisygap.Request{Kind: threeRanks[i%3].Name, Caller: fmt.Sprint(i), Deadline: 1 << 40}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Offer(requests[i%64], 1)
		if p := q.Pop(1); p.Next != nil {
			q.Finish(p.Next.Request.Kind, 10)
		}
	}
}
