package poison

import (
	"testing"

	"github.com/daisygap/daisygap"
)

func TestOnlySuspectsAreBlocked(t *testing.T) {
	var s SuspectTracker
	for upstream := range 3 {
		if s.Record(daisygap.Crash{Upstream: string(rune('a' + upstream)), Fingerprint: 1}, 10) {
			t.Fatal("a request that ran beside others was held back")
		}
	}
	if !s.Suspect(1, 20) || s.Blocked(1, 20) {
		t.Error("want a suspect that isn't held back")
	}
	if !s.Record(daisygap.Crash{Fingerprint: 1, Suspect: true}, 20) || !s.Blocked(1, 20) {
		t.Error("a suspect that crashed an upstream where no other suspect ran wasn't held back")
	}
	s.Clear(1)
	if !s.Blocked(1, 20) {
		t.Error("a late answer freed a request that is held back")
	}
	if s.Blocked(1, 20+Retention+1) {
		t.Error("the blame never expires")
	}
}

func TestResponseClearsSuspect(t *testing.T) {
	var s SuspectTracker
	s.Record(daisygap.Crash{Fingerprint: 2}, 10)
	s.Clear(2)
	if s.Suspect(2, 11) {
		t.Error("a request that an upstream answered is still a suspect")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var s SuspectTracker
	s.Block(1, 0)
	for hash := range uint64(5 * maxFingerprints) {
		s.Record(daisygap.Crash{Fingerprint: hash + 10}, 1)
	}
	if s.Len() != maxFingerprints {
		t.Errorf("%d fingerprints are remembered, want %d", s.Len(), maxFingerprints)
	}
	if !s.Blocked(1, 1) {
		t.Error("an attack of many fingerprints freed one that is held back")
	}
}

func BenchmarkSuspectInFullTracker(b *testing.B) {
	var s SuspectTracker
	for hash := range uint64(maxFingerprints) {
		s.Record(daisygap.Crash{Fingerprint: hash}, 1)
	}
	for i := uint64(0); b.Loop(); i++ {
		s.Suspect(i%(2*maxFingerprints), 2)
	}
}
