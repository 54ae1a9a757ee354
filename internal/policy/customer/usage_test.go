package customer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestUsage(t *testing.T) {
	u := &Usage{Limit: 2}
	if got := u.Snapshot(); got != nil {
		t.Errorf("counts before the first request: %v", got)
	}
	for _, name := range []string{"a", "b", "c", "c", "c", "b", Other} {
		u.Add(name, 1_000)
	}
	u.AddRefusal("a")
	u.AddRefusal("c")
	want := map[string]Counts{"a": {Requests: 1, Refused: 1}, "b": {Requests: 2}, Other: {Requests: 4, Refused: 1}}
	if diff := cmp.Diff(want, u.Snapshot()); diff != "" {
		t.Errorf("first window (-want +got):\n%s", diff)
	}
	// c had the most requests and gets the place of a. The requests of both so far stay with the others.
	u.Add("c", 1_000+usageWindow)
	u.Add("a", 1_000+usageWindow)
	want = map[string]Counts{"b": {Requests: 2}, "c": {Requests: 1}, Other: {Requests: 6, Refused: 2}}
	if diff := cmp.Diff(want, u.Snapshot()); diff != "" {
		t.Errorf("second window (-want +got):\n%s", diff)
	}
}

// TestUsageIsBounded guards against metrics and memory that grow with the number of customers.
func TestUsageIsBounded(t *testing.T) {
	u := &Usage{Limit: 20}
	total := uint64(0)
	for i := range 100_000 {
		u.Add(fmt.Sprintf("customer-%d", i%30_000), 0)
		total++
	}
	u.Add("last", 10*usageWindow)
	total++
	if n := len(u.recent); n != 1 {
		t.Errorf("%d customers in the window after it ended, want 1", n)
	}
	sum, counts := uint64(0), u.Snapshot()
	for _, c := range counts {
		sum += c.Requests
	}
	if len(counts) != 21 || sum != total {
		t.Errorf("%d names with %d requests, want 21 with %d", len(counts), sum, total)
	}
}
