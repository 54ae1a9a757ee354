package poison

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

// maxSerialCrashes is the largest number of servers that a request crashes whose copies come one after the other, until it is blocked.
const maxSerialCrashes = 4

// allowedCrashes adds the trials after the blocks, each of which is longer than the one before.
func allowedCrashes(duration daisygap.Millis) int {
	return maxSerialCrashes + int(math.Log2(float64(duration)/float64(firstBlock)+1))
}

// TestCulpritIsBlockedAtAnyPace checks the number of servers that a crashing request ends, and that requests beside it are never
// blocked, at any pace, with one or many daemons, in quiet and busy traffic, with servers that keep their IDs or not.
func TestCulpritIsBlockedAtAnyPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 12).Draw(t, "daemons"))
		pace := daisygap.Millis(100 * math.Pow(600, rapid.Float64Range(0, 1).Draw(t, "pace")))
		interval := daisygap.Millis(rapid.SampledFrom([]int{25, 300, 5_000}).Draw(t, "interval"))
		copies := 16
		duration := pace * daisygap.Millis(copies)
		if trafficFor := min(duration, 20_000); interval > 0 {
			m.traffic(interval, m.now+trafficFor, rapid.SampledFrom([]int{0, 10}).Draw(t, "resets"))
		}
		for i := range copies {
			m.after(daisygap.Millis(i)*pace, func() { m.sendCulprit(m.daemons[m.draw(0, len(m.daemons)-1)]) })
		}
		m.runUntil(m.now + duration)
		if allowed := allowedCrashes(duration); m.crashes > allowed {
			t.Fatalf("%d servers crashed in %d copies, %d ms apart, want at most %d", m.crashes, copies, pace, allowed)
		}
	})
}

// TestCulpritIsBlockedWithoutRefusedDials covers servers that are back before a daemon finds that nothing listens there, so that only
// the store shows the end of their processes.
func TestCulpritIsBlockedWithoutRefusedDials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 12).Draw(t, "daemons"))
		m.refuses = false
		pace := daisygap.Millis(rapid.IntRange(100, 6_000).Draw(t, "pace"))
		m.traffic(300, m.now+10_000, 0)
		for i := range 16 {
			m.after(daisygap.Millis(i)*pace, func() { m.sendCulprit(m.daemons[m.draw(0, len(m.daemons)-1)]) })
		}
		m.runUntil(m.now + 16*pace)
		// The store's evidence comes after the retries of the same request.
		if allowed := allowedCrashes(16*pace) + m.attempts - 1; m.crashes > allowed {
			t.Fatalf("%d servers crashed in 16 copies, %d ms apart, want at most %d", m.crashes, pace, allowed)
		}
	})
}

// TestRestartsDoNotForgetCulprit restarts the daemons one after the other while the copies come.
func TestRestartsDoNotForgetCulprit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 6).Draw(t, "daemons"))
		pace := daisygap.Millis(rapid.IntRange(100, 3_000).Draw(t, "pace"))
		for i := range 30 {
			m.after(daisygap.Millis(i)*pace, func() { m.sendCulprit(m.daemons[m.draw(0, len(m.daemons)-1)]) })
		}
		for i := range m.daemons {
			m.after(daisygap.Millis(i+1)*2_000, func() { m.restart(i) })
		}
		m.runUntil(m.now + 30*pace)
		if allowed := allowedCrashes(30 * pace); m.crashes > allowed {
			t.Fatalf("%d servers crashed, want at most %d", m.crashes, allowed)
		}
	})
}

// TestCutDaemonsCountOnTheirOwn cuts daemons off from the others for a time. Each side may lose servers of its own, and learns what the
// others block when it is back.
func TestCutDaemonsCountOnTheirOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 6).Draw(t, "daemons"))
		pace := daisygap.Millis(rapid.IntRange(100, 1_000).Draw(t, "pace"))
		cuts := rapid.IntRange(1, len(m.daemons)-1).Draw(t, "cuts")
		for i := range cuts {
			m.after(1_000, func() { m.daemons[i].cut = true })
			m.after(6_000, func() {
				m.daemons[i].cut = false
				m.deliver(m.daemons[len(m.daemons)-1], m.daemons[i], true)
			})
		}
		for i := range 40 {
			m.after(daisygap.Millis(i)*pace, func() { m.sendCulprit(m.daemons[m.draw(0, len(m.daemons)-1)]) })
		}
		m.runUntil(m.now + 40*pace)
		if allowed := (1 + cuts) * maxSerialCrashes; m.crashes > allowed {
			t.Fatalf("%d servers crashed with %d daemons cut off, want at most %d", m.crashes, cuts, allowed)
		}
	})
}

// TestInnocentsAreNeverBlocked crashes up to half of the servers for reasons of their own, also many at once, beside popular requests
// and resets.
func TestInnocentsAreNeverBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 6).Draw(t, "daemons"))
		m.traffic(daisygap.Millis(rapid.IntRange(5, 50).Draw(t, "interval")), m.now+20_000, rapid.SampledFrom([]int{0, 20}).Draw(t, "resets"))
		gap := daisygap.Millis(rapid.IntRange(300, 3_000).Draw(t, "gap"))
		for at := gap; at < 20_000; at += gap {
			m.after(at, func() {
				for range []int{1, 1, 1, 10}[m.draw(0, 3)] {
					if m.upServers() > len(m.servers)/2 {
						m.crash(m.choose())
					}
				}
			})
		}
		m.runUntil(m.now + 20_000)
		if m.served == 0 {
			t.Fatal("no request was served")
		}
	})
}
