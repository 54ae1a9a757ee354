package allowance

import (
	"fmt"
	"testing"

	"github.com/daisygap/daisygap"
)

// pulses returns a demand of a fraction of the rate that rises to another one at the start of each period.
func pulses(rate, usual, high float64, length, period daisygap.Millis) func(daisygap.Millis) float64 {
	return func(now daisygap.Millis) float64 {
		if now > 4_000 && now%period < length {
			return high * rate
		}
		return usual * rate
	}
}

// TestBoundHoldsForPulses guards against a customer whose short floods each end before the limit reaches all daemons.
func TestBoundHoldsForPulses(t *testing.T) {
	for _, tt := range []struct {
		high           float64
		length, period daisygap.Millis
	}{{1.8, 500, 1_500}, {3, 500, 1_500}, {4.8, 700, 2_000}} {
		var loads []*load
		for i, rate := range []float64{20, 100, 300, 700} {
			c := daisygap.Customer{Name: fmt.Sprint("c", i), Rate: rate}
			loads = append(loads, &load{customer: c, region: -1, rate: pulses(rate, 0.3, tt.high, tt.length, tt.period)})
		}
		s := newSimulation(65, 1, loads...)
		s.run(14_000)
		for _, l := range loads {
			if ratio, end := l.worstWindow(); ratio > 1 {
				t.Errorf("pulses of %.1f times the rate, %d ms each %d ms, rate %.0f: %.2f of the bound in the 5 s before %d ms", tt.high, tt.length, tt.period, l.customer.Rate, ratio, end*int(simStep))
			}
		}
	}
}

// TestBoundHoldsForRestartInFlood guards against a burst that is admitted again because all daemons restart in a flood.
func TestBoundHoldsForRestartInFlood(t *testing.T) {
	for _, after := range []daisygap.Millis{500, 1_000, 2_000} {
		var loads []*load
		for i, rate := range []float64{20, 100, 300, 700} {
			loads = append(loads, &load{customer: daisygap.Customer{Name: fmt.Sprint("c", i), Rate: rate}, rate: flood(0.6*rate, 8, 5_000), region: -1})
		}
		s := newSimulation(65, 1, loads...)
		s.run(4_000 + after)
		for _, d := range s.daemons {
			s.start(d, 65)
		}
		s.run(7_000)
		for _, l := range loads {
			if ratio, _ := l.worstWindow(); ratio > 1 {
				t.Errorf("restart %d ms into a flood of 8 times, rate %.0f: %.2f of the bound", after, l.customer.Rate, ratio)
			}
		}
	}
}
