package poison

import (
	"fmt"
	"testing"

	"github.com/daisygap/daisygap"
)

func TestBlockedAfterThreeInstances(t *testing.T) {
	var c CrashTracker
	for i, want := range []bool{false, false, true} {
		// A report that is received twice counts once.
		for range 2 {
			c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: fmt.Sprint(i)}, 100)
		}
		if got := c.Blocked(7, 200); got != want {
			t.Errorf("after %d instances: blocked is %v", i+1, got)
		}
	}
	c.Clear(7)
	if !c.Blocked(7, 300) {
		t.Error("a response unblocked a blocked request")
	}
	if c.Blocked(7, 100+crashRetention) {
		t.Error("the request is still blocked after crashRetention")
	}
}

func TestResponseClearsCrashReports(t *testing.T) {
	var c CrashTracker
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "a"}, 100)
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "b"}, 100)
	c.Clear(7)
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "c"}, 100)
	if c.Blocked(7, 200) {
		t.Error("a request is blocked although it was answered between the crashes")
	}
	if n := len(c.RecentReports(100 + reportPeriod)); n != 0 {
		t.Errorf("%d reports are still forwarded after reportPeriod", n)
	}
}
