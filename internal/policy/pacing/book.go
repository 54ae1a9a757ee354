package pacing

import "github.com/daisygap/daisygap"

// book keeps what was written and what was allowed in each of the last milliseconds; a share that moves between daemons is allowed to each for its own time only.
type book struct {
	written [bookMillis]int64
	allowed [bookMillis]float64
	last    daisygap.Millis
	// sum is all that was written in the book's span, room what was allowed in the window that ends now.
	sum  int64
	room float64
}

// advance goes on to a time; a share in bytes a millisecond was allowed since the last one.
func (b *book) advance(share float64, now daisygap.Millis) {
	for at := max(b.last, now-bookMillis) + 1; at <= now; at++ {
		i := at % bookMillis
		b.sum -= b.written[i]
		b.written[i] = 0
		b.allowed[i] = share
	}
	if now <= b.last {
		return
	}
	b.last = now
	b.room = 0
	for at := max(now-windowMillis, 0) + 1; at <= now; at++ {
		b.room += b.allowed[at%bookMillis]
	}
}

// fits leaves a part of the window to writes that are held up after their last check. A write that is larger than a whole
// window waits for an empty one, so that a small share can't hold it up for ever.
func (b *book) fits(bytes int64) bool {
	return b.sum == 0 || float64(b.sum+bytes) <= roomParts*b.room
}

func (b *book) charge(bytes int64, now daisygap.Millis) {
	b.written[now%bookMillis] += bytes
	b.sum += bytes
}

// undo takes back a charge that was not written.
func (b *book) undo(bytes int64, charged daisygap.Millis) {
	if b.last-charged < bookMillis {
		b.written[charged%bookMillis] -= bytes
		b.sum -= bytes
	}
}
