package steer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// tenant is a row of the configuration's tenants.
type tenant struct {
	name, key   string
	rate, burst float64
}

// setTenants writes a new version of the configuration with these tenants.
func (ts *testSite) setTenants(version int, list ...tenant) {
	ts.t.Helper()
	entry, err := ts.Store.Memory.Get(context.Background(), "op/config")
	ts.must(err)
	var document map[string]any
	ts.must(json.Unmarshal(entry.Value, &document))
	var rows [][]any
	for _, t := range list {
		rows = append(rows, []any{t.name, []string{t.key}, t.rate, t.burst})
	}
	document["version"] = fmt.Sprintf("%08x", 100+version)
	document["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "rate_per_s", "burst"}, "rows": rows}
	data, err := json.Marshal(document)
	ts.must(err)
	ts.must(ts.Put("op/config", data))
	time.Sleep(500 * time.Millisecond)
}

// sendWithKey sends a read with a key.
func (ts *testSite) sendWithKey(client *http.Client, d *site.Daemon, key string) result {
	ts.t.Helper()
	id := fmt.Sprintf("request-%d", requests.Add(1))
	r, err := http.NewRequest(http.MethodGet, "http://"+d.Settings.CallerAddress+"/reads/"+id, nil)
	ts.must(err)
	r.Host = site.Host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := client.Do(r)
	if err != nil {
		return result{id: id, broken: true}
	}
	_ = res.Body.Close()
	return result{id: id, status: res.StatusCode, header: res.Header}
}

// sendAtRate sends requests with a key at a rate to the daemons in turn, and returns the results.
func (ts *testSite) sendAtRate(key string, rate float64, span time.Duration) []result {
	ts.t.Helper()
	client := newClient(ts.t)
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		<-ticker.C
		group.Go(func() {
			r := ts.sendWithKey(client, ts.daemons[i%len(ts.daemons)], key)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	group.Wait()
	return results
}

func countStatus(results []result, status int) int {
	n := 0
	for _, r := range results {
		if r.status == status {
			n++
		}
	}
	return n
}

// TestAllowanceHoldsOverDaemons guards against daemons that together admit more of a customer's requests than its allowance, refuse a
// customer that stays below its rate, or refuse without saying when to come back.
func TestAllowanceHoldsOverDaemons(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "n-2", "s-1")
	var arrivals arrivalTimes
	ts.setTenants(1, tenant{"acme", "key-a", 20, 10}, tenant{"calm", "key-b", 20, 10})
	for _, s := range ts.servers {
		s.OnArrival = func(a instance.Arrival) {
			if strings.HasPrefix(a.Path, "/reads/") {
				arrivals.add(a)
			}
		}
	}
	var calm []result
	var group sync.WaitGroup
	results := ts.sendAtRate("key-a", 100, 6*time.Second)
	flooded := arrivals.busiestWindow(time.Time{}, 5*time.Second)
	if bound := (20*5+10)*1.1 + 20; float64(flooded) > bound {
		t.Errorf("%d requests of the customer reached servers in 5 s, want at most %.0f", flooded, bound)
	}
	if n := countStatus(results, http.StatusOK); n < 100 {
		t.Errorf("%d requests served in 6 s, want at least 100", n)
	}
	group.Go(func() { calm = ts.sendAtRate("key-b", 12, 3*time.Second) })
	group.Wait()
	if n := countStatus(calm, http.StatusOK); n < len(calm) {
		t.Errorf("%d of %d requests of a customer below its rate served", n, len(calm))
	}
	for _, r := range results {
		if r.status != http.StatusTooManyRequests {
			continue
		}
		wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if err != nil || wait <= 0 || wait > 7 || r.header.Get("Daisygap-Reason") != "over_allowance" {
			t.Fatalf("refused with %v", r.header)
		}
	}
	if n := countStatus(results, http.StatusTooManyRequests) + countStatus(results, http.StatusOK); n != len(results) {
		t.Errorf("%d of %d requests got neither 200 nor 429", len(results)-n, len(results))
	}
}

// TestChangedLimitsTakeEffect guards against daemons that keep the limit of an older configuration.
func TestChangedLimitsTakeEffect(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "n-2", "s-1")
	ts.setTenants(1, tenant{"acme", "key-a", 100, 20})
	if results := ts.sendAtRate("key-a", 60, 2*time.Second); countStatus(results, http.StatusOK) < len(results) {
		t.Errorf("%d of %d requests below the rate served", countStatus(results, http.StatusOK), len(results))
	}
	ts.setTenants(2, tenant{"acme", "key-a", 10, 0})
	ts.sendAtRate("key-a", 60, 3*time.Second)
	if results := ts.sendAtRate("key-a", 60, 3*time.Second); countStatus(results, http.StatusOK) > 45 {
		t.Errorf("%d requests served in 3 s at the lowered rate of 10 per second", countStatus(results, http.StatusOK))
	}
	ts.setTenants(3, tenant{"acme", "key-a", 0, 0})
	time.Sleep(time.Second)
	if results := ts.sendAtRate("key-a", 60, time.Second); countStatus(results, http.StatusOK) < len(results) {
		t.Errorf("%d of %d requests served without a rate", countStatus(results, http.StatusOK), len(results))
	}
}

// TestUnreachedRequestsReturnTokens guards against customers that lose their allowance to requests that no upstream got.
func TestUnreachedRequestsReturnTokens(t *testing.T) {
	t.Parallel()
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	ts.startDaemons("n-1")
	ts.setTenants(1, tenant{"acme", "key-a", 5, 0})
	results := ts.sendAtRate("key-a", 40, 3*time.Second)
	if n := countStatus(results, http.StatusServiceUnavailable); n < len(results) {
		t.Errorf("%d of %d requests got 503, and %d got 429", n, len(results), countStatus(results, http.StatusTooManyRequests))
	}
}

// TestAllowanceHoldsWhileDaemonsAreCutOff guards against daemons that admit the whole rate each when they don't reach the others, and against
// a customer that gets nothing then.
func TestAllowanceHoldsWhileDaemonsAreCutOff(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "n-2", "s-1")
	ts.setTenants(1, tenant{"acme", "key-a", 20, 0})
	ts.PeersCut.Store(true)
	time.Sleep(time.Second)
	results := ts.sendAtRate("key-a", 100, 5*time.Second)
	if n := countStatus(results, http.StatusOK); n > 130 || n < 60 {
		t.Errorf("%d requests served in 5 s, want 60 to 130", n)
	}
}

// TestAllowanceOutlivesItsCoordinators stops one daemon of three after the other under a flood.
func TestAllowanceOutlivesItsCoordinators(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "n-2", "s-1")
	ts.setTenants(1, tenant{"acme", "key-a", 20, 0})
	stopped := ts.daemons
	for i, d := range stopped[:2] {
		ts.sendAtRate("key-a", 60, time.Second)
		d.Stop()
		ts.daemons = stopped[i+1:]
	}
	results := ts.sendAtRate("key-a", 60, 5*time.Second)
	// The last daemon has a third of the rate while it doesn't know whether the others are only cut off.
	if n := countStatus(results, http.StatusOK); n > 130 || n < 25 {
		t.Errorf("%d requests served in 5 s, want 25 to 130", n)
	}
}

// TestNothingIsReportedWithoutRates guards against the cost of reports in deployments whose customers have no rates.
func TestNothingIsReportedWithoutRates(t *testing.T) {
	t.Parallel()
	ts := start(t, "n-1", "n-2", "s-1")
	ts.setTenants(1, tenant{"acme", "key-a", 0, 0})
	ts.sendAtRate("key-a", 40, time.Second)
	if n := ts.AllowanceReports.Load(); n > 0 {
		t.Errorf("%d reports sent", n)
	}
}

// TestStartWhileCutOffUsesAPartOfTheRate guards against daemons that start without contact to each other and each use the whole of a rate.
func TestStartWhileCutOffUsesAPartOfTheRate(t *testing.T) {
	ts := start(t, "n-1", "n-2", "s-1")
	ts.setTenants(1, tenant{"acme", "key-a", 20, 0})
	ts.PeersCut.Store(true)
	for _, d := range ts.daemons {
		d.Stop()
	}
	ts.daemons = nil
	ts.startDaemons("n-1", "n-2", "s-1")
	// From now on daemons of the store that were never in contact no longer count for cold upstreams.
	time.Sleep(2_500 * time.Millisecond)
	results := ts.sendAtRate("key-a", 100, 5*time.Second)
	if served, bound := countStatus(results, http.StatusOK), 130; served > bound {
		t.Errorf("%d requests served in 5 s, want at most %d", served, bound)
	}
}
