package customer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// usageWindow is the time over which the requests of customers are compared.
	usageWindow = daisygap.Millis(60_000)
	// Other is the name under which the customers are counted that have no counts of their own. A customer of this name is counted there
	// as well.
	Other = "other"
)

// Counts are the requests of a customer and those of them that a daemon refused.
type Counts struct {
	Requests uint64
	Refused  uint64
}

// Usage counts the requests of the customers with the most requests, and of all others together. Its memory is bounded by Limit and by the
// requests in a minute. It is safe for concurrent use. Set Limit before the first call.
type Usage struct {
	// Limit is the number of customers with counts of their own.
	Limit int

	mu    sync.Mutex
	named map[string]*Counts
	other Counts
	// recent counts the requests in the current window, and windowEnd is when it ends.
	recent    map[string]int
	windowEnd daisygap.Millis
}

// Add counts a customer's request. The first customers get counts of their own at once, later ones at the end of a window in which they had
// more requests than one that has.
func (u *Usage) Add(name string, now daisygap.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.named == nil {
		u.named, u.recent = make(map[string]*Counts), make(map[string]int)
		u.windowEnd = now + usageWindow
	}
	if now >= u.windowEnd {
		u.endWindow()
		u.windowEnd = now + usageWindow
	}
	if name != Other {
		u.recent[name]++
		if u.named[name] == nil && len(u.named) < u.Limit {
			u.named[name] = &Counts{}
		}
	}
	u.countsOf(name).Requests++
}

// AddRefusal counts a refusal of a customer's request.
func (u *Usage) AddRefusal(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countsOf(name).Refused++
}

func (u *Usage) countsOf(name string) *Counts {
	if c := u.named[name]; c != nil {
		return c
	}
	return &u.other
}

// endWindow gives counts of their own to the customers with the most requests in the window. The counts of a customer that loses its
// own are added to Other, so that no count falls and the sum stays that of all requests.
func (u *Usage) endWindow() {
	names := make([]string, 0, len(u.recent))
	for name := range u.recent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.recent[b], u.recent[a]), cmp.Compare(a, b))
	})
	top := make(map[string]*Counts, u.Limit)
	for _, name := range names[:min(len(names), u.Limit)] {
		top[name] = u.named[name]
		if top[name] == nil {
			top[name] = &Counts{}
		}
	}
	// Customers without requests in the window keep the places that nobody else needs.
	for name, c := range u.named {
		switch {
		case top[name] != nil:
		case len(top) < u.Limit:
			top[name] = c
		default:
			u.other.Requests += c.Requests
			u.other.Refused += c.Refused
		}
	}
	u.named, u.recent = top, make(map[string]int)
}

// Snapshot returns the counts by name, with all others under Other. It is empty before the first request.
func (u *Usage) Snapshot() map[string]Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.named == nil {
		return nil
	}
	counts := map[string]Counts{Other: u.other}
	for name, c := range u.named {
		counts[name] = *c
	}
	return counts
}
