package poison

import (
	"cmp"
	"math"
	"slices"

	"github.com/daisygap/daisygap"
)

// report is a crash report with its times on this daemon's clock.
type report struct {
	daisygap.CrashReport
	sent   daisygap.Millis
	broken daisygap.Millis
}

// follows reports whether the request was sent after the connection of another one broke. Reports of one daemon are compared by
// its own clock. A request that ran alone was sent by a daemon that knew of an earlier crash.
func (x report) follows(earlier report) bool {
	switch {
	case x.Host == earlier.Host:
		return x.Sent >= earlier.Broken
	case x.Alone && !earlier.Alone:
		return true
	}
	return x.sent >= earlier.broken+transitTime
}

// isConfirmedBy reports whether evidence that the process ended, which is found now, shows that the request may have crashed it.
func (x report) isConfirmedBy(e Evidence, now daisygap.Millis) bool {
	if x.Survived {
		return (e == Replaced || e == Misdirected) && now-x.broken < replaceWindow
	}
	return now-x.broken < confirmWindow
}

func endedOnly(x *report) bool { return x.Ended }

// weight returns the weight of the longest series of counted reports after the last answer of which each follows the one before.
func (r *record) weight(counts func(*report) bool) int {
	var last *report
	weight := 0
	for i := range r.reports {
		x := &r.reports[i]
		if x.broken <= r.answered || !counts(x) || last != nil && !x.follows(*last) {
			continue
		}
		if last != nil && x.Alone {
			weight += aloneWeight
		} else {
			weight++
		}
		last = x
	}
	return weight
}

// lastCrash returns the time of the last crash, or never.
func (r *record) lastCrash() daisygap.Millis {
	last := never
	for _, x := range r.reports {
		if x.Ended {
			last = max(last, x.broken)
		}
	}
	return last
}

// shared returns the reports for other daemons that still count, on one process or, if its ID is empty, on all.
func (r *record) shared(p daisygap.Process, now daisygap.Millis) []daisygap.CrashReport {
	var list []daisygap.CrashReport
	for _, x := range r.reports {
		if x.broken > r.answered && (p.ID == "" || x.Process == p) {
			c := x.CrashReport
			c.Age = now - x.broken
			list = append(list, c)
		}
	}
	return list
}

// insert adds a report in the order of the broken connections. If there are too many, it drops one that counts least.
func (r *record) insert(x report, now daisygap.Millis) {
	r.forget(now)
	if len(r.reports) >= maxReports {
		r.reports = slices.Delete(r.reports, r.leastUseful(), r.leastUseful()+1)
	}
	r.reports = append(r.reports, x)
	r.align(x.Host)
	slices.SortStableFunc(r.reports, func(a, b report) int { return cmp.Compare(a.broken, b.broken) })
}

// forget drops the reports that no longer count.
func (r *record) forget(now daisygap.Millis) {
	r.reports = slices.DeleteFunc(r.reports, func(x report) bool {
		return x.broken <= r.answered || !x.Ended && now-x.broken >= confirmWindow
	})
}

// align converts the times of a daemon's reports with the same difference between the clocks, so that they keep their order. The report
// that was the shortest time on the way gives the best estimate of it.
func (r *record) align(host string) {
	offset := daisygap.Millis(math.MaxInt64)
	for _, x := range r.reports {
		if x.Host == host {
			offset = min(offset, x.broken-x.Broken)
		}
	}
	for i := range r.reports {
		if x := &r.reports[i]; x.Host == host {
			x.sent, x.broken = x.Sent+offset, x.Broken+offset
		}
	}
}

// leastUseful returns the index of a report that adds nothing to the weight, or else 0.
func (r *record) leastUseful() int {
	for i := range r.reports {
		if i > 0 && !r.reports[i].follows(r.reports[i-1]) {
			return i
		}
	}
	return 0
}
