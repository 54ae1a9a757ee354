package allowance

import "github.com/daisygap/daisygap"

// SilentAfter is the time without a reply to a report after which a daemon uses its equal share of each rate. It is longer than CallTimeout,
// so that a report to the next coordinator can be answered before.
const (
	SilentAfter = daisygap.Millis(700)
	// CallTimeout is the time after which a report counts as unanswered.
	CallTimeout = daisygap.Millis(500)
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
	l.pending, l.unanswered, l.version, l.fresh = false, false, version, nil
}

// failed ends a report without a reply. It returns the uses to be sent again. Each is sent again only once: the receiver may have counted
// it, and with late replies the same requests would be counted without end.
func (l *link) failed() []daisygap.AllowanceUse {
	again := l.fresh
	l.pending, l.urgent, l.version, l.fresh = false, true, 0, nil
	return again
}

func (l *link) isSilent(now daisygap.Millis) bool {
	return l.unanswered && now-l.unansweredSince > SilentAfter
}
