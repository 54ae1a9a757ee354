package promise

import (
	"slices"
	"sync"
	"time"
)

// AllDaemons is the scope of trouble that reaches all daemons, such as that of the store.
const AllDaemons = ""

// contactWindow is how long after trouble a daemon isn't held to bounds of time.
const contactWindow = 4 * time.Second

// FaultHistory remembers when which daemon had trouble from outside; it is safe for concurrent use.
type FaultHistory struct {
	mu    sync.Mutex
	spans []*span
}

type span struct {
	scope string
	// planned trouble is what an operator does, such as a stop.
	planned bool
	from    time.Time
	// to is zero while the trouble lasts.
	to time.Time
}

// Begin notes trouble of a daemon, a server or Everyone, and returns what ends it.
func (c *FaultHistory) Begin(scope string) (end func()) {
	return c.begin(scope, false)
}

// BeginPlanned notes planned work on a daemon, and returns what ends it.
func (c *FaultHistory) BeginPlanned(scope string) (end func()) {
	return c.begin(scope, true)
}

func (c *FaultHistory) begin(scope string, planned bool) func() {
	s := &span{scope: scope, planned: planned, from: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = append(c.spans, s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = time.Now()
	}
}

// FaultFree tells whether one of these was free of all trouble, the store's included, from a contact window before a time until another.
func (c *FaultHistory) FaultFree(from, to time.Time, scopes ...string) bool {
	return c.free(from, to, func(s *span) bool { return s.scope == AllDaemons || slices.Contains(scopes, s.scope) })
}

// DaemonFaultFree tells the same of a daemon alone, apart from the store's trouble and from planned work.
func (c *FaultHistory) DaemonFaultFree(from, to time.Time, scope string) bool {
	return c.free(from, to, func(s *span) bool { return s.scope == scope && !s.planned })
}

func (c *FaultHistory) free(from, to time.Time, counts func(*span) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	from = from.Add(-contactWindow)
	for _, s := range c.spans {
		if counts(s) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}
