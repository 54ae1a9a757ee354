package retry

import "github.com/daisygap/daisygap"

// SharedBudget is one daemon's part of a retry budget that covers all daemons. It is not safe for concurrent use.
type SharedBudget struct {
	// Ratio is the number of retries per first attempt allowed over all daemons. Slack is the number of retries that they may
	// send in addition in each Window.
	Ratio  float64
	Slack  float64
	Window daisygap.Millis

	// credit starts at 0, because daemons that start at the same time don't know of each other yet and would
	// each take too large a part.
	credit     float64
	lastRefill daisygap.Millis
}

// safetyFactor is the fraction of the budget that is used, because daemons behind a network partition count too few others.
const safetyFactor = 0.6

// burstFraction is the fraction of a window's slack that can be saved up for a burst.
const burstFraction = 0.4

// Deposit adds the credit for one first attempt. daemons is the number of daemons that the budget is divided among.
func (s *SharedBudget) Deposit(daemons int, now daisygap.Millis) {
	s.refill(daemons, now)
	s.credit += safetyFactor * s.Ratio
}

// TryWithdraw takes the credit for one retry and reports whether there was enough.
func (s *SharedBudget) TryWithdraw(daemons int, now daisygap.Millis) bool {
	s.refill(daemons, now)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// refill adds this daemon's share of the slack for the time since the last refill.
func (s *SharedBudget) refill(daemons int, now daisygap.Millis) {
	if s.Window <= 0 {
		return
	}
	share := safetyFactor * s.Slack / float64(max(daemons, 1))
	limit := max(1, burstFraction*share)
	if s.lastRefill > 0 {
		s.credit += share * (1 - burstFraction) * float64(now-s.lastRefill) / float64(s.Window)
	}
	s.credit = min(s.credit, limit)
	s.lastRefill = now
}
