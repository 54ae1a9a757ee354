package poison

import (
	"container/list"

	"github.com/daisygap/daisygap"
)

const (
	// maxShared bounds the reports in a message with all of them, maxRecent those on suspects in another message, and maxBlocked those
	// on blocked requests there.
	maxShared  = 512
	maxRecent  = 32
	maxBlocked = 64
	// maxSends is how often a change is sent. With as many messages from each daemon that has it, it reaches nearly all.
	maxSends = 8
	// maxNews bounds the reports in a message that is sent at once.
	maxNews = 64
)

// maxReportAge is the age from which on another daemon's report is ignored.
const maxReportAge = blockedRetention - daisygap.Millis(60_000)

// ChangeKind is what happened to a request.
type ChangeKind string

// The kinds of changes.
const (
	Suspected    ChangeKind = "suspected"
	Crashed      ChangeKind = "crashed"
	NewlyBlocked ChangeKind = "blocked"
	Answered     ChangeKind = "answered"
)

// Change is an event for the log: a request's connection broke, the process there is known to have ended, the request is blocked, or
// an upstream answered it.
type Change struct {
	Kind        ChangeKind
	Fingerprint uint64
	Process     daisygap.Process
	// Host is the daemon that sent the request, and Evidence what showed that the process ended.
	Host     string
	Evidence Evidence
	// Weight is that of the crashes in a row, and For the duration of the block.
	Weight int
	For    daisygap.Millis
}

// maxChanges bounds the changes that are held for the log.
const maxChanges = 256

func (t *Tracker) change(c Change) {
	if c.Kind == Crashed && len(t.news) < maxNews {
		t.news = append(t.news, c)
	}
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// Merge adds the reports of another daemon, and reports whether a crash or an answer is news.
func (t *Tracker) Merge(crashes []daisygap.CrashReport, answers []daisygap.AnswerReport, now daisygap.Millis) bool {
	news := false
	for _, c := range crashes {
		// An older report could come back from a daemon that forgets it later.
		if c.Age < 0 || c.Age > maxReportAge || c.Sent > c.Broken || c.Host == t.Host {
			continue
		}
		broken := now - c.Age
		known := t.processes.broken(c.Process, c.Fingerprint, broken, now)
		if c.Ended && !known && c.Age < confirmWindow {
			t.End(c.Process, Reported, now)
		}
		c.Ended = c.Ended || known
		if t.add(report{CrashReport: c, sent: broken - (c.Broken - c.Sent), broken: broken}, now) {
			news = true
		}
	}
	for _, a := range answers {
		if r := t.find(a.Fingerprint, now); r != nil && now-a.SentAge > r.answered+transitTime {
			t.Answer(a.Fingerprint, now-a.SentAge, now)
		}
	}
	return news
}

// TakeNews returns the new reports on crashes that haven't been returned before: those of this daemon, or also those of others, which
// this one forwards.
func (t *Tracker) TakeNews(forward bool, now daisygap.Millis) []daisygap.CrashReport {
	var list []daisygap.CrashReport
	for _, c := range t.news {
		if forward || c.Host == t.Host {
			if r := t.find(c.Fingerprint, now); r != nil {
				list = append(list, r.shared(c.Process, now)...)
			}
		}
	}
	t.news = nil
	return list
}

// Reports returns the reports on blocked requests and the changes of the last reportPeriod that haven't been sent often, or everything if
// all is set.
func (t *Tracker) Reports(all bool, now daisygap.Millis) ([]daisygap.CrashReport, []daisygap.AnswerReport) {
	var crashes []daisygap.CrashReport
	var answers []daisygap.AnswerReport
	collect := func(l *list.List, whole bool, limit int) {
		if all {
			limit = maxShared
		}
		limit += len(crashes) + len(answers)
		for e := l.Front(); e != nil && len(crashes)+len(answers) < limit; e = e.Next() {
			r := e.Value.(*record)
			if !whole && now-r.changed >= reportPeriod {
				return
			}
			if !whole && r.sends >= maxSends {
				continue
			}
			r.sends++
			if r.answered != never && (whole || now-r.answerChanged < reportPeriod) {
				answers = append(answers, daisygap.AnswerReport{Fingerprint: r.fingerprint, SentAge: now - r.answered})
			}
			crashes = append(crashes, r.shared(daisygap.Process{}, now)...)
		}
	}
	collect(&t.blocked, true, maxBlocked)
	collect(&t.suspects, all, maxRecent)
	return crashes, answers
}
