package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// TestLoadsPropagateBetweenDaemons has one daemon observe a full upstream. Another daemon that sent it no request must receive
// that load, forward it, and ignore older ones.
func TestLoadsPropagateBetweenDaemons(t *testing.T) {
	a, b := newFleet("a", "n-1"), newFleet("b", "n-2")
	list := instances("n-1", 1, 6)
	for _, f := range []*Fleet{a, b} {
		f.Replace(limits, list, nil, 0)
	}
	c := a.Pool("p").Choose(query(reads(), 1), 1_000)
	a.Pool("p").Done(c, "r", Outcome{Result: Answered, ResponseTime: 100, Load: &daisygap.LoadReport{Running: 6, Waiting: 18, Slots: 6}}, 1_100)
	sent := a.RecentLoads(1_200)
	if diff := cmp.Diff([]daisygap.LoadObservation{{Upstream: c.Upstream.shortID(), Load: 24, Age: 100}}, sent); diff != "" {
		t.Fatalf("(-want +got):\n%s", diff)
	}
	b.MergeLoads(append(sent, daisygap.LoadObservation{Upstream: 1, Load: 3}), 50_000)
	if got := b.Pool("p").Choose(query(reads(), 1), 50_000); got.Verdict != Full || got.Load != 24 {
		t.Errorf("verdict %s, load %v", got.Verdict, got.Load)
	}
	if diff := cmp.Diff([]daisygap.LoadObservation{{Upstream: c.Upstream.shortID(), Load: 24, Age: 150}}, b.RecentLoads(50_050)); diff != "" {
		t.Errorf("forwarded loads (-want +got):\n%s", diff)
	}
	b.MergeLoads([]daisygap.LoadObservation{{Upstream: c.Upstream.shortID(), Load: 0, Age: 1_000}}, 50_050)
	if got := b.Pool("p").Choose(query(reads(), 1), 50_060); got.Verdict != Full {
		t.Errorf("an older load replaced a newer one: verdict %s", got.Verdict)
	}
	if got := b.RecentLoads(60_000); got != nil {
		t.Errorf("old loads are sent: %v", got)
	}
}

// TestLowLoadIsSharedOnlyAfterHighLoad checks that messages stay short while there is little load.
func TestLowLoadIsSharedOnlyAfterHighLoad(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 1, 6), nil, 0)
	p := f.Pool("p")
	for i, tt := range []struct {
		running int
		want    []int
	}{{2, nil}, {3, []int{3}}, {1, []int{1}}, {2, nil}} {
		now := daisygap.Millis(i+1) * 2 * maxLoadAge
		c := p.Choose(query(reads(), 1), now)
		p.Done(c, "r", Outcome{Result: Answered, ResponseTime: 100, Load: &daisygap.LoadReport{Running: tt.running, Slots: 6}}, now)
		var got []int
		for _, s := range f.RecentLoads(now) {
			got = append(got, s.Load)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("report %d (-want +got):\n%s", i, diff)
		}
	}
}
