package quota

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLowPrioritiesLeaveBytesToHighOnes(t *testing.T) {
	b := Bytes{Limit: 1_000}
	var got []bool
	for _, priority := range []int{9, 9, 2, 0, 0, 0} {
		got = append(got, b.Take(300, priority))
	}
	b.Release(300)
	got = append(got, b.Take(300, 0))
	if diff := cmp.Diff([]bool{true, false, true, true, false, false, true}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if b.Used() != 900 {
		t.Errorf("%d bytes are in use, want 900", b.Used())
	}
}

func TestConcurrentTakesStayWithinLimit(t *testing.T) {
	b := Bytes{Limit: 10_000}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1_000 {
				if b.Take(1_000, 0) {
					if used := b.Used(); used > b.Limit {
						t.Errorf("%d bytes are in use, limit %d", used, b.Limit)
					}
					b.Release(1_000)
				}
			}
		})
	}
	group.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are still in use", b.Used())
	}
}

func BenchmarkTakeBytes(b *testing.B) {
	budget := Bytes{Limit: 1 << 20}
	for b.Loop() {
		if budget.Take(1<<10, 1) {
			budget.Release(1 << 10)
		}
	}
}

// TestLargeRequestsLeaveBudget guards against large requests that take the whole budget.
func TestLargeRequestsLeaveBudget(t *testing.T) {
	b := Bytes{Limit: 1000}
	if !b.TakeLarge(750, 0) || b.TakeLarge(1, 0) {
		t.Error("want 75 percent of the budget for large requests")
	}
	if !b.Take(250, 0) || b.Take(1, 0) {
		t.Error("want the rest of the budget for small requests")
	}
}
