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
func (c *Checker) Counts(from time.Time) Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts Count
	for _, r := range c.sent {
		if r.request.Sent.Before(from) || r.result == nil {
			continue
		}
		counts.Sent++
		switch {
		case !r.request.CancelAt.IsZero():
			counts.Canceled++
		case !r.result.Complete:
			counts.Truncated++
		case r.result.Status < 300:
			counts.Served++
		case meansNotExecuted(r.result.Status):
			counts.Refused++
		default:
			counts.Failed++
		}
	}
	return counts
}

// minServedFraction is the part of the requests that must be served again once the recovery time is over.
const minServedFraction = 0.25

// Close checks the sums of a run with what each server ran; the requests from a time on must be served again.
func (c *Checker) Close(runs map[string][]instance.Run, recoveredBy time.Time) {
	counts := c.Counts(recoveredBy)
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(counts.Served) < minServedFraction*float64(counts.Sent) {
		c.addViolation("RECOVER", "only %d of %d requests were served after the recovery time", counts.Served, counts.Sent)
	}
	c.checkRetryBudgets()
	c.checkTimeouts()
	c.checkCanceled(runs)
}

// checkRetryBudgets bounds the repeats at each pool in every window.
func (c *Checker) checkRetryBudgets() {
	sent := make(map[string][]time.Time)
	for _, r := range c.sent {
		sent[r.request.Route.Pool] = append(sent[r.request.Route.Pool], r.request.Sent)
	}
	for pool, arrivals := range c.arrivals {
		for i, a := range arrivals {
			if !a.retry {
				continue
			}
			retries := 0
			for _, b := range arrivals[i:] {
				if b.retry && b.at.Sub(a.at) < budgetWindow {
					retries++
				}
			}
			requests := 0
			for _, offset := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				requests = max(requests, countInWindow(sent[pool], a.at.Add(-offset)))
			}
			if limit := c.RetryRatio*float64(requests) + c.RetrySlack; float64(retries) > limit {
				c.addViolation("BUDGET", "%s got %d repeats in ten seconds, at most %.0f", pool, retries, limit)
				break
			}
		}
	}
}

// countInWindow counts the times in the window that begins at one.
func countInWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}

// checkTimeouts bounds how many requests were held past their route's timeout.
func (c *Checker) checkTimeouts() {
	const minSample = 8
	timedOut, late := 0, 0
	for _, r := range c.sent {
		if r.result == nil || !r.request.CancelAt.IsZero() || !c.Faults.FaultFree(r.request.Sent, r.result.Ended, r.request.Daemon) {
			continue
		}
		elapsed := r.result.Ended.Sub(r.request.Sent)
		if elapsed >= r.request.Route.Timeout {
			timedOut++
		}
		if elapsed > r.request.Route.Timeout+timeoutBound {
			late++
		}
	}
	if timedOut >= minSample && 4*late > timedOut {
		c.addViolation("CONFIG", "%d of %d requests that lasted longer than their route's timeout were held half a second past it", late, timedOut)
	}
}

// checkCanceled bounds the work that went on after the caller had left.
func (c *Checker) checkCanceled(runs map[string][]instance.Run) {
	const minSample = 8
	canceled, late, begunLate := 0, 0, 0
	for server, serverRuns := range runs {
		for _, run := range serverRuns {
			r := c.requests[run.ID]
			if r == nil || r.request.CancelAt.IsZero() || !r.request.Route.Idempotent {
				continue
			}
			deadline := r.request.CancelAt.Add(cancelBound)
			if !c.Faults.FaultFree(r.request.Sent, deadline, r.request.Daemon, server) {
				continue
			}
			if run.At.After(deadline) {
				begunLate++
			}
			canceled++
			if run.Ended.IsZero() || run.Ended.After(deadline) {
				late++
			}
		}
	}
	if begunLate > maxAfterCancel {
		c.addViolation("GONE", "%d requests reached a server half a second after their callers had left", begunLate)
	}
	if canceled >= minSample && 4*late > canceled {
		c.addViolation("GONE", "servers worked on at %d of %d requests half a second after their callers had left", late, canceled)
	}
}
