package pacing

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// Any window keeps the cap by the books of the window itself; rate and burst only smooth what is written within it.
const (
	windowMillis = 100
	// maxWriteDelay is how long after its charge a write may still begin; the books cover windows that are longer by it.
	maxWriteDelay  = daisygap.Millis(1)
	historyMillis  = windowMillis + maxWriteDelay + 1
	windowFraction = 0.99
	rateFraction   = 0.97
	burstFraction  = 0.04
	chunkFraction  = 0.01
)

const (
	minChunk = 256
	maxChunk = 16 << 10
)

// Reservation is one write that waits for its turn.
type Reservation struct {
	Rank  daisygap.Rank
	Bytes int64
	Ready func()
	done  bool
	// chargedAt is when the bytes were taken from the link's tokens.
	chargedAt daisygap.Millis
}

// Link is this daemon's share of one direction between two regions; it is not safe for concurrent use.
type Link struct {
	allowedRate float64 // bytes a millisecond
	refillRate  float64 // bytes a millisecond, below the share
	burst       float64
	chunk       int64
	tokens      float64
	lastRefill  daisygap.Millis
	window      slidingWindow
	waiting     [daisygap.RankCount][]*Reservation
	queuedBytes int64
}

// SetShare sets the rate in bytes a second that may be used now, and the own share that bursts are measured by; a rate that moves between daemons takes no burst along.
func (l *Link) SetShare(rate, share int64, now daisygap.Millis) {
	l.refill(now)
	window := float64(min(rate, share)) * windowMillis / 1000
	l.allowedRate = float64(rate) / 1000
	l.refillRate = rateFraction * l.allowedRate
	l.burst = burstFraction * window
	l.chunk = min(max(int64(chunkFraction*window), minChunk), maxChunk)
	l.tokens = min(l.tokens, l.burst)
}

// Chunk returns the largest number of bytes to write with one ticket.
func (l *Link) Chunk() int64 {
	return max(l.chunk, minChunk)
}

// Reserve asks to write some bytes; it returns true when they may be written at once, else the ticket's Ready is called later.
func (l *Link) Reserve(t *Reservation, now daisygap.Millis) bool {
	l.refill(now)
	if l.queuedBytes == 0 && l.canWrite(t) {
		l.charge(t, now)
		return true
	}
	l.waiting[t.Rank] = append(l.waiting[t.Rank], t)
	l.queuedBytes += t.Bytes
	return false
}

// Confirm is called just before the write of a ticket whose Ready was called; it returns false when the writer is late and must wait for Ready again.
func (l *Link) Confirm(t *Reservation, now daisygap.Millis) bool {
	if now-t.chargedAt <= maxWriteDelay {
		return true
	}
	// Bytes charged to an earlier window would overfill this one, so they are charged again.
	l.refill(now)
	l.window.refund(t.Bytes, t.chargedAt)
	l.tokens = min(l.tokens+float64(t.Bytes), l.burst)
	if l.canWrite(t) {
		l.charge(t, now)
		return true
	}
	t.done = false
	l.waiting[t.Rank] = slices.Insert(l.waiting[t.Rank], 0, t)
	l.queuedBytes += t.Bytes
	return false
}

func (l *Link) canWrite(t *Reservation) bool {
	return l.tokens > 0 && l.window.fits(t.Bytes)
}

func (l *Link) charge(t *Reservation, now daisygap.Millis) {
	l.window.charge(t.Bytes, now)
	l.tokens -= float64(t.Bytes)
	t.done = true
	t.chargedAt = now
}

// Cancel withdraws a ticket that waits.
func (l *Link) Cancel(t *Reservation) {
	if t.done {
		return
	}
	t.done = true
	l.queuedBytes -= t.Bytes
	list := l.waiting[t.Rank]
	for i, o := range list {
		if o == t {
			l.waiting[t.Rank] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// Release calls Ready for the tickets whose turn has come and returns the wait until the next, or 0 when none waits.
func (l *Link) Release(now daisygap.Millis) daisygap.Millis {
	l.refill(now)
	for r := range l.waiting {
		for len(l.waiting[r]) > 0 {
			t := l.waiting[r][0]
			if !l.canWrite(t) {
				return l.nextWait()
			}
			l.waiting[r] = l.waiting[r][1:]
			l.queuedBytes -= t.Bytes
			l.charge(t, now)
			t.Ready()
		}
	}
	return 0
}

// Backlog returns how long the bytes of a rank and of more urgent ones already waiting will take to write.
func (l *Link) Backlog(rank daisygap.Rank) daisygap.Millis {
	if l.refillRate == 0 {
		return 0
	}
	waiting := 0.0
	for r := daisygap.Urgent; r <= rank; r++ {
		for _, t := range l.waiting[r] {
			waiting += float64(t.Bytes)
		}
	}
	return daisygap.Millis(waiting / l.refillRate)
}

func (l *Link) nextWait() daisygap.Millis {
	if l.refillRate <= 0 {
		return windowMillis
	}
	return max(1, daisygap.Millis(-l.tokens/l.refillRate)+1)
}

func (l *Link) refill(now daisygap.Millis) {
	l.tokens = min(l.tokens+float64(now-l.lastRefill)*l.refillRate, l.burst)
	l.window.advance(l.allowedRate, now)
	l.lastRefill = now
}
