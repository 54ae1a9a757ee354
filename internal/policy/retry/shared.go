package retry

import "github.com/daisygap/daisygap"

// SharedBudget is one daemon's part of a retry budget that all daemons draw on; it is not safe for concurrent use.
type SharedBudget struct {
	// Ratio is the part of fresh requests that all daemons may send again, and Slack what they may send beside it in Window.
	Ratio  float64
	Slack  float64
	Window daisygap.Millis

	// credit starts at nothing: daemons that start together don't know each other yet.
	credit     float64
	lastRefill daisygap.Millis
}

// safetyFactor is the part of the budget that is used; daemons that are cut off count too few others.
const safetyFactor = 0.6

// burstFraction is the part of a window's slack that a quiet time can save up.
const burstFraction = 0.4

// Deposit counts a first attempt among a number of daemons.
func (s *SharedBudget) Deposit(daemons int, now daisygap.Millis) {
	s.refill(daemons, now)
	s.credit += safetyFactor * s.Ratio
}

// TryWithdraw spends one repeat, or reports that the budget is used up.
func (s *SharedBudget) TryWithdraw(daemons int, now daisygap.Millis) bool {
	s.refill(daemons, now)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// refill adds this daemon's part of the slack for the time that has passed.
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
