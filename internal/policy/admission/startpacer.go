package admission

import "github.com/daisygap/daisygap"

const (
	// Part of the slots' time left over by more urgent work that less urgent work may fill while the other comes in.
	usableFraction = 0.96
	// Starts that may be made up for after the slots were full, in service times.
	maxBudgetFactor = 2
	// How long after its last start a more urgent kind still counts as coming in, in milliseconds.
	activeWindow = daisygap.Millis(2_000)
)

// startPacer spaces the starts of less urgent work that waits for more slots than are free: started together it would also
// end together, and more urgent work would find no slot until then.
type startPacer struct {
	// budget is the slot time in milliseconds that less urgent work may begin to use.
	budget     float64
	lastUpdate daisygap.Millis
	// initialized tells whether room was ever counted.
	initialized bool
}

// advance adds the slot time that passed.
func (p *startPacer) advance(slots int, service float64, now daisygap.Millis) {
	if !p.initialized {
		p.initialized, p.lastUpdate, p.budget = true, now, service
	}
	p.budget = min(p.budget+float64(now-p.lastUpdate)*float64(slots)*usableFraction, maxBudgetFactor*service)
	p.lastUpdate = now
}

// charge takes the slot time of a start; those of urgent work delay the others for one service time at most.
func (p *startPacer) charge(slots int, service float64, urgent bool) {
	if urgent {
		service *= usableFraction
	}
	p.budget = max(p.budget-service, -float64(slots)*service)
}

// delay returns the time until the next less urgent start.
func (p *startPacer) delay(slots int) daisygap.Millis {
	if p.budget > 0 || slots <= 0 {
		return 0
	}
	return daisygap.Millis(-p.budget/(float64(slots)*usableFraction)) + 1
}

// mustDefer tells whether a kind must leave a free slot to more urgent work that may come.
func (q *Queue) mustDefer(k *kindQueue, now daisygap.Millis) bool {
	if k.meanService == 0 || !q.moreUrgentActive(k, now) || q.Waiting() <= q.limit-q.Running() {
		return false
	}
	q.pacer.advance(q.limit, k.meanService, now)
	return q.pacer.budget <= 0
}

// moreUrgentActive tells whether a kind more urgent than the given one was started lately.
func (q *Queue) moreUrgentActive(k *kindQueue, now daisygap.Millis) bool {
	for _, o := range q.kinds {
		if o.rule.Rank < k.rule.Rank && o.lastStart > 0 && now-o.lastStart < activeWindow {
			return true
		}
	}
	return false
}
