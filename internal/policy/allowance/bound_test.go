package allowance

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

// TestBoundHoldsUnderFloods guards against more admitted requests of a customer in 5 s than its rate and burst allow, over 65 daemons.
func TestBoundHoldsUnderFloods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []*load
		for i := range rapid.IntRange(1, 3).Draw(t, "customers") {
			rate := rapid.Float64Range(2, 700).Draw(t, "rate")
			if rapid.Bool().Draw(t, "small") {
				rate = rapid.Float64Range(2, 20).Draw(t, "small rate")
			}
			factor := rapid.Float64Range(3, 8).Draw(t, "factor")
			from := daisygap.Millis(rapid.IntRange(2_000, 7_000).Draw(t, "from"))
			loads = append(loads, &load{
				customer: daisygap.Customer{Name: string(rune('a' + i)), Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(t, "burst")},
				rate:     flood(0.6*rate, factor, from), region: rapid.IntRange(-1, simRegions-1).Draw(t, "region"),
			})
		}
		s := newSimulation(65, rapid.Uint64().Draw(t, "seed"), loads...)
		s.run(14_000)
		for _, l := range loads {
			if ratio, end := l.worstWindow(); ratio > 1 {
				t.Errorf("rate %.1f, burst %.1f: %.2f of the bound in the 5 s before %d ms", l.customer.Rate, l.customer.Burst, ratio, end*int(simStep))
			}
		}
	})
}

// TestCustomersBelowRateAreNotRefused guards against refusals of customers that stay at 0.6 of their rates, also right after a start.
func TestCustomersBelowRateAreNotRefused(t *testing.T) {
	loads := steadyLoads()
	s := newSimulation(65, 7, loads...)
	s.run(20_000)
	for _, l := range loads {
		if refused, arrived := sum(l.refused), sum(l.arrived); float64(refused) > 0.01*float64(arrived)+1 {
			t.Errorf("rate %.0f: %d of %d requests refused", l.customer.Rate, refused, arrived)
		}
	}
}

// TestSmallFleetsDoNotRefuseBelowRate guards against refusals in the first seconds of a customer's use at 0.6 of its rate, whose demand varies
// from report to report in a fleet of few daemons.
func TestSmallFleetsDoNotRefuseBelowRate(t *testing.T) {
	for _, count := range []int{1, 3, 6, 12} {
		refused, arrived := 0, 0
		for seed := range uint64(10) {
			l := &load{customer: daisygap.Customer{Name: "a", Rate: 100, Burst: 20}, region: -1, rate: func(now daisygap.Millis) float64 {
				if now < 2_000 {
					return 0
				}
				return 60
			}}
			s := newSimulation(count, seed, l)
			s.run(4_000)
			refused, arrived = refused+sum(l.refused), arrived+sum(l.arrived)
		}
		if float64(refused) > 0.01*float64(arrived) {
			t.Errorf("%d daemons: %d of %d requests refused", count, refused, arrived)
		}
	}
}

func steadyLoads() []*load {
	var loads []*load
	for i, rate := range []float64{2, 5, 20, 100, 700} {
		c := daisygap.Customer{Name: string(rune('a' + i)), Rate: rate, Burst: rate}
		loads = append(loads, &load{customer: c, rate: flood(0.6*rate, 1, 0), region: -1})
	}
	return loads
}

// TestNothingIsDueWithoutReports guards against a relay that sends reports although no daemon reports to it.
func TestNothingIsDueWithoutReports(t *testing.T) {
	var r Relay
	r.SetDaemons(65)
	if diff := cmp.Diff([]SlotKey(nil), r.Due(1_000)); diff != "" {
		t.Errorf("due slots (-want +got):\n%s", diff)
	}
}

// TestCustomerWithoutRateIsOpen guards against counting requests that no rate limits.
func TestCustomerWithoutRateIsOpen(t *testing.T) {
	l := Limiter{Name: "a"}
	l.Start(0)
	l.SetDaemons(3)
	for _, c := range []*daisygap.Customer{nil, {Name: "b"}} {
		if admitted, _, _ := l.Take(c, 10_000); !admitted {
			t.Errorf("customer %v refused", c)
		}
	}
	if len(l.accounts) != 0 {
		t.Errorf("%d accounts of customers without a rate", len(l.accounts))
	}
}

// BenchmarkTake asks for a request without a customer, of an open customer and of a limited one.
func BenchmarkTake(b *testing.B) {
	c := &daisygap.Customer{Name: "customer", Rate: 1e9, Burst: 1}
	limited := &daisygap.Customer{Name: "limited", Rate: 10, Burst: 1}
	for _, bb := range []struct {
		name     string
		customer *daisygap.Customer
	}{{"none", nil}, {"open", c}, {"limited", limited}} {
		b.Run(bb.name, func(b *testing.B) {
			l := Limiter{Name: "a"}
			l.Start(0)
			l.SetDaemons(65)
			r, _, _ := l.Report(1)
			l.Answered(r, daisygap.AllowanceReply{Limits: []daisygap.AllowanceLimit{{Customer: ID("limited"), Fraction: 0.3}}})
			b.ReportAllocs()
			for b.Loop() {
				l.Take(bb.customer, 10)
			}
		})
	}
}
