package allowance

import (
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

// urgentRelayed is the number of admitted requests of a customer since the last report from which on a relay's next report to its
// coordinator is urgent.
const urgentRelayed = 4

// Relay sums the reports of the daemons of a group, and passes the limits of all slots on to them. It is safe for concurrent use.
type Relay struct {
	// Name is the name of the daemon.
	Name string

	mu      sync.Mutex
	daemons int
	// groups holds a group by its number of slots. While the set of daemons changes, their numbers differ for a moment.
	groups map[int]*group
}

// SlotKey names one of a number of slots.
type SlotKey struct{ Slot, Slots int }

// group holds the daemons that report to a relay with one number of slots, and their reports.
type group struct {
	heard map[string]daisygap.Millis
	slots []relaySlot
	board board
}

// relaySlot holds the reports and the limits of one slot.
type relaySlot struct {
	link    link
	waiting map[uint64]daisygap.AllowanceUse
	again   []daisygap.AllowanceUse
	// limited holds the customers that the coordinator limits.
	limited map[uint64]bool
	// ending holds the limits that the latest full list of the coordinator lacks, and until when they stay in force.
	ending map[uint64]daisygap.Millis
}

// SetDaemons sets the number of known daemons, including this one and those that can't be reached.
func (r *Relay) SetDaemons(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = max(n, 1)
}

// Add counts the report of a daemon.
func (r *Relay) Add(report daisygap.AllowanceReport, now daisygap.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !IsValid(report) {
		return
	}
	g := r.groups[report.Slots]
	if g == nil {
		if r.groups == nil {
			r.groups = make(map[int]*group)
		}
		g = newGroup(report.Slots, now)
		r.groups[report.Slots] = g
	}
	g.heard[report.From] = now
	for _, u := range report.Uses {
		s := &g.slots[u.Customer%uint64(len(g.slots))]
		sum := s.waiting[u.Customer]
		sum.Customer, sum.Admitted, sum.Refused = u.Customer, sum.Admitted+u.Admitted, sum.Refused+u.Refused
		s.waiting[u.Customer] = sum
		if sum.Admitted >= urgentRelayed {
			s.link.urgent = true
		}
	}
}

func newGroup(slots int, now daisygap.Millis) *group {
	g := &group{heard: make(map[string]daisygap.Millis), slots: make([]relaySlot, slots)}
	for i := range g.slots {
		link := newLink(now)
		// Daemons that come from a relay that failed may be in a flood.
		link.unknown = true
		g.slots[i] = relaySlot{link: link, waiting: make(map[uint64]daisygap.AllowanceUse), limited: make(map[uint64]bool), ending: make(map[uint64]daisygap.Millis)}
	}
	return g
}

// countHeard returns the number of daemons of a group that reported lately.
func (r *Relay) countHeard(g *group, now daisygap.Millis) int {
	for name, at := range g.heard {
		if now-at > heardPeriod(r.daemons) {
			delete(g.heard, name)
		}
	}
	return len(g.heard)
}

// Reply returns the limits that changed since a daemon's last report.
func (r *Relay) Reply(report daisygap.AllowanceReport, now daisygap.Millis) daisygap.AllowanceReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[report.Slots]
	if g == nil {
		return daisygap.AllowanceReply{Full: true}
	}
	reply := g.board.changes(report.Seen, now)
	for i := range g.slots {
		switch {
		case g.slots[i].link.isSilent(now):
			reply.Silent = append(reply.Silent, i)
		case g.slots[i].link.isLate(now):
			reply.Late = append(reply.Late, i)
		}
	}
	return reply
}

// Due returns the slots whose coordinators are to get a report. Without reports of daemons there are none.
func (r *Relay) Due(now daisygap.Millis) []SlotKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []SlotKey
	for slots, g := range r.groups {
		if r.countHeard(g, now) == 0 {
			delete(r.groups, slots)
			continue
		}
		for i := range g.slots {
			s := &g.slots[i]
			interval := relayInterval(r.daemons)
			if len(s.waiting) == 0 && len(s.limited) == 0 {
				interval = max(interval, minReportInterval)
			}
			if s.link.isDue(interval, now) {
				due = append(due, SlotKey{i, slots})
			}
		}
	}
	return due
}

// Report returns the report to the coordinator of a slot, unless one is under way. It is to be ended with Answered or Failed.
func (r *Relay) Report(k SlotKey, now daisygap.Millis) (report daisygap.AllowanceReport, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[k.Slots]
	if g == nil {
		return report, false
	}
	heard, s := r.countHeard(g, now), &g.slots[k.Slot]
	if heard == 0 || s.link.pending {
		return report, false
	}
	s.link.begin(now)
	for _, u := range s.waiting {
		s.link.fresh = append(s.link.fresh, u)
	}
	report = daisygap.AllowanceReport{
		From: r.Name, Slots: k.Slots, Heard: heard, Slot: k.Slot, Seen: s.link.version, Uses: slices.Concat(s.link.fresh, s.again),
	}
	s.again = nil
	clear(s.waiting)
	return report, true
}

// Answered applies the reply of a coordinator.
func (r *Relay) Answered(report daisygap.AllowanceReport, reply daisygap.AllowanceReply, now daisygap.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[report.Slots]
	if g == nil {
		return
	}
	s := &g.slots[report.Slot]
	s.link.answered(reply.Version)
	if reply.Full {
		s.endUnlisted(reply.Limits, now)
	}
	for _, limit := range reply.Limits {
		delete(s.ending, limit.Customer)
		if limit.Fraction < 1 {
			s.limited[limit.Customer] = true
		} else {
			delete(s.limited, limit.Customer)
		}
		g.board.set(limit, now)
	}
	g.endLimits(s, now)
}

// keepLimits is how long the limits of another coordinator stay in force. A new one gets the demand with the first reports.
const keepLimits = daisygap.Millis(1_000)

// endUnlisted lets the limits of a slot that a full list doesn't contain end after keepLimits.
func (s *relaySlot) endUnlisted(list []daisygap.AllowanceLimit, now daisygap.Millis) {
	listed := make(map[uint64]bool, len(list))
	for _, limit := range list {
		listed[limit.Customer] = true
	}
	for id := range s.limited {
		if _, ends := s.ending[id]; !ends && !listed[id] {
			s.ending[id] = now + keepLimits
		}
	}
}

// endLimits ends the limits whose time is over.
func (g *group) endLimits(s *relaySlot, now daisygap.Millis) {
	for id, at := range s.ending {
		if now >= at {
			delete(s.ending, id)
			delete(s.limited, id)
			g.board.set(daisygap.AllowanceLimit{Customer: id, Fraction: 1}, now)
		}
	}
}

// Failed ends a report that got no reply. The next one repeats what it contained.
func (r *Relay) Failed(report daisygap.AllowanceReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[report.Slots]; g != nil {
		g.slots[report.Slot].again = g.slots[report.Slot].link.failed()
	}
}
