package poison

import (
	"container/list"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// blockWeight is the weight of the crashes in a row from which on a request is blocked, and aloneWeight that of a further crash
	// of an upstream that ran no other suspected request. Other crashes have weight 1.
	blockWeight = 3
	aloneWeight = 2
	// firstBlock is how long the first block of a request lasts. Each further crash doubles the time, up to maxDoublings times.
	firstBlock   = daisygap.Millis(60_000)
	maxDoublings = 5
	// blockSpread is the fraction of a block's duration over which the daemons' first tries after it are spread.
	blockSpread = 0.25
	// suspectRetention is how long reports on a request count after the last one, and blockedRetention the same for a request that
	// has been blocked. It exceeds the longest block.
	suspectRetention = daisygap.Millis(600_000)
	blockedRetention = daisygap.Millis(3_600_000)
	// confirmWindow is the longest time between the end of a request's connection and the evidence that the upstream's process ended.
	// It covers the expiry of the process's entry in the store.
	confirmWindow = daisygap.Millis(15_000)
	// replaceWindow is the same if the process, or another one in its place, accepted a connection meanwhile. It covers the time until the
	// store shows the new process.
	replaceWindow = daisygap.Millis(3_000)
	// trialTimeout ends a trial whose outcome was never recorded.
	trialTimeout = daisygap.Millis(30_000)
	// reportPeriod is how long a report is forwarded to other daemons after it became known or changed.
	reportPeriod = daisygap.Millis(5_000)
	// transitTime bounds the error of the times in another daemon's reports, which arrive late by the time on the way.
	transitTime = daisygap.Millis(50)
	// maxRecords bounds the requests that a tracker holds, and maxReports the reports on one of them.
	maxRecords = 4096
	maxReports = 8
)

// never is before every time on any daemon's clock. Reports from before the start of this daemon have negative times.
const never = daisygap.Millis(math.MinInt64 / 2)

// Admission is whether a request may be sent to an upstream.
type Admission int

// The admissions. A request that is admitted alone may be sent to one upstream, and no copy of it until Release.
const (
	Free Admission = iota
	Alone
	Blocked
)

// Tracker finds requests that crash the upstreams that run them, from the reports of all daemons on connections that broke. A report
// counts as a crash once there is evidence that the upstream's process ended. Crashes count only if they happened one after the other,
// so that one event that ends many upstreams counts once, and only if no upstream answered the request since. It is not safe for
// concurrent use.
type Tracker struct {
	// Host is the name of this daemon.
	Host string

	records map[uint64]*list.Element
	// suspects and blocked hold the records of requests that have never been and that have been blocked, the latest changed first.
	suspects  list.List
	blocked   list.List
	processes processes
	changes   []Change
	// news holds the crashes that TakeNews hasn't returned.
	news []Change
}

// record holds the reports on one request.
type record struct {
	fingerprint uint64
	reports     []report
	// answered is when the copy was sent that an upstream answered, or never.
	answered daisygap.Millis
	// blocked is set if the request has been blocked and not been answered since, and until is the end of the latest block.
	blocked bool
	until   daisygap.Millis
	// trialSince is when the copy was admitted that runs alone, or 0.
	trialSince daisygap.Millis
	// last is when the last connection broke or the request was last blocked by another daemon.
	last daisygap.Millis
	// changed is the time of the latest change, and answerChanged that of the latest new answer.
	changed       daisygap.Millis
	answerChanged daisygap.Millis
	// sends is how often the latest change was sent to other daemons.
	sends int
}

// Len returns the number of requests on which the tracker holds reports.
func (t *Tracker) Len() int {
	return len(t.records)
}

// BlockedLen returns the number of requests that have been blocked and not been answered since.
func (t *Tracker) BlockedLen() int {
	return t.blocked.Len()
}

// Admit returns whether a request may be sent. After Alone, no copy is admitted until Release.
func (t *Tracker) Admit(fingerprint uint64, now daisygap.Millis) Admission {
	r := t.find(fingerprint, now)
	switch {
	case r == nil || !r.blocked:
		return Free
	case now < r.until, r.trialSince > 0 && now-r.trialSince < trialTimeout:
		return Blocked
	}
	r.trialSince = now
	return Alone
}

// Release ends the trial of a request that was admitted alone.
func (t *Tracker) Release(fingerprint uint64) {
	if e := t.records[fingerprint]; e != nil {
		e.Value.(*record).trialSince = 0
	}
}

// Blocked reports whether a request is blocked.
func (t *Tracker) Blocked(fingerprint uint64, now daisygap.Millis) bool {
	r := t.find(fingerprint, now)
	return r != nil && r.blocked && now < r.until
}

// Suspect reports whether a connection broke under the request, at a process that ended, and no upstream has answered it since.
func (t *Tracker) Suspect(fingerprint uint64, now daisygap.Millis) bool {
	r := t.find(fingerprint, now)
	return r != nil && (r.blocked || r.weight(endedOnly) > 0)
}

// Breaks returns the number of times in a row that a connection broke under the request, whether or not the process ended.
func (t *Tracker) Breaks(fingerprint uint64, now daisygap.Millis) int {
	r := t.find(fingerprint, now)
	if r == nil {
		return 0
	}
	return r.weight(func(x *report) bool { return x.Ended || !x.Survived && now-x.broken < confirmWindow })
}

// Break records that the connection of a request of this daemon broke. The times of the report are on this daemon's clock.
func (t *Tracker) Break(c daisygap.CrashReport, now daisygap.Millis) {
	c.Host = t.Host
	c.Ended = t.processes.broken(c.Process, c.Fingerprint, c.Broken, now) || c.Ended
	t.add(report{CrashReport: c, sent: c.Sent, broken: c.Broken}, now)
}

// Evidence is what shows that a process ended.
type Evidence string

// The kinds of evidence. Replaced and Misdirected show that another process has its place, and may come after a connection to it.
const (
	Refused     Evidence = "connection refused"
	Unreachable Evidence = "unreachable"
	Removed     Evidence = "entry removed"
	Reported    Evidence = "peer"
	Replaced    Evidence = "replaced"
	Misdirected Evidence = "another instance answers"
)

// End records evidence that a process ended, and confirms the reports on the requests that ran there.
func (t *Tracker) End(p daisygap.Process, source Evidence, now daisygap.Millis) {
	for _, fingerprint := range t.processes.end(p, source, now) {
		t.confirm(fingerprint, p, now)
	}
}

// Survive records that a process accepts connections, some time after this daemon's last connections to it broke.
func (t *Tracker) Survive(p daisygap.Process, now daisygap.Millis) {
	for _, fingerprint := range t.processes.requests(p) {
		r := t.find(fingerprint, now)
		if r == nil {
			continue
		}
		for i := range r.reports {
			if x := &r.reports[i]; x.Process == p && !x.Ended {
				x.Survived = true
				r.changed, r.sends = now, 0
			}
		}
	}
}

// FailDial records that no connection to a process could be opened for another reason than that nothing listens there. It is
// evidence of the process's end if several requests broke off there at the same moment.
func (t *Tracker) FailDial(p daisygap.Process, now daisygap.Millis) {
	if t.processes.brokeTogether(p) {
		t.End(p, Unreachable, now)
	}
}

// Answer records that an upstream answered a request that was sent at the given time. Reports from before no longer count.
func (t *Tracker) Answer(fingerprint uint64, sent, now daisygap.Millis) {
	r := t.find(fingerprint, now)
	if r == nil || sent <= r.answered {
		return
	}
	before, reports := r.weight(endedOnly), len(r.reports)
	r.answered = sent
	r.forget(now)
	after := r.weight(endedOnly)
	unblocked := r.blocked && (sent >= r.until || after < before && after < blockWeight)
	if !unblocked && len(r.reports) == reports {
		return
	}
	r.blocked, r.trialSince = r.blocked && !unblocked, 0
	r.answerChanged, r.changed, r.sends = now, now, 0
	t.place(r)
	if after < before {
		t.change(Change{Kind: Answered, Fingerprint: fingerprint, Weight: after})
	}
}

// Block blocks a request that another daemon reports as blocked, without its reports.
func (t *Tracker) Block(fingerprint uint64, now daisygap.Millis) {
	r := t.touch(fingerprint, now)
	r.blocked, r.until, r.last = true, max(r.until, now+firstBlock), now
	t.place(r)
}

func (t *Tracker) confirm(fingerprint uint64, p daisygap.Process, now daisygap.Millis) {
	r := t.find(fingerprint, now)
	if r == nil {
		return
	}
	for i := range r.reports {
		if x := &r.reports[i]; x.Process == p && !x.Ended && x.isConfirmedBy(t.processes.source(p), now) {
			x.Ended = true
			t.change(Change{Kind: Crashed, Fingerprint: fingerprint, Process: p, Host: x.Host, Evidence: t.processes.source(p)})
			t.update(r, now)
		}
	}
}

// add adds a report and returns whether it is news. A process ends once, so that of several reports on it only the last one before its
// end is held.
func (t *Tracker) add(x report, now daisygap.Millis) bool {
	r := t.touch(x.Fingerprint, now)
	if i := slices.IndexFunc(r.reports, func(old report) bool { return old.Process == x.Process }); i >= 0 {
		old := r.reports[i]
		if old.Ended || !x.Ended && !x.follows(old) && x.Survived == old.Survived {
			return false
		}
		r.reports = slices.Delete(r.reports, i, i+1)
	}
	r.insert(x, now)
	r.last = max(r.last, x.broken)
	kind := Suspected
	if x.Ended {
		kind = Crashed
	}
	t.change(Change{Kind: kind, Fingerprint: x.Fingerprint, Process: x.Process, Host: x.Host, Evidence: t.processes.source(x.Process)})
	t.update(r, now)
	return true
}

// update blocks a request if its crashes suffice, after its reports have changed.
func (t *Tracker) update(r *record, now daisygap.Millis) {
	r.changed, r.sends = now, 0
	last, weight := r.lastCrash(), r.weight(endedOnly)
	if weight >= blockWeight || r.blocked && weight > 0 && last > r.until {
		duration := firstBlock << min(maxDoublings, max(0, weight-blockWeight))
		until := last + duration + daisygap.Millis(t.spread(r.fingerprint)*blockSpread*float64(duration))
		if !r.blocked || until > r.until {
			r.blocked, r.until, r.trialSince = true, until, 0
			t.change(Change{Kind: NewlyBlocked, Fingerprint: r.fingerprint, Weight: weight, For: until - now})
		}
	}
	t.place(r)
}

// spread returns a number in [0, 1) that differs between the daemons.
func (t *Tracker) spread(fingerprint uint64) float64 {
	const buckets = 1 << 16
	return float64((xxhash.Sum64String(t.Host)^fingerprint)*0x9e3779b97f4a7c15>>48) / buckets
}

// find returns the record of a request, or nil. It drops one that is too old.
func (t *Tracker) find(fingerprint uint64, now daisygap.Millis) *record {
	e := t.records[fingerprint]
	if e == nil {
		return nil
	}
	r := e.Value.(*record)
	if age := now - max(r.last, r.changed); age > blockedRetention || age > suspectRetention && !r.blocked {
		t.drop(e)
		return nil
	}
	return r
}

// touch returns the record of a request, and adds one if there is none.
func (t *Tracker) touch(fingerprint uint64, now daisygap.Millis) *record {
	if r := t.find(fingerprint, now); r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[uint64]*list.Element)
	}
	if len(t.records) >= maxRecords {
		t.evict()
	}
	r := &record{fingerprint: fingerprint, answered: never, last: never, changed: now}
	t.records[fingerprint] = t.suspects.PushFront(r)
	return r
}

// evict drops the record that changed longest ago. A blocked request is dropped only if all are blocked.
func (t *Tracker) evict() {
	if e := t.suspects.Back(); e != nil {
		t.drop(e)
		return
	}
	t.drop(t.blocked.Back())
}

func (t *Tracker) drop(e *list.Element) {
	r := e.Value.(*record)
	delete(t.records, r.fingerprint)
	// Remove ignores an element of the other list.
	t.suspects.Remove(e)
	t.blocked.Remove(e)
}

// place moves a record to the front of the list that it belongs to.
func (t *Tracker) place(r *record) {
	e := t.records[r.fingerprint]
	t.suspects.Remove(e)
	t.blocked.Remove(e)
	if r.blocked {
		t.records[r.fingerprint] = t.blocked.PushFront(r)
	} else {
		t.records[r.fingerprint] = t.suspects.PushFront(r)
	}
}
