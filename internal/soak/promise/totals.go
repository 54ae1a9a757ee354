package promise

import (
	"net/http"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
)

// Count is the number of requests by outcome. Refused requests were certainly not executed.
type Count struct {
	Sent      int `json:"asked"`
	Served    int `json:"served"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Truncated int `json:"cut"`
	Canceled  int `json:"left"`
}

// Counts counts the finished requests that were sent at or after a time.
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

// minServedFraction is the fraction of the requests that must be served after the recovery period.
const minServedFraction = 0.25

// Close makes the checks that need the whole run. The runs are the requests that each server executed, by server ID.
// Requests that are sent at or after recoveredBy must be served again.
func (c *Checker) Close(runs map[string][]instance.Run, recoveredBy time.Time) {
	counts := c.Counts(recoveredBy)
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(counts.Served) < minServedFraction*float64(counts.Sent) {
		c.addViolation("RECOVER", "only %d of %d requests were served after the recovery period", counts.Served, counts.Sent)
	}
	c.checkRetryBudgets()
	c.checkTimeouts()
	c.checkAllowances()
	c.checkCanceled(runs)
}

// checkRetryBudgets limits the retries that each pool receives in any window. The limit depends on the requests sent in
// a window of the same length, which begins with the first retry, half a window earlier or a whole window earlier. The one
// with the most requests counts.
func (c *Checker) checkRetryBudgets() {
	sent := make(map[string][]time.Time)
	for _, r := range c.sent {
		// Requests that are refused before a server is chosen must not raise the budget.
		if r.result != nil && (r.result.Status == http.StatusUnauthorized || r.result.Status == http.StatusTooManyRequests) {
			continue
		}
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
				c.addViolation("BUDGET", "pool %s received %d retries in ten seconds, at most %.0f allowed", pool, retries, limit)
				break
			}
		}
	}
}

// countInWindow counts the times in the budget window that begins at from.
func countInWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}

// checkTimeouts checks that the daemons enforce the timeouts of the routes. Of the requests that lasted at least as long
// as their timeout, at most a quarter may exceed it by more than timeoutBound. Requests during a fault don't count. The
// rule needs at least minSample requests.
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
		c.addViolation("CONFIG", "%d of %d requests that reached the timeout of their route exceeded it by more than half a second", late, timedOut)
	}
}

// checkCanceled checks that cancellation by the caller reaches the servers. At most maxAfterCancel requests may reach a
// server later than cancelBound after it, and servers may then still work on at most a quarter of the requests. Requests
// during a fault and non-idempotent ones don't count. The second rule needs at least minSample requests.
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
		c.addViolation("GONE", "%d requests reached a server more than half a second after their callers canceled them", begunLate)
	}
	if canceled >= minSample && 4*late > canceled {
		c.addViolation("GONE", "servers still worked on %d of %d requests half a second after their callers canceled them", late, canceled)
	}
}
