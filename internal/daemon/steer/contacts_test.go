package steer

import (
	"fmt"
	"testing"
)

// TestContactsStayInLargeDomains guards against gossip traffic between domains that grows with the fleet, and against domains that hear nothing
// of each other.
func TestContactsStayInLargeDomains(t *testing.T) {
	const draws = 10_000
	for _, tt := range []struct {
		perDomain            int
		minRegion, maxRegion float64
	}{{20, 0.08, 0.25}, {10, 0.3, 0.5}} {
		drawn := make(map[string]float64)
		for range draws {
			var c contacts
			for i := range tt.perDomain {
				c.domain = append(c.domain, fmt.Sprint("domain-", i))
				c.region = append(c.region, fmt.Sprint("region-", i))
				c.far = append(c.far, fmt.Sprint("far-a-", i), fmt.Sprint("far-b-", i), fmt.Sprint("far-c-", i), fmt.Sprint("far-d-", i))
			}
			list := c.draw(2)
			if len(list) != 2 || list[0] == list[1] {
				t.Fatalf("drew %v, want two different daemons", list)
			}
			drawn[list[0][:3]] += 1.0 / draws
		}
		if got := drawn["reg"]; got < tt.minRegion || got > tt.maxRegion {
			t.Errorf("%d daemons a domain: %.2f of the contacts are in other domains of the region, want %.2f to %.2f", tt.perDomain, got, tt.minRegion, tt.maxRegion)
		}
		if got := drawn["far"]; got < 0.1 || got > 0.25 {
			t.Errorf("%d daemons a domain: %.2f of the contacts are in other regions", tt.perDomain, got)
		}
	}
}
