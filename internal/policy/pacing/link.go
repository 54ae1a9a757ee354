package pacing

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// Any window keeps the cap by the books of the window itself; rate and burst only smooth what is written within it.
const (
	windowMillis = 100
	// lateMillis is how long after its charge a write may still begin; the books cover windows that are longer by it.
	lateMillis = daisygap.Millis(1)
	bookMillis = windowMillis + lateMillis + 1
	roomParts  = 0.99
	rateParts  = 0.97
	burstParts = 0.04
	chunkParts = 0.01
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
	// charged is when the bytes were taken from the link's tokens.
	charged daisygap.Millis
}

// Link is this daemon's share of one direction between two regions; it is not safe for concurrent use.
type Link struct {
	share   float64 // bytes a millisecond
	rate    float64 // bytes a millisecond, below the share
	burst   float64
	chunk   int64
	tokens  float64
	last    daisygap.Millis
	book    book
	waiting [daisygap.RankCount][]*Reservation
	queued  int64
}

// SetShare sets the rate in bytes a second that may be used now, and the own share that bursts are measured by; a rate that moves between daemons takes no burst along.
func (l *Link) SetShare(rate, share int64, now daisygap.Millis) {
	l.refill(now)
	window := float64(min(rate, share)) * windowMillis / 1000
	l.share = float64(rate) / 1000
	l.rate = rateParts * l.share
	l.burst = burstParts * window
	l.chunk = min(max(int64(chunkParts*window), minChunk), maxChunk)
	l.tokens = min(l.tokens, l.burst)
}

// Chunk returns the largest number of bytes to write with one ticket.
func (l *Link) Chunk() int64 {
	return max(l.chunk, minChunk)
}

// Reserve asks to write some bytes; it returns true when they may be written at once, else the ticket's Ready is called later.
func (l *Link) Reserve(t *Reservation, now daisygap.Millis) bool {
	l.refill(now)
	if l.queued == 0 && l.mayWrite(t) {
		l.charge(t, now)
		return true
	}
	l.waiting[t.Rank] = append(l.waiting[t.Rank], t)
	l.queued += t.Bytes
	return false
}

// Confirm is called just before the write of a ticket whose Ready was called; it returns false when the writer is late and must wait for Ready again.
func (l *Link) Confirm(t *Reservation, now daisygap.Millis) bool {
	if now-t.charged <= lateMillis {
		return true
	}
	// Bytes charged to an earlier window would overfill this one, so they are charged again.
	l.refill(now)
	l.book.undo(t.Bytes, t.charged)
	l.tokens = min(l.tokens+float64(t.Bytes), l.burst)
	if l.mayWrite(t) {
		l.charge(t, now)
		return true
	}
	t.done = false
	l.waiting[t.Rank] = slices.Insert(l.waiting[t.Rank], 0, t)
	l.queued += t.Bytes
	return false
}

func (l *Link) mayWrite(t *Reservation) bool {
	return l.tokens > 0 && l.book.fits(t.Bytes)
}

func (l *Link) charge(t *Reservation, now daisygap.Millis) {
	l.book.charge(t.Bytes, now)
	l.tokens -= float64(t.Bytes)
	t.done = true
	t.charged = now
}

// Cancel withdraws a ticket that waits.
func (l *Link) Cancel(t *Reservation) {
	if t.done {
		return
	}
	t.done = true
	l.queued -= t.Bytes
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
			if !l.mayWrite(t) {
				return l.nextWait()
			}
			l.waiting[r] = l.waiting[r][1:]
			l.queued -= t.Bytes
			l.charge(t, now)
			t.Ready()
		}
	}
	return 0
}

// Backlog returns how long the bytes of a rank and of more urgent ones already waiting will take to write.
func (l *Link) Backlog(rank daisygap.Rank) daisygap.Millis {
	if l.rate == 0 {
		return 0
	}
	waiting := 0.0
	for r := daisygap.Urgent; r <= rank; r++ {
		for _, t := range l.waiting[r] {
			waiting += float64(t.Bytes)
		}
	}
	return daisygap.Millis(waiting / l.rate)
}

func (l *Link) nextWait() daisygap.Millis {
	if l.rate <= 0 {
		return windowMillis
	}
	return max(1, daisygap.Millis(-l.tokens/l.rate)+1)
}

func (l *Link) refill(now daisygap.Millis) {
	l.tokens = min(l.tokens+float64(now-l.last)*l.rate, l.burst)
	l.book.advance(l.share, now)
	l.last = now
}
