package pacing

import "github.com/daisygap/daisygap"

// slidingWindow keeps what was written and what was allowed in each of the last milliseconds; a share that moves between daemons is allowed to each for its own time only.
type slidingWindow struct {
	written [historyMillis]int64
	allowed [historyMillis]float64
	last    daisygap.Millis
	// writtenSum is all that was written in the book's span, room what was allowed in the window that ends now.
	writtenSum int64
	allowedSum float64
}

// advance goes on to a time; a share in bytes a millisecond was allowed since the last one.
func (w *slidingWindow) advance(share float64, now daisygap.Millis) {
	for at := max(w.last, now-historyMillis) + 1; at <= now; at++ {
		i := at % historyMillis
		w.writtenSum -= w.written[i]
		w.written[i] = 0
		w.allowed[i] = share
	}
	if now <= w.last {
		return
	}
	w.last = now
	w.allowedSum = 0
	for at := max(now-windowMillis, 0) + 1; at <= now; at++ {
		w.allowedSum += w.allowed[at%historyMillis]
	}
}

// fits leaves a part of the window to writes that are held up after their last check. A write that is larger than a whole
// window waits for an empty one, so that a small share can't hold it up for ever.
func (w *slidingWindow) fits(bytes int64) bool {
	return w.writtenSum == 0 || float64(w.writtenSum+bytes) <= windowFraction*w.allowedSum
}

func (w *slidingWindow) charge(bytes int64, now daisygap.Millis) {
	w.written[now%historyMillis] += bytes
	w.writtenSum += bytes
}

// refund takes back a charge that was not written.
func (w *slidingWindow) refund(bytes int64, charged daisygap.Millis) {
	if w.last-charged < historyMillis {
		w.written[charged%historyMillis] -= bytes
		w.writtenSum -= bytes
	}
}
