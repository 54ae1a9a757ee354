package poison

import (
	"testing"

	"github.com/daisygap/daisygap"
)

func TestOnlySuspectsAreBlocked(t *testing.T) {
	var s SuspectTracker
	for upstream := range 3 {
		if s.Record(daisygap.Crash{Upstream: string(rune('a' + upstream)), Fingerprint: 1}, 10) {
			t.Fatal("a request that ran together with others was blocked")
		}
	}
	if !s.Suspect(1, 20) || s.Blocked(1, 20) {
		t.Error("want a suspect that is not blocked")
	}
	if !s.Record(daisygap.Crash{Fingerprint: 1, Suspect: true}, 20) || !s.Blocked(1, 20) {
		t.Error("a suspect was not blocked after it crashed an upstream that ran no other suspect")
	}
	s.Clear(1)
	if !s.Blocked(1, 20) {
		t.Error("a late response unblocked a blocked request")
	}
	if s.Blocked(1, 20+Retention+1) {
		t.Error("the request is still blocked after Retention")
	}
}

func TestResponseClearsSuspect(t *testing.T) {
	var s SuspectTracker
	s.Record(daisygap.Crash{Fingerprint: 2}, 10)
	s.Clear(2)
	if s.Suspect(2, 11) {
		t.Error("a request is still a suspect after an upstream answered it")
	}
}

// TestMemoryIsBounded guards against a flood of crashing fingerprints that exhausts the memory or evicts a blocked one.
func TestMemoryIsBounded(t *testing.T) {
	var s SuspectTracker
	s.Block(1, 0)
	for hash := range uint64(5 * maxFingerprints) {
		s.Record(daisygap.Crash{Fingerprint: hash + 10}, 1)
	}
	if s.Len() != maxFingerprints {
		t.Errorf("%d fingerprints are held, want %d", s.Len(), maxFingerprints)
	}
	if !s.Blocked(1, 1) {
		t.Error("a flood of other fingerprints unblocked a blocked one")
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
