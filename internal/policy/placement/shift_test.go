package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/daisygap/daisygap"
)

// TestRegionShareShiftsGradually overloads a region and bounds how many requests leave it from one window to the next. Without
// the limit, all daemons would move much of their traffic to the other region at once.
func TestRegionShareShiftsGradually(t *testing.T) {
	const (
		serviceTime = 100
		window      = 2_000
		maxMoved    = 0.15
	)
	f := newFleet("a", "n-1")
	list := append(instances("n-1", 2, 60), instances("s-1", 8, 60)...)
	f.Replace(limits, list, nil, 0)
	p := f.Pool("p")
	r := rand.New(rand.NewPCG(5, 5))
	type running struct {
		c   Choice
		end daisygap.Millis
	}
	var inFlight []running
	home := make(map[daisygap.Millis]float64)
	served := make(map[daisygap.Millis]float64)
	for now := daisygap.Millis(unlimitedPeriod); now < 60_000; now++ {
		var rest []running
		for _, b := range inFlight {
			if b.end > now {
				rest = append(rest, b)
				continue
			}
			p.Done(b.c, "r", Outcome{Result: Answered, ResponseTime: serviceTime}, now)
		}
		inFlight = rest
		if now%TickInterval == 0 {
			p.Tick(now)
		}
		arrivals := 1 + r.IntN(2)
		if now > 20_000 && now < 40_000 {
			arrivals = 2 + r.IntN(2)
		}
		for range arrivals {
			c := p.Choose(query(reads(), uint64(r.IntN(100))), now)
			if c.Upstream == nil {
				continue
			}
			inFlight = append(inFlight, running{c, now + serviceTime + daisygap.Millis(c.Wait)})
			served[now/window]++
			if c.Upstream.Region == "north" {
				home[now/window]++
			}
		}
	}
	for w := daisygap.Millis(4); w < 29; w++ {
		before, after := home[w-1]/served[w-1], home[w]/served[w]
		if moved := math.Abs(after - before); moved > maxMoved {
			t.Errorf("in the window from %d s on, %.3f of the requests changed regions, want at most %.2f", w*window/1_000, moved, maxMoved)
		}
	}
}

// TestBurstDoesNotShiftRegionShare has other daemons fill the upstreams of this daemon's region at once, with two to four
// times as many waiting requests as slots, and bounds how many of the served requests move to the other region.
func TestBurstDoesNotShiftRegionShare(t *testing.T) {
	for _, waiting := range []int{40, 60, 80} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d waiting, seed %d", waiting, seed), func(t *testing.T) {
				simulateBurst(t, waiting, seed)
			})
		}
	}
}

// simulateBurst reports a number of other daemons' requests waiting at each upstream of this daemon's region for four seconds.
func simulateBurst(t *testing.T, waiting int, seed uint64) {
	t.Helper()
	const (
		serviceTime = 100
		window      = 2_000
		maxMoved    = 0.15
	)
	f := newFleet("a", "n-1")
	f.Replace(limits, append(instances("n-1", 2, 20), instances("s-1", 8, 20)...), nil, 0)
	p := f.Pool("p")
	p.localShare = 0.5
	r := rand.New(rand.NewPCG(seed, seed))
	type running struct {
		c   Choice
		end daisygap.Millis
	}
	var inFlight []running
	var regions []string
	var times []daisygap.Millis
	for now := daisygap.Millis(unlimitedPeriod); now < 40_000; now++ {
		inFlight = slices.DeleteFunc(inFlight, func(b running) bool {
			if b.end <= now {
				o := Outcome{Result: Answered, ResponseTime: serviceTime}
				if b.c.Upstream.Region == "north" && now > 20_000 && now < 24_000 {
					o.Load = &daisygap.LoadReport{Running: 20, Waiting: waiting, Slots: 20}
				}
				p.Done(b.c, "r", o, now)
			}
			return b.end <= now
		})
		for range r.IntN(2) {
			c := p.Choose(query(reads(), uint64(r.IntN(100))), now)
			if c.Upstream == nil {
				continue
			}
			inFlight = append(inFlight, running{c, now + serviceTime + daisygap.Millis(c.Wait)})
			regions, times = append(regions, c.Upstream.Region), append(times, now)
		}
	}
	share := func(from daisygap.Millis) float64 {
		home, all := 0.0, 0.0
		for i, at := range times {
			if at >= from && at < from+window {
				all++
				if regions[i] == "north" {
					home++
				}
			}
		}
		return home / all
	}
	for from := daisygap.Millis(10_000); from < 36_000; from += 250 {
		if moved := math.Abs(share(from) - share(from-window)); moved > maxMoved {
			t.Errorf("in the window from %d ms on, %.3f of the requests changed regions, want at most %.2f", from, moved, maxMoved)
		}
	}
}
