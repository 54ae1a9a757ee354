package poison

import (
	"fmt"
	"testing"

	"github.com/daisygap/daisygap"
)

func TestBlockedAfterThreeInstances(t *testing.T) {
	var c CrashTracker
	for i, want := range []bool{false, false, true} {
		// A report that comes twice counts once.
		for range 2 {
			c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: fmt.Sprint(i)}, 100)
		}
		if got := c.Blocked(7, 200); got != want {
			t.Errorf("after %d processes: held back %v", i+1, got)
		}
	}
	c.Clear(7)
	if !c.Blocked(7, 300) {
		t.Error("an answer released a request that is held back")
	}
	if c.Blocked(7, 100+crashRetention) {
		t.Error("held back for ever")
	}
}

func TestResponseClearsCrashReports(t *testing.T) {
	var c CrashTracker
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "a"}, 100)
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "b"}, 100)
	c.Clear(7)
	c.Record(daisygap.CrashReport{Fingerprint: 7, Instance: "c"}, 100)
	if c.Blocked(7, 200) {
		t.Error("a request that was answered in between is held back")
	}
	if n := len(c.RecentReports(100 + reportPeriod)); n != 0 {
		t.Errorf("%d old reports are handed on", n)
	}
}
