package poison

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// crash returns a report on a run that began and crashed its process at the given time.
func crash(fingerprint uint64, id string, at daisygap.Millis) daisygap.CrashReport {
	return daisygap.CrashReport{Fingerprint: fingerprint, Process: daisygap.Process{ID: id}, Sent: at, Broken: at, Ended: true}
}

func TestBlockedAfterThreeProcesses(t *testing.T) {
	tr := Tracker{Host: "a"}
	for i, want := range []bool{false, false, true} {
		// A report that is received twice counts once.
		for range 2 {
			tr.Break(crash(7, fmt.Sprint(i), 100+daisygap.Millis(i)), 110)
		}
		if got := tr.Blocked(7, 200); got != want {
			t.Errorf("after %d processes: blocked is %v", i+1, got)
		}
	}
	tr.Answer(7, 99, 250)
	if !tr.Blocked(7, 300) {
		t.Error("a response to a copy that was sent before the crashes unblocked the request")
	}
	if end := 102 + firstBlock*5/4; tr.Blocked(7, end) {
		t.Errorf("the request is still blocked at %d ms", end)
	}
}

// TestProcessUnderOldIDCountsAgain guards against a pool that a request never leaves because its servers keep their IDs.
func TestProcessUnderOldIDCountsAgain(t *testing.T) {
	tr := Tracker{Host: "a"}
	for i := range 3 {
		c := crash(7, "server", 1+daisygap.Millis(i)*4_000)
		c.Process.StartTime = int64(i)
		tr.Break(c, c.Broken)
	}
	if !tr.Blocked(7, 8_001) {
		t.Error("a request that crashed three processes of one server isn't blocked")
	}
}

func TestResponseClearsCrashReports(t *testing.T) {
	tr := Tracker{Host: "a"}
	tr.Break(crash(7, "a", 100), 100)
	tr.Break(crash(7, "b", 110), 110)
	tr.Answer(7, 120, 130)
	tr.Break(crash(7, "c", 140), 140)
	if tr.Blocked(7, 200) {
		t.Error("a request is blocked although it was answered between the crashes")
	}
	if crashes, _ := tr.Reports(false, 140+reportPeriod); len(crashes) != 0 {
		t.Errorf("%d reports are still forwarded after reportPeriod", len(crashes))
	}
}

// TestAnswersOfClearedRequestAreNotShared guards against messages that name each popular request under which an upstream once crashed.
func TestAnswersOfClearedRequestAreNotShared(t *testing.T) {
	tr := Tracker{Host: "a"}
	tr.Break(crash(7, "a", 100), 100)
	tr.Answer(7, 110, 120)
	if _, answers := tr.Reports(false, 130); len(answers) != 1 {
		t.Errorf("%d answers are shared after the first one, want 1", len(answers))
	}
	for now := daisygap.Millis(1_000); now < 10_000; now += 100 {
		tr.Answer(7, now, now+10)
	}
	if _, answers := tr.Reports(false, 10_000); len(answers) != 0 {
		t.Errorf("%d answers are shared long after the crash, want 0", len(answers))
	}
}

func TestUnconfirmedBreaksDoNotBlock(t *testing.T) {
	tr := Tracker{Host: "a"}
	for i := range 5 {
		c := crash(7, fmt.Sprint(i), 1+daisygap.Millis(i)*1_000)
		c.Ended = false
		tr.Break(c, c.Broken)
	}
	if tr.Blocked(7, 5_000) || tr.Suspect(7, 5_000) {
		t.Error("a request whose answers were lost is suspected")
	}
	if n := tr.Breaks(7, 5_000); n != 5 {
		t.Errorf("%d breaks in a row, want 5", n)
	}
	for i := 1; i < 4; i++ {
		tr.End(daisygap.Process{ID: fmt.Sprint(i)}, Removed, 6_000)
	}
	if !tr.Blocked(7, 6_000) {
		t.Error("the request isn't blocked although three of the processes ended")
	}
}

// TestResetBeforeCrashIsNoCrash guards against blame for a request whose connection was reset shortly before its server crashed.
func TestResetBeforeCrashIsNoCrash(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		tr := Tracker{Host: "a"}
		c := crash(7, "x", 100)
		c.Ended = false
		tr.Break(c, 100)
		tr.Survive(c.Process, 210)
		evidence := Refused
		if replaced {
			evidence = Replaced
		}
		tr.End(c.Process, evidence, 500)
		if got := tr.Suspect(7, 510); got != replaced {
			t.Errorf("evidence %q after a later connection: suspected is %v", evidence, got)
		}
	}
}

// TestEvidenceMayComeFirst covers a process whose end another request found before this one's broken connection is recorded.
func TestEvidenceMayComeFirst(t *testing.T) {
	tr := Tracker{Host: "a"}
	tr.End(daisygap.Process{ID: "x"}, Removed, 100)
	c := crash(7, "x", 110)
	c.Ended = false
	tr.Break(c, 110)
	if !tr.Suspect(7, 120) {
		t.Error("the evidence was lost")
	}
}

func TestUnreachableCountsOnlyBesideConnectionsThatBrokeTogether(t *testing.T) {
	for _, together := range []bool{false, true} {
		tr := Tracker{Host: "a"}
		for fingerprint := range uint64(2) {
			c := crash(fingerprint, "x", 100)
			c.Ended = false
			if !together {
				c.Broken += daisygap.Millis(fingerprint) * 1_000
			}
			tr.Break(c, c.Broken)
		}
		tr.FailDial(daisygap.Process{ID: "x"}, 1_200)
		if got := tr.Suspect(0, 1_300); got != together {
			t.Errorf("connections broke together: %v, suspected: %v", together, got)
		}
	}
}

// TestLostDomainBlocksNothing guards against blame for a request whose copies ran at many servers that ended at the same moment.
func TestLostDomainBlocksNothing(t *testing.T) {
	tr := Tracker{Host: "a"}
	for i := range 20 {
		c := crash(7, fmt.Sprint(i), 1_000)
		c.Sent = daisygap.Millis(i * 40)
		tr.Break(c, 1_000)
		c.Host, c.Process.ID, c.Age = "b", fmt.Sprint("b", i), 3
		tr.Merge([]daisygap.CrashReport{c}, nil, 1_000+daisygap.Millis(i%30))
	}
	if tr.Blocked(7, 1_100) {
		t.Error("a popular request is blocked after one event")
	}
}

func TestCrashOfRequestThatRanAloneBlocks(t *testing.T) {
	tr := Tracker{Host: "a"}
	tr.Break(crash(7, "a", 100), 100)
	alone := crash(7, "b", 200)
	alone.Alone = true
	tr.Break(alone, 200)
	if !tr.Blocked(7, 210) {
		t.Error("a suspect isn't blocked although it crashed an upstream that ran no other suspect")
	}
}

// TestFirstTryAfterBlockRunsAlone guards against a block whose end gives the request another series of upstreams.
func TestFirstTryAfterBlockRunsAlone(t *testing.T) {
	tr := Tracker{Host: "a"}
	for i := range 3 {
		tr.Break(crash(7, fmt.Sprint(i), 1+daisygap.Millis(i)), 10)
	}
	now := firstBlock*5/4 + 10
	var got []Admission
	got = append(got, tr.Admit(7, now), tr.Admit(7, now))
	tr.Release(7)
	got = append(got, tr.Admit(7, now+1))
	c := crash(7, "again", now+2)
	c.Alone = true
	tr.Break(c, now+2)
	got = append(got, tr.Admit(7, now+3), tr.Admit(7, now+2*firstBlock))
	if diff := cmp.Diff([]Admission{Alone, Blocked, Alone, Blocked, Blocked}, got); diff != "" {
		t.Errorf("admissions (-want +got):\n%s", diff)
	}
	now += 10 * firstBlock
	if tr.Admit(7, now) != Alone {
		t.Fatal("no trial after the second block")
	}
	tr.Answer(7, now, now+10)
	if got := tr.Admit(7, now+11); got != Free {
		t.Errorf("an answered trial leaves the request with admission %d", got)
	}
}

// TestBlockReachesDaemonThatStartsLater guards against a restart that forgets what is blocked.
func TestBlockReachesDaemonThatStartsLater(t *testing.T) {
	tr, later := Tracker{Host: "a"}, Tracker{Host: "b"}
	for i := range 3 {
		tr.Break(crash(7, fmt.Sprint(i), 1+daisygap.Millis(i)), 10)
	}
	tr.Break(crash(8, "x", 20_000), 20_000)
	crashes, answers := tr.Reports(false, 30_000)
	later.Merge(crashes, answers, 1_000)
	if !later.Blocked(7, 1_001) {
		t.Error("a blocked request isn't reported once its reports are old")
	}
	crashes, answers = tr.Reports(true, 30_000)
	later.Merge(crashes, answers, 1_010)
	if !later.Suspect(8, 1_011) {
		t.Error("a suspect isn't among all reports")
	}
	later.Merge(crashes, answers, 2*blockedRetention)
	if later.Len() != 2 {
		t.Errorf("%d requests, want 2", later.Len())
	}
	crashes, answers = tr.Reports(false, blockedRetention/2)
	restarted := Tracker{Host: "d"}
	if restarted.Merge(crashes, answers, 1); restarted.BlockedLen() != 1 {
		t.Error("a daemon that starts long after the crashes doesn't know that the first try runs alone")
	}
	old, _ := tr.Reports(true, blockedRetention)
	fresh := Tracker{Host: "c"}
	if fresh.Merge(old, nil, 10); fresh.Len() != 0 {
		t.Error("reports came back that are about to be forgotten")
	}
}

// TestMemoryIsBounded guards against a flood of crashing fingerprints that exhausts the memory or evicts a blocked one.
func TestMemoryIsBounded(t *testing.T) {
	tr := Tracker{Host: "a"}
	tr.Block(1, 0)
	for hash := range uint64(5 * maxRecords) {
		tr.Break(crash(hash+10, fmt.Sprint(hash%(3*maxProcesses)), 1), 1)
	}
	if tr.Len() != maxRecords || len(tr.processes) > maxProcesses {
		t.Errorf("%d requests and %d processes are held, want %d and at most %d", tr.Len(), len(tr.processes), maxRecords, maxProcesses)
	}
	if !tr.Blocked(1, 1) {
		t.Error("a flood of other fingerprints unblocked a blocked one")
	}
	for i := range daisygap.Millis(100) {
		tr.Break(crash(2, fmt.Sprint("more", i), i), i)
	}
	if n := len(tr.records[2].Value.(*record).reports); n > maxReports {
		t.Errorf("%d reports are held on one request, want at most %d", n, maxReports)
	}
}

func BenchmarkAdmitInFullTracker(b *testing.B) {
	tr := Tracker{Host: "a"}
	for hash := range uint64(maxRecords) {
		tr.Break(crash(hash, fmt.Sprint(hash%100), 1), 1)
	}
	for i := uint64(0); b.Loop(); i++ {
		tr.Admit(i%(2*maxRecords), 2)
	}
}
