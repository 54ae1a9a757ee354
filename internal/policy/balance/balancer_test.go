package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func newBalancer(n, slots int) *Balancer {
	b := &Balancer{MaxEjectedRatio: 0.3, WarmUp: 1_000, Random: rand.New(rand.NewPCG(1, 1))}
	var targets []Target
	for i := range n {
		targets = append(targets, Target{Name: fmt.Sprintf("u%02d", i), Address: fmt.Sprint(i), Slots: slots, Share: slots, MayRunSuspects: true})
	}
	b.SetTargets(targets, 10_000)
	return b
}

func TestEjectionIsBounded(t *testing.T) {
	b := newBalancer(10, 2)
	now := daisygap.Millis(10_000)
	for _, u := range b.Upstreams() {
		u.Running++
		b.Done(u, false, ConnectionLost, 1, now)
	}
	ejected := 0
	for _, u := range b.Upstreams() {
		if b.Limit(u, now) == 0 {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 10 upstreams are ejected after all of them failed, want the limit of 3", ejected)
	}
}

func TestLimits(t *testing.T) {
	now := daisygap.Millis(10_000)
	tests := []struct {
		name string
		set  func(b *Balancer, u *Upstream)
		at   daisygap.Millis
		want int
	}{
		{"the share of the slots", func(*Balancer, *Upstream) {}, now, 8},
		{"the share less lent slots plus borrowed ones", func(_ *Balancer, u *Upstream) { u.Lent, u.Borrowed = 3, 1 }, now, 6},
		{"nothing while it is draining", func(b *Balancer, u *Upstream) { b.MarkDraining(u, now) }, now, 0},
		{"nothing after it refused a connection", func(b *Balancer, u *Upstream) { u.Running++; b.Done(u, false, Unreachable, 0, now) }, now, 0},
		{"one request after the retry delay", func(b *Balancer, u *Upstream) { u.Running++; b.Done(u, false, Unreachable, 0, now) }, now + unreachableRetryDelay, 1},
		{"a fraction at the start of the warm-up", func(b *Balancer, u *Upstream) {
			u.Running += 2
			b.Done(u, false, Unreachable, 0, now)
			b.Done(u, false, Succeeded, 5, now)
		}, now + unreachableRetryDelay, 2},
		{"the whole share after the warm-up", func(b *Balancer, u *Upstream) {
			u.Running += 2
			b.Done(u, false, Unreachable, 0, now)
			b.Done(u, false, Succeeded, 5, now)
		}, now + unreachableRetryDelay + 1_000, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(2, 8)
			u := b.Upstreams()[0]
			tt.set(b, u)
			if diff := cmp.Diff(tt.want, b.Limit(u, tt.at)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestSuspectsNeverShareUpstream(t *testing.T) {
	b := newBalancer(2, 5)
	b.Upstreams()[1].MayRunSuspects = false
	if u := b.Pick(true, 10_000); u == nil || u.Name != "u00" {
		t.Fatalf("the first suspect was sent to %v, want u00", u)
	}
	if u := b.Pick(true, 10_000); u != nil {
		t.Errorf("a second suspect was sent to %s, want no upstream", u.Name)
	}
}

// roundRobin is the baseline: it takes a slot of the next upstream that has a free one.
func roundRobin(b *Balancer, next *int, now daisygap.Millis) *Upstream {
	list := b.Upstreams()
	for range list {
		*next++
		if u := list[*next%len(list)]; u.Running < b.Limit(u, now) {
			u.Running++
			return u
		}
	}
	return nil
}

// BenchmarkChoice sends requests at 70 % of the capacity of 20 upstreams, two of which are five times slower, and reports the
// latencies.
func BenchmarkChoice(b *testing.B) {
	for _, policy := range []string{"least", "round-robin"} {
		b.Run(policy, func(b *testing.B) {
			var latencies []daisygap.Millis
			for b.Loop() {
				latencies = simulate(policy)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2]), "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100]), "p99-ms")
		})
	}
}

func simulate(policy string) []daisygap.Millis {
	b := newBalancer(20, 6)
	random := rand.New(rand.NewPCG(2, 2))
	type run struct {
		u          *Upstream
		start, end daisygap.Millis
	}
	var running []run
	var waiting, latencies []daisygap.Millis
	next := 0
	for now := daisygap.Millis(20_000); now < 40_000; now++ {
		running = slices.DeleteFunc(running, func(r run) bool {
			if now < r.end {
				return false
			}
			b.Done(r.u, false, Succeeded, r.end-r.start, now)
			return true
		})
		for range 2 {
			if random.Float64() < 0.9 {
				waiting = append(waiting, now)
			}
		}
		for len(waiting) > 0 {
			u := (*Upstream)(nil)
			if policy == "least" {
				u = b.Pick(false, now)
			} else {
				u = roundRobin(b, &next, now)
			}
			if u == nil {
				break
			}
			span := 20 + daisygap.Millis(random.IntN(40))
			if u.Name == "u00" || u.Name == "u01" {
				span *= 5
			}
			running = append(running, run{u, now, now + span})
			latencies = append(latencies, now+span-waiting[0])
			waiting = waiting[1:]
		}
	}
	return latencies
}

func BenchmarkPick(b *testing.B) {
	l := newBalancer(44, 6)
	b.ReportAllocs()
	for b.Loop() {
		u := l.Pick(false, 20_000)
		l.Done(u, false, Succeeded, 10, 20_000)
	}
}
