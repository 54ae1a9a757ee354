package poison

import (
	"testing"

	"github.com/daisygap/daisygap"
)

func TestOnlySuspectsAreHeldBack(t *testing.T) {
	var g SuspectTracker
	for upstream := range 3 {
		if g.Record(daisygap.Crash{Upstream: string(rune('a' + upstream)), Fingerprint: 1}, 10) {
			t.Fatal("a request that ran beside others was held back")
		}
	}
	if !g.Suspect(1, 20) || g.Blocked(1, 20) {
		t.Error("want a suspect that isn't held back")
	}
	if !g.Record(daisygap.Crash{Fingerprint: 1, Suspect: true}, 20) || !g.Blocked(1, 20) {
		t.Error("a suspect that crashed an upstream where no other suspect ran wasn't held back")
	}
	g.Clear(1)
	if !g.Blocked(1, 20) {
		t.Error("a late answer freed a request that is held back")
	}
	if g.Blocked(1, 20+Memory+1) {
		t.Error("the blame never expires")
	}
}

func TestAnswerClearsSuspicion(t *testing.T) {
	var g SuspectTracker
	g.Record(daisygap.Crash{Fingerprint: 2}, 10)
	g.Clear(2)
	if g.Suspect(2, 11) {
		t.Error("a request that an upstream answered is still a suspect")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var g SuspectTracker
	g.Block(1, 0)
	for hash := range uint64(5 * maxPrints) {
		g.Record(daisygap.Crash{Fingerprint: hash + 10}, 1)
	}
	if g.Len() != maxPrints {
		t.Errorf("%d fingerprints are remembered, want %d", g.Len(), maxPrints)
	}
	if !g.Blocked(1, 1) {
		t.Error("an attack of many fingerprints freed one that is held back")
	}
}

func BenchmarkSuspectInFullRegister(b *testing.B) {
	var g SuspectTracker
	for hash := range uint64(maxPrints) {
		g.Record(daisygap.Crash{Fingerprint: hash}, 1)
	}
	for i := uint64(0); b.Loop(); i++ {
		g.Suspect(i%(2*maxPrints), 2)
	}
}
