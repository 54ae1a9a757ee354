package pacing

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// The sliding window alone keeps the bytes of any window under the cap. The token bucket, with its rate and burst, only
// smooths the writes within a window. windowFraction, burstFraction and chunkFraction are fractions of the bytes allowed in
// a window, and rateFraction is a fraction of the allowed rate.
const (
	windowMillis = 100
	// maxWriteDelay is how long after its charge a write may still begin, in milliseconds. The history is longer than the
	// window by this time.
	maxWriteDelay  = daisygap.Millis(1)
	historyMillis  = windowMillis + maxWriteDelay + 1
	windowFraction = 0.99
	rateFraction   = 0.97
	burstFraction  = 0.04
	chunkFraction  = 0.01
)

// Bounds of the bytes per reservation.
const (
	minChunk = 256
	maxChunk = 16 << 10
)

// Reservation is a request to write some bytes. Ready is called when the bytes may be written, unless Reserve has allowed
// them at once.
type Reservation struct {
	Rank  daisygap.Rank
	Bytes int64
	Ready func()
	// done is set once the bytes are charged or the reservation is cancelled.
	done bool
	// chargedAt is when the bytes were charged to the link.
	chargedAt daisygap.Millis
}

// Link limits what this daemon writes in one direction between two regions to its share of the link's rate. It is not safe
// for concurrent use.
type Link struct {
	allowedRate float64 // bytes per millisecond
	refillRate  float64 // bytes per millisecond, below the allowed rate
	burst       float64
	chunk       int64
	tokens      float64
	lastRefill  daisygap.Millis
	window      slidingWindow
	waiting     [daisygap.RankCount][]*Reservation
	queuedBytes int64
}

// SetShare sets the rate that the daemon may use and its own share without loans, both in bytes per second. Bursts are sized
// by the smaller of the two, so that a borrowed rate allows no larger burst.
func (l *Link) SetShare(rate, share int64, now daisygap.Millis) {
	l.refill(now)
	window := float64(min(rate, share)) * windowMillis / 1000
	l.allowedRate = float64(rate) / 1000
	l.refillRate = rateFraction * l.allowedRate
	l.burst = burstFraction * window
	l.chunk = min(max(int64(chunkFraction*window), minChunk), maxChunk)
	l.tokens = min(l.tokens, l.burst)
}

// Chunk returns the largest number of bytes to write with one reservation.
func (l *Link) Chunk() int64 {
	return max(l.chunk, minChunk)
}

// Reserve asks to write some bytes. It returns true if they may be written at once. Otherwise the reservation waits, and
// Release calls its Ready later.
func (l *Link) Reserve(r *Reservation, now daisygap.Millis) bool {
	l.refill(now)
	if l.queuedBytes == 0 && l.canWrite(r) {
		l.charge(r, now)
		return true
	}
	l.waiting[r.Rank] = append(l.waiting[r.Rank], r)
	l.queuedBytes += r.Bytes
	return false
}

// Confirm must be called immediately before the write of a reservation whose Ready was called. It returns false if the
// writer is too late and must wait for Ready again.
func (l *Link) Confirm(r *Reservation, now daisygap.Millis) bool {
	if now-r.chargedAt <= maxWriteDelay {
		return true
	}
	// The bytes were charged to an earlier window and could exceed the cap of the current one, so they are charged again.
	l.refill(now)
	l.window.refund(r.Bytes, r.chargedAt)
	l.tokens = min(l.tokens+float64(r.Bytes), l.burst)
	if l.canWrite(r) {
		l.charge(r, now)
		return true
	}
	r.done = false
	l.waiting[r.Rank] = slices.Insert(l.waiting[r.Rank], 0, r)
	l.queuedBytes += r.Bytes
	return false
}

func (l *Link) canWrite(r *Reservation) bool {
	return l.tokens > 0 && l.window.fits(r.Bytes)
}

func (l *Link) charge(r *Reservation, now daisygap.Millis) {
	l.window.charge(r.Bytes, now)
	l.tokens -= float64(r.Bytes)
	r.done = true
	r.chargedAt = now
}

// Cancel withdraws a waiting reservation.
func (l *Link) Cancel(r *Reservation) {
	if r.done {
		return
	}
	r.done = true
	l.queuedBytes -= r.Bytes
	list := l.waiting[r.Rank]
	for i, o := range list {
		if o == r {
			l.waiting[r.Rank] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// Release calls Ready for the reservations that may be written now, the most urgent rank first. It returns the time until
// the next one may be written, or 0 if none waits.
func (l *Link) Release(now daisygap.Millis) daisygap.Millis {
	l.refill(now)
	for rank := range l.waiting {
		for len(l.waiting[rank]) > 0 {
			r := l.waiting[rank][0]
			if !l.canWrite(r) {
				return l.nextWait()
			}
			l.waiting[rank] = l.waiting[rank][1:]
			l.queuedBytes -= r.Bytes
			l.charge(r, now)
			r.Ready()
		}
	}
	return 0
}

// Backlog returns how long it will take to write the waiting bytes of the rank and of more urgent ranks.
func (l *Link) Backlog(rank daisygap.Rank) daisygap.Millis {
	if l.refillRate == 0 {
		return 0
	}
	waiting := 0.0
	for i := daisygap.Urgent; i <= rank; i++ {
		for _, r := range l.waiting[i] {
			waiting += float64(r.Bytes)
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
