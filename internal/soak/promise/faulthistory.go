package promise

import (
	"slices"
	"sync"
	"time"
)

// AllDaemons is the scope of trouble that reaches all daemons, such as that of the store.
const AllDaemons = ""

// recoveryWindow is how long after trouble a daemon isn't held to bounds of time.
const recoveryWindow = 4 * time.Second

// FaultHistory remembers when which daemon had trouble from outside; it is safe for concurrent use.
type FaultHistory struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

type faultInterval struct {
	scope string
	// planned trouble is what an operator does, such as a stop.
	planned bool
	from    time.Time
	// until is zero while the trouble lasts.
	until time.Time
}

// Begin notes trouble of a daemon, a server or Everyone, and returns what ends it.
func (h *FaultHistory) Begin(scope string) (end func()) {
	return h.begin(scope, false)
}

// BeginPlanned notes planned work on a daemon, and returns what ends it.
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

// FaultFree tells whether one of these was free of all trouble, the store's included, from a contact window before a time until another.
func (h *FaultHistory) FaultFree(from, until time.Time, scopes ...string) bool {
	return h.noOverlap(from, until, func(i *faultInterval) bool { return i.scope == AllDaemons || slices.Contains(scopes, i.scope) })
}

// DaemonFaultFree tells the same of a daemon alone, apart from the store's trouble and from planned work.
func (h *FaultHistory) DaemonFaultFree(from, until time.Time, scope string) bool {
	return h.noOverlap(from, until, func(i *faultInterval) bool { return i.scope == scope && !i.planned })
}

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
