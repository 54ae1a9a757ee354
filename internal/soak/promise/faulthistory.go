package promise

import (
	"slices"
	"sync"
	"time"
)

// AllDaemons is the scope of faults that affect all daemons, such as those of the store.
const AllDaemons = ""

// recoveryWindow is how long after the end of a fault the time limits are not checked for the affected daemon.
const recoveryWindow = 4 * time.Second

// FaultHistory records when faults were injected into which daemons and servers. It is safe for concurrent use.
type FaultHistory struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

type faultInterval struct {
	// scope is the host name of a daemon, the ID of a server, or AllDaemons.
	scope string
	// planned marks the actions of an operator, such as a graceful stop.
	planned bool
	from    time.Time
	// until is zero while the fault lasts.
	until time.Time
}

// Begin records the start of a fault of a daemon (its host name), a server (its ID) or AllDaemons. The returned
// function records its end.
func (h *FaultHistory) Begin(scope string) (end func()) {
	return h.begin(scope, false)
}

// BeginPlanned records the start of planned maintenance of a daemon. The returned function records its end.
func (h *FaultHistory) BeginPlanned(scope string) (end func()) {
	return h.begin(scope, true)
}

func (h *FaultHistory) begin(scope string, planned bool) func() {
	i := &faultInterval{scope: scope, planned: planned, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.intervals = append(h.intervals, i)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		i.until = time.Now()
	}
}

// FaultFree reports whether none of the scopes had a fault or planned maintenance, and the store had no fault, between
// the two times and in the recovery window before them.
func (h *FaultHistory) FaultFree(from, until time.Time, scopes ...string) bool {
	return h.noOverlap(from, until, func(i *faultInterval) bool { return i.scope == AllDaemons || slices.Contains(scopes, i.scope) })
}

// DaemonFaultFree is like FaultFree for a single scope, but ignores faults of the store and planned maintenance.
func (h *FaultHistory) DaemonFaultFree(from, until time.Time, scope string) bool {
	return h.noOverlap(from, until, func(i *faultInterval) bool { return i.scope == scope && !i.planned })
}

// noOverlap reports whether no matching interval overlaps the time span, which is extended by the recovery window.
func (h *FaultHistory) noOverlap(from, until time.Time, matches func(*faultInterval) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-recoveryWindow)
	for _, i := range h.intervals {
		if matches(i) && i.from.Before(until) && (i.until.IsZero() || i.until.After(from)) {
			return false
		}
	}
	return true
}
