package allowance

import (
	"fmt"
	"testing"

	"github.com/daisygap/daisygap"
)

// floodLoads returns customers of rates from 2 to 700, with floods of 3 and 8 times their use at all regions and at one.
func floodLoads() []*load {
	var loads []*load
	for i, rate := range []float64{2, 5, 20, 100, 300, 700} {
		for k, factor := range []float64{3, 8} {
			c := daisygap.Customer{Name: fmt.Sprint(i, k), Rate: rate, Burst: rate * float64(k) / 2}
			loads = append(loads, &load{customer: c, rate: flood(0.6*rate, factor, 6_000), region: k - 1})
		}
	}
	return loads
}

// BenchmarkFleet floods customers of fleets of several sizes.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{12, 65, 88, 300, 2_400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				loads := floodLoads()
				s := newSimulation(count, 1, loads...)
				s.run(16_000)
				worst, lost := 0.0, 0.0
				for _, l := range loads {
					ratio, _ := l.worstWindow()
					worst, lost = max(worst, ratio), max(lost, l.lossBelow(0))
					b.Logf("rate %.0f, burst %.0f, region %d: %.2f of the bound, %.4f lost", l.customer.Rate, l.customer.Burst, l.region, ratio, l.lossBelow(0))
				}
				s.report(b, worst, lost)
			}
		})
	}
}

func (s *simulation) report(b *testing.B, worst, lost float64) {
	most := 0
	for _, n := range s.received {
		most = max(most, n)
	}
	seconds := float64(s.now-1_000) / 1_000
	b.ReportMetric(worst, "worst/bound")
	b.ReportMetric(lost, "lost")
	b.ReportMetric(float64(s.messages)/seconds/float64(len(s.daemons)), "messages/s")
	b.ReportMetric(float64(most)/seconds, "most-received/s")
	b.ReportMetric(float64(s.bytes)/seconds/float64(len(s.daemons)), "bytes/s")
}
