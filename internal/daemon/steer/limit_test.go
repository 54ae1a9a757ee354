package steer_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
)

// limitNotice is how long daemons may take to keep a limit after a server first named it.
const limitNotice = 4 * time.Second

// arrivalTimes records when requests reach a server.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) add(instance.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// busiestWindow returns the largest number of arrivals within any window of this length, from a time on.
func (a *arrivalTimes) busiestWindow(from time.Time, length time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.times {
		if first.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(a.times, first.Add(length), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// sendUntil sends reads from several concurrent callers through all daemons until a time.
func (ts *testSite) sendUntil(end time.Time, callers int) []result {
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	for n := range callers {
		client := newClient(ts.t)
		group.Go(func() {
			for i := n; time.Now().Before(end); i++ {
				r := ts.sendRequest(client, ts.daemons[i%len(ts.daemons)], http.MethodGet, fmt.Sprintf("/reads/%d-%d", n, i), "")
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return results
}

// TestNamedRateHoldsOverAllDaemons guards against daemons that together send a server more than the rate that it names.
func TestNamedRateHoldsOverAllDaemons(t *testing.T) {
	t.Parallel()
	const rate, window = 4.0, 4 * time.Second
	ts := start(t, "n-1", "n-2", "s-1")
	limited := ts.servers["n-1-stock"]
	var arrivals arrivalTimes
	limited.OnArrival = arrivals.add
	ts.sendUntil(time.Now().Add(500*time.Millisecond), 6)
	limited.SetLimit(fmt.Sprint(rate))
	named := time.Now()
	results := ts.sendUntil(named.Add(limitNotice+2*window), 6)
	if n, allowed := arrivals.busiestWindow(named.Add(limitNotice), window), 1.5*rate*window.Seconds()+5; float64(n) > allowed {
		t.Errorf("%d requests reached the server in %v, want at most %.0f", n, window, allowed)
	}
	for _, r := range results {
		if r.status != http.StatusOK || r.header.Get("Server-Limit") != "" {
			t.Fatalf("status %d, Server-Limit %q, want 200 without the header (%v)", r.status, r.header.Get("Server-Limit"), r.header)
		}
	}
}

// TestLimitCountsOnEveryStatus has a server name its rate with success, failure and refusal, and with values that name none.
func TestLimitCountsOnEveryStatus(t *testing.T) {
	for _, tt := range []struct {
		fault   instance.Fault
		value   string
		limited bool
	}{
		{instance.None, "0", true},
		{instance.Fail, "0", true},
		{instance.Shed, "0", true},
		{instance.NoStamp, "0", true},
		{instance.None, "-1", false},
		{instance.None, "many", false},
	} {
		t.Run(string(tt.fault)+" "+tt.value, func(t *testing.T) {
			t.Parallel()
			ts := start(t, "n-1")
			limited := ts.servers["n-1-stock"]
			var arrivals arrivalTimes
			limited.OnArrival = arrivals.add
			limited.SetFault(tt.fault)
			limited.SetLimit(tt.value)
			for i := range 60 {
				ts.sendRequest(newClient(t), ts.daemons[0], http.MethodGet, fmt.Sprintf("/reads/%d", i), "")
			}
			// A server without a rate gets its first request, and one permit to show when it takes more again.
			if n := arrivals.busiestWindow(time.Time{}, time.Minute); tt.limited && n > 2 || !tt.limited && n < 5 {
				t.Errorf("%d requests reached the server, limited: %t", n, tt.limited)
			}
		})
	}
}

// TestLimitEndsWithResponseThatLeavesItOut guards against a server that gets so few requests that it can't show that its limit is over.
func TestLimitEndsWithResponseThatLeavesItOut(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "s-1")
	limited := ts.servers["n-1-stock"]
	var arrivals arrivalTimes
	limited.OnArrival = arrivals.add
	limited.SetLimit("0")
	ts.sendUntil(time.Now().Add(2*time.Second), 4)
	if n := arrivals.busiestWindow(time.Time{}, time.Minute); n > 4 {
		t.Errorf("%d requests reached a server that takes none", n)
	}
	limited.SetLimit("")
	// One request in five seconds shows that the limit is over.
	ts.sendUntil(time.Now().Add(8*time.Second), 4)
	from := time.Now()
	ts.sendUntil(from.Add(time.Second), 4)
	if n := arrivals.busiestWindow(from, time.Second); n < 20 {
		t.Errorf("%d requests reached the server in a second after its limit was over, want at least 20", n)
	}
}
