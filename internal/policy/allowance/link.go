package allowance

import "github.com/daisygap/daisygap"

const (
	// CallTimeout is the time after which a report counts as failed. A call between regions takes 70 ms.
	CallTimeout = daisygap.Millis(300)
	// lateAfter is the time without a reply after which open customers get no more than they had, and silentAfter the time after which a
	// daemon uses its equal share of each rate. Two calls that time out, and an answered one to another coordinator, take less.
	lateAfter   = daisygap.Millis(200)
	silentAfter = daisygap.Millis(700)
	// unknownSilentAfter takes the place of silentAfter for a relay that has had no reply so far: its daemons may come from one that was
	// silent already.
	unknownSilentAfter = daisygap.Millis(500)
)

// link is the sending side of the reports to one receiver.
type link struct {
	reportedAt daisygap.Millis
	// pending is set while a report is under way, and urgent if one should be sent before the interval is over.
	pending bool
	urgent  bool
	// unanswered is set if no reply came since unansweredSince, when a report was sent.
	unanswered      bool
	unansweredSince daisygap.Millis
	// unknown is set until the first reply.
	unknown bool
	// fresh holds the uses of the report that is under way, without those that were sent before.
	fresh []daisygap.AllowanceUse
	// version is that of the last reply.
	version uint64
}

// newLink returns a link that counts as unanswered from now on.
func newLink(now daisygap.Millis) link {
	return link{reportedAt: now - minSpacing, urgent: true, unanswered: true, unansweredSince: now}
}

func (l *link) isDue(interval, now daisygap.Millis) bool {
	since := now - l.reportedAt
	return !l.pending && since >= minSpacing && (l.urgent || since >= interval)
}

func (l *link) begin(now daisygap.Millis) {
	l.pending, l.urgent, l.reportedAt = true, false, now
	if !l.unanswered {
		l.unanswered, l.unansweredSince = true, now
	}
}

func (l *link) answered(version uint64) {
	l.pending, l.unanswered, l.unknown, l.version, l.fresh = false, false, false, version, nil
}

// failed ends a report without a reply. It returns the uses to be sent again. Each is sent again only once: the receiver may have counted
// it, and with late replies the same requests would be counted without end.
func (l *link) failed() []daisygap.AllowanceUse {
	again := l.fresh
	l.pending, l.urgent, l.version, l.fresh = false, true, 0, nil
	return again
}

func (l *link) isLate(now daisygap.Millis) bool {
	return l.unknown || l.unanswered && now-l.unansweredSince > lateAfter
}

func (l *link) isSilent(now daisygap.Millis) bool {
	limit := silentAfter
	if l.unknown {
		limit = unknownSilentAfter
	}
	return l.unanswered && now-l.unansweredSince > limit
}
