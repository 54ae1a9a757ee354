package admission

import "github.com/daisygap/daisygap"

const (
	// usableFraction is the fraction of the slot time left by more urgent requests that less urgent ones may use while more
	// urgent requests arrive.
	usableFraction = 0.96
	// maxBudgetFactor limits the budget, and so the starts that are made up for after all slots were in use, in mean
	// service times.
	maxBudgetFactor = 2
	// activeWindow is how long after its last start a more urgent kind counts as active, in milliseconds.
	activeWindow = daisygap.Millis(2_000)
)

// startPacer spaces the starts of less urgent requests while more of them are queued than slots are free. Requests that
// start together also end together, and a more urgent request would find no free slot until then.
type startPacer struct {
	// budget is the slot time in milliseconds that less urgent requests may use.
	budget     float64
	lastUpdate daisygap.Millis
	// initialized reports whether the budget has its first value.
	initialized bool
}

// advance adds the slot time since the last update to the budget.
func (p *startPacer) advance(slots int, service float64, now daisygap.Millis) {
	if !p.initialized {
		p.initialized, p.lastUpdate, p.budget = true, now, service
	}
	p.budget = min(p.budget+float64(now-p.lastUpdate)*float64(slots)*usableFraction, maxBudgetFactor*service)
	p.lastUpdate = now
}

// charge takes the slot time of a started request from the budget. The lower bound limits the delay that urgent requests
// cause to about one service time.
func (p *startPacer) charge(slots int, service float64, urgent bool) {
	if urgent {
		service *= usableFraction
	}
	p.budget = max(p.budget-service, -float64(slots)*service)
}

// delay returns the time until the next less urgent request may start.
func (p *startPacer) delay(slots int) daisygap.Millis {
	if p.budget > 0 || slots <= 0 {
		return 0
	}
	return daisygap.Millis(-p.budget/(float64(slots)*usableFraction)) + 1
}

// mustDefer reports whether a kind must leave a free slot to more urgent requests that may arrive.
func (q *Queue) mustDefer(k *kindQueue, now daisygap.Millis) bool {
	if k.meanService == 0 || !q.moreUrgentActive(k, now) || q.Waiting() <= q.limit-q.Running() {
		return false
	}
	q.pacer.advance(q.limit, k.meanService, now)
	return q.pacer.budget <= 0
}

// moreUrgentActive reports whether a request of a more urgent kind started within activeWindow.
func (q *Queue) moreUrgentActive(k *kindQueue, now daisygap.Millis) bool {
	for _, o := range q.kinds {
		if o.rule.Rank < k.rule.Rank && o.lastStart > 0 && now-o.lastStart < activeWindow {
			return true
		}
	}
	return false
}
