package promise

import (
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
)

// Count sums what callers saw.
type Count struct {
	Sent      int `json:"asked"`
	Served    int `json:"served"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Truncated int `json:"cut"`
	Canceled  int `json:"left"`
}

// Counts sums the requests that were sent from a time on.
func (l *Checker) Counts(from time.Time) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Count
	for _, r := range l.order {
		if r.ask.Sent.Before(from) || r.result == nil {
			continue
		}
		c.Sent++
		switch {
		case !r.ask.CancelAt.IsZero():
			c.Canceled++
		case !r.result.Complete:
			c.Truncated++
		case r.result.Status < 300:
			c.Served++
		case promisesNotRun(r.result.Status):
			c.Refused++
		default:
			c.Failed++
		}
	}
	return c
}

// leastServed is the part of the requests that must be served again once the recovery time is over.
const leastServed = 0.25

// Close checks the sums of a run with what each server ran; the requests from a time on must be served again.
func (l *Checker) Close(runs map[string][]instance.Run, recovered time.Time) {
	c := l.Counts(recovered)
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(c.Served) < leastServed*float64(c.Sent) {
		l.fail("RECOVER", "only %d of %d requests were served after the recovery time", c.Served, c.Sent)
	}
	l.checkBudgets()
	l.checkTimeouts()
	l.checkGone(runs)
}

// checkBudgets bounds the repeats at each pool in every window.
func (l *Checker) checkBudgets() {
	sent := make(map[string][]time.Time)
	for _, r := range l.order {
		sent[r.ask.Route.Pool] = append(sent[r.ask.Route.Pool], r.ask.Sent)
	}
	for pool, list := range l.arrivals {
		for i, a := range list {
			if !a.repeat {
				continue
			}
			repeats := 0
			for _, b := range list[i:] {
				if b.repeat && b.at.Sub(a.at) < budgetWindow {
					repeats++
				}
			}
			fresh := 0
			for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				fresh = max(fresh, countIn(sent[pool], a.at.Add(-back)))
			}
			if most := l.RetryRatio*float64(fresh) + l.RetrySlack; float64(repeats) > most {
				l.fail("BUDGET", "%s got %d repeats in ten seconds, at most %.0f", pool, repeats, most)
				break
			}
		}
	}
}

// countIn counts the times in the window that begins at one.
func countIn(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}

// checkTimeouts bounds how many requests were held past their route's timeout.
func (l *Checker) checkTimeouts() {
	const sample = 8
	lasting, late := 0, 0
	for _, r := range l.order {
		if r.result == nil || !r.ask.CancelAt.IsZero() || !l.Faults.FaultFree(r.ask.Sent, r.result.Ended, r.ask.Daemon) {
			continue
		}
		took := r.result.Ended.Sub(r.ask.Sent)
		if took >= r.ask.Route.Timeout {
			lasting++
		}
		if took > r.ask.Route.Timeout+timeoutBound {
			late++
		}
	}
	if lasting >= sample && 4*late > lasting {
		l.fail("CONFIG", "%d of %d requests that lasted longer than their route's timeout were held half a second past it", late, lasting)
	}
}

// checkGone bounds the work that went on after the caller had left.
func (l *Checker) checkGone(runs map[string][]instance.Run) {
	const sample = 8
	lasting, late, after := 0, 0, 0
	for server, list := range runs {
		for _, run := range list {
			r := l.requests[run.ID]
			if r == nil || r.ask.CancelAt.IsZero() || !r.ask.Route.Repeat {
				continue
			}
			end := r.ask.CancelAt.Add(leaveBound)
			if !l.Faults.FaultFree(r.ask.Sent, end, r.ask.Daemon, server) {
				continue
			}
			if run.At.After(end) {
				after++
			}
			lasting++
			if run.Ended.IsZero() || run.Ended.After(end) {
				late++
			}
		}
	}
	if after > mostGone {
		l.fail("GONE", "%d requests reached a server half a second after their callers had left", after)
	}
	if lasting >= sample && 4*late > lasting {
		l.fail("GONE", "servers worked on at %d of %d requests half a second after their callers had left", late, lasting)
	}
}
