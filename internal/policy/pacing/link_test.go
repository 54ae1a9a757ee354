package pacing

import (
	"math/rand/v2"
	"testing"

	"github.com/daisygap/daisygap"
)

const testShare = 8_750_000

// saturate keeps a link full of background writes, with an urgent write every 50 ms, and returns the bytes written in each
// millisecond and the waits of the urgent writes.
func saturate(span, jitter daisygap.Millis, seed uint64) (perMillis []int64, waits []daisygap.Millis) {
	random := rand.New(rand.NewPCG(seed, 0))
	l := &Link{}
	l.SetShare(testShare, testShare, 0)
	perMillis = make([]int64, span)
	waiting := 0
	now := daisygap.Millis(0)
	for now < span {
		for waiting < 20 {
			t := &Reservation{Rank: daisygap.Background, Bytes: l.Chunk()}
			t.Ready = func() { waiting--; perMillis[now] += t.Bytes }
			waiting++
			if l.Reserve(t, now) {
				t.Ready()
			}
		}
		if now%50 == 0 {
			asked := now
			t := &Reservation{Rank: daisygap.Urgent, Bytes: 2_000}
			t.Ready = func() { waits = append(waits, now-asked); perMillis[now] += t.Bytes }
			if l.Reserve(t, now) {
				t.Ready()
			}
		}
		l.Release(now)
		now += 1 + daisygap.Millis(random.Int64N(int64(jitter)))
	}
	return perMillis, waits
}

func TestNoWindowExceedsCap(t *testing.T) {
	for seed := range uint64(20) {
		perMillis, _ := saturate(5_000, 3, seed)
		var window, total int64
		for i, n := range perMillis {
			window += n
			total += n
			if i >= windowMillis {
				window -= perMillis[i-windowMillis]
			}
			if limit := int64(testShare * windowMillis / 1000); window > limit {
				t.Fatalf("seed %d: %d bytes in the 100 ms up to %d ms, the cap is %d", seed, window, i, limit)
			}
		}
		if used := float64(total) / (testShare * 5); used < 0.95 {
			t.Errorf("seed %d: utilization %.3f, want at least 0.95", seed, used)
		}
	}
}

func TestUrgentWritesGoFirst(t *testing.T) {
	_, waits := saturate(5_000, 1, 1)
	if len(waits) < 90 {
		t.Fatalf("%d of 100 urgent writes were made, want at least 90", len(waits))
	}
	for _, w := range waits {
		if w > 3 {
			t.Errorf("an urgent write waited %d ms on a saturated link, want at most 3 ms", w)
		}
	}
}

func TestCancelRemovesReservationFromBacklog(t *testing.T) {
	l := &Link{}
	l.SetShare(testShare, testShare, 0)
	l.Release(windowMillis)
	first := &Reservation{Bytes: 800_000, Ready: func() {}}
	if !l.Reserve(first, windowMillis) {
		t.Fatal("the first write had to wait on an idle link")
	}
	second := &Reservation{Bytes: 1_000, Ready: func() { t.Error("Ready was called for a cancelled reservation") }}
	l.Reserve(second, windowMillis)
	l.Cancel(second)
	if got := l.Backlog(daisygap.Background); got != 0 {
		t.Errorf("backlog of %d ms after the cancellation, want 0", got)
	}
	l.Release(10_000)
}

// TestDelayedWritersStayUnderCap guards against writes that are charged to one window but made in a later one: writers
// pause for some milliseconds after Ready and then all write at once.
func TestDelayedWritersStayUnderCap(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := &Link{}
		l.SetShare(testShare, testShare, 0)
		var written [5_000]int64
		var ready []*Reservation
		window, waiting, resume := int64(0), 0, daisygap.Millis(0)
		for now := range daisygap.Millis(len(written)) {
			for waiting < 200 {
				waiting++
				res := &Reservation{Bytes: l.Chunk()}
				res.Ready = func() { ready = append(ready, res) }
				if l.Reserve(res, now) {
					res.Ready()
				}
			}
			l.Release(now)
			if now < resume {
				continue
			}
			for _, res := range ready {
				if l.Confirm(res, now) {
					written[now] += res.Bytes
					waiting--
				}
			}
			ready = nil
			if random.IntN(20) == 0 {
				resume = now + daisygap.Millis(random.IntN(30))
			}
			window = 0
			for at := max(0, now-windowMillis+1); at <= now; at++ {
				window += written[at]
			}
			if limit := int64(testShare * windowMillis / 1000); window > limit {
				t.Fatalf("seed %d: %d bytes in the 100 ms up to %d ms, the cap is %d", seed, window, now, limit)
			}
		}
	}
}

// TestMovingRateStaysUnderCap guards against exceeding the cap in windows in which a lent rate moves from one daemon to the
// other, when both write as much as they may.
func TestMovingRateStaysUnderCap(t *testing.T) {
	const share = testShare / 2
	links := []*Link{{}, {}}
	for _, l := range links {
		l.SetShare(share, share, 0)
	}
	var written [5_000]int64
	window := int64(0)
	for now := range daisygap.Millis(len(written)) {
		lent := int64(now/70%2) * share * 9 / 10
		links[0].SetShare(share-lent, share, now)
		links[1].SetShare(share+lent, share, now)
		for _, l := range links {
			for l.Reserve(&Reservation{Bytes: l.Chunk(), Ready: func() {}}, now) {
				written[now] += l.Chunk()
			}
			l.queuedBytes, l.waiting = 0, [daisygap.RankCount][]*Reservation{}
		}
		window += written[now]
		if now >= windowMillis {
			window -= written[now-windowMillis]
		}
		if limit := int64(testShare * windowMillis / 1000); window > limit {
			t.Fatalf("%d bytes in the 100 ms up to %d ms, the cap is %d", window, now, limit)
		}
	}
}

// TestWriteLargerThanWindowIsReleased guards against a write that waits for ever because it is larger than the bytes allowed
// in a whole window.
func TestWriteLargerThanWindowIsReleased(t *testing.T) {
	l := &Link{}
	l.SetShare(1_000, 1_000, 0)
	ready := false
	large := &Reservation{Bytes: 1_536, Ready: func() { ready = true }}
	l.Reserve(&Reservation{Bytes: 50, Ready: func() {}}, 1)
	l.Reserve(large, 2)
	for now := daisygap.Millis(3); now < 2_000; now++ {
		l.Release(now)
	}
	if !ready && !large.done {
		t.Error("a write larger than the window was never released")
	}
}
