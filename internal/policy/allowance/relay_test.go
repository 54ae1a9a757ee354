package allowance

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// TestLimitOutlastsItsCoordinator guards against a customer that is admitted freely in a flood because a new coordinator, whose first list of
// limits is empty, hasn't seen its demand yet.
func TestLimitOutlastsItsCoordinator(t *testing.T) {
	var r Relay
	r.SetDaemons(1)
	use := daisygap.AllowanceReport{From: "a", Slots: 1, Uses: []daisygap.AllowanceUse{{Customer: 7, Admitted: 1}}}
	limits := func(now daisygap.Millis, reply daisygap.AllowanceReply) int {
		r.Add(use, now)
		report, ok := r.Report(SlotKey{0, 1}, now)
		if !ok {
			t.Fatalf("no report at %d ms", now)
		}
		r.Answered(report, reply, now)
		return len(r.Reply(daisygap.AllowanceReport{From: "a", Slots: 1}, now).Limits)
	}
	limited := daisygap.AllowanceReply{Version: 1, Full: true, Limits: []daisygap.AllowanceLimit{{Customer: 7, Fraction: 0.2}}}
	got := []int{
		limits(1_000, limited),
		limits(1_200, daisygap.AllowanceReply{Version: 9, Full: true}),
		limits(1_900, daisygap.AllowanceReply{Version: 9}),
		limits(2_300, daisygap.AllowanceReply{Version: 9}),
	}
	if diff := cmp.Diff([]int{1, 1, 1, 0}, got); diff != "" {
		t.Errorf("limits in force (-want +got):\n%s", diff)
	}
}
