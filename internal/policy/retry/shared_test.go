package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/daisygap/daisygap"
)

// TestSharedBudgetHoldsInEveryWindow guards against daemons that each stay within their part but together exceed the budget
// in some sliding window, for example by spending saved credit at the same time.
func TestSharedBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 62.0
		window = daisygap.Millis(10_000)
	)
	for _, daemons := range []int{1, 2, 11, 88} {
		r := rand.New(rand.NewPCG(uint64(daemons), 3))
		shared := make([]SharedBudget, daemons)
		for i := range shared {
			shared[i] = SharedBudget{Ratio: ratio, Slack: slack, Window: window}
		}
		var attempts, retries []daisygap.Millis
		for now := daisygap.Millis(1); now < 60_000; now += 2 {
			s := &shared[r.IntN(daemons)]
			// An idle phase is followed by a busy one, so that saved credit is spent at once.
			if now%20_000 > 12_000 {
				s.Deposit(daemons, now)
				attempts = append(attempts, now)
			}
			for now%20_000 > 15_000 && s.TryWithdraw(daemons, now) {
				retries = append(retries, now)
			}
		}
		if len(retries) == 0 {
			t.Errorf("%d daemons: no retry was allowed", daemons)
		}
		for from := daisygap.Millis(0); from < 50_000; from += 500 {
			f, n := within(attempts, from, window), within(retries, from, window)
			if limit := ratio*float64(f) + slack; float64(n) > limit {
				t.Errorf("%d daemons: %d retries of %d requests in the window from %d ms, want at most %.0f", daemons, n, f, from, limit)
			}
		}
	}
}

func within(times []daisygap.Millis, from, span daisygap.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+span {
			n++
		}
	}
	return n
}
