package allowance

import (
	"testing"

	"github.com/daisygap/daisygap"
)

// coordinators returns the daemons that coordinate slots, as the first daemon sees them.
func (s *simulation) coordinators() map[int]bool {
	list := make(map[int]bool)
	d := s.daemons[0]
	s.updateView(d)
	for i := range Slots(d.known) {
		for j, o := range s.daemons {
			if to, _ := d.coordinators.Of(SlotKey{i, Slots(d.known)}); o.name == to.Name {
				list[j] = true
			}
		}
	}
	return list
}

// TestBoundHoldsBesideFailures guards against failures that let customers exceed their allowances, or that refuse customers at 0.6 of
// their rates beyond 3 requests and a given fraction of those of the 10 s after the failure.
func TestBoundHoldsBesideFailures(t *testing.T) {
	const failAt = daisygap.Millis(5_000)
	half := func(a, b *simDaemon) bool { return a.index%2 != b.index%2 }
	for _, tt := range []struct {
		name string
		fail func(s *simulation)
		// lost is the largest fraction of the requests of a customer at 0.6 of its rate that may be refused.
		lost float64
	}{
		{"none", func(*simulation) {}, 0.02},
		{"coordinators die", func(s *simulation) {
			for i := range s.coordinators() {
				s.daemons[i].dead = true
			}
		}, 0.1},
		{"coordinators freeze", func(s *simulation) {
			frozen := s.coordinators()
			s.cut = func(a, b *simDaemon) bool { return frozen[a.index] != frozen[b.index] }
		}, 0.2},
		{"third cut from the coordinators", func(s *simulation) {
			own := s.coordinators()
			s.cut = func(a, b *simDaemon) bool {
				return a.index%3 == 0 && own[b.index] && !own[a.index] || b.index%3 == 0 && own[a.index] && !own[b.index]
			}
		}, 0.3},
		{"halves", func(s *simulation) { s.cut = half }, 0.3},
		{"halves for 3 s", func(s *simulation) {
			s.cut = half
			s.after(3_000, func() { s.cut = nil })
		}, 0.3},
		{"each alone", func(s *simulation) { s.cut = func(a, b *simDaemon) bool { return a != b } }, 1},
		{"all restart", func(s *simulation) {
			for _, d := range s.daemons {
				s.start(d, len(s.daemons))
			}
		}, 0.05},
		{"one restarts", func(s *simulation) {
			for i := range s.coordinators() {
				s.start(s.daemons[i], len(s.daemons))
				break
			}
		}, 0.05},
		{"two views", func(s *simulation) {
			own := s.coordinators()
			for _, d := range s.daemons[:30] {
				for i := range own {
					d.coordinators.Failed(s.daemons[i].address(), true, 1<<40)
				}
			}
		}, 0.3},
		// All daemons use equal shares, so that a small customer has a token of a daemon every half minute.
		{"messages take 500 ms", func(s *simulation) { s.delay = 500 }, 1},
		{"a tenth of the messages lost", func(s *simulation) { s.lost = 0.1 }, 0.3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			refused, arrived, worst := make(map[string]int), make(map[string]int), 0.0
			for seed := range uint64(3) {
				floods, steady := floodLoads(), steadyLoads()
				for _, l := range floods {
					factor := 4.0
					if l.region >= 0 {
						factor = 8
					}
					// The floods begin with the failure and in the 2 s after it.
					l.rate = flood(0.6*l.customer.Rate, factor, failAt+daisygap.Millis(len(l.customer.Name)+int(l.customer.Rate)%7)*300)
				}
				s := newSimulation(65, seed, append(floods, steady...)...)
				s.run(failAt - s.now)
				tt.fail(s)
				s.run(15_000)
				for _, l := range append(floods, steady...) {
					ratio, end := l.worstWindow()
					if worst = max(worst, ratio); ratio > 1 {
						t.Errorf("seed %d, rate %.0f, burst %.0f, region %d: %.2f of the bound in the 5 s before %d ms", seed, l.customer.Rate, l.customer.Burst, l.region, ratio, end*int(simStep))
					}
				}
				from := int((failAt - 1_000) / simStep)
				for _, l := range steady {
					refused[l.customer.Name] += sum(l.refused[from : from+1_000])
					arrived[l.customer.Name] += sum(l.arrived[from : from+1_000])
				}
			}
			t.Logf("%s: at most %.2f of a bound", tt.name, worst)
			for _, l := range steadyLoads() {
				r, a := refused[l.customer.Name], arrived[l.customer.Name]
				t.Logf("rate %.0f: %d of %d requests refused", l.customer.Rate, r, a)
				if float64(r) > tt.lost*float64(a)+3 {
					t.Errorf("rate %.0f: %d of %d requests refused", l.customer.Rate, r, a)
				}
			}
		})
	}
}

// TestChangedRatesApply guards against buckets that keep a rate of before, when a configuration reaches the daemons within 3 s.
func TestChangedRatesApply(t *testing.T) {
	const changeAt = daisygap.Millis(6_000)
	for _, tt := range []struct {
		name        string
		before, now float64
		least, most float64
	}{
		{"lowered", 200, 20, 4, (20*5)*1.1 + 20},
		{"raised", 20, 200, 850, (200*5)*1.1 + 20},
		{"removed", 20, 0, 2_300, 2_700},
		{"added", 0, 50, 200, (50*5)*1.1 + 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := &load{customer: daisygap.Customer{Name: "a", Rate: tt.before}, rate: flood(500, 1, 0), region: -1}
			s := newSimulation(65, 5, l)
			s.run(changeAt - s.now)
			l.customer.Rate = tt.now
			for i, d := range s.daemons {
				s.after(daisygap.Millis(i)*3_000/65, func() { s.configure(d) })
			}
			s.run(16_000)
			end := len(l.admitted)
			// In force everywhere after 3 s, and 5 s later in every window.
			for start := end - 800; start+500 <= end; start += 50 {
				if n := float64(sum(l.admitted[start : start+500])); n < tt.least || n > tt.most {
					t.Errorf("%.0f requests admitted in 5 s from %d ms on, want %.0f to %.0f", n, start*int(simStep), tt.least, tt.most)
				}
			}
		})
	}
}
