package pacing

import "github.com/daisygap/daisygap"

// slidingWindow records the bytes written and the bytes allowed in each of the last milliseconds. Both are kept by
// millisecond, so that a rate that moves between daemons counts for each of them only while the daemon holds the rate.
type slidingWindow struct {
	written [historyMillis]int64
	allowed [historyMillis]float64
	last    daisygap.Millis
	// writtenSum is the number of bytes written in all recorded milliseconds, and allowedSum the number allowed in the window
	// that ends at last.
	writtenSum int64
	allowedSum float64
}

// advance moves the window to a later time. The rate in bytes per millisecond was allowed since the last call.
func (w *slidingWindow) advance(rate float64, now daisygap.Millis) {
	for at := max(w.last, now-historyMillis) + 1; at <= now; at++ {
		i := at % historyMillis
		w.writtenSum -= w.written[i]
		w.written[i] = 0
		w.allowed[i] = rate
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

// fits reports whether a write fits in the window. A fraction of the window is left free for writes that are delayed after
// their last check. A write larger than a whole window waits for an empty window, so that a small rate can't block the
// write for ever.
func (w *slidingWindow) fits(bytes int64) bool {
	return w.writtenSum == 0 || float64(w.writtenSum+bytes) <= windowFraction*w.allowedSum
}

// charge records a write.
func (w *slidingWindow) charge(bytes int64, now daisygap.Millis) {
	w.written[now%historyMillis] += bytes
	w.writtenSum += bytes
}

// refund reverts the charge of a write that did not happen.
func (w *slidingWindow) refund(bytes int64, charged daisygap.Millis) {
	if w.last-charged < historyMillis {
		w.written[charged%historyMillis] -= bytes
		w.writtenSum -= bytes
	}
}
