package customer

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/daisygap/daisygap"
)

// Table holds the customers of one configuration version. It is safe for concurrent use.
type Table struct {
	byKey map[daisygap.CustomerKey]*daisygap.Customer
	// routes caches the routes as they apply to customers, by routeOf, and cached is their number.
	routes sync.Map
	cached atomic.Int64
	shared []SharedKey
}

// SharedKey names two customers with the same key. Requests with it are those of Owner.
type SharedKey struct {
	Owner string
	Other string
}

// maxCachedRoutes bounds the memory of the cache if the customers have very many different priorities and regions. Further routes are
// computed for each request, which takes under a microsecond.
const maxCachedRoutes = 4_096

// routeOf is the key of a cached route. Customers with the same priority and regions share it, so that the cache doesn't grow with their
// number.
type routeOf struct {
	route       *daisygap.Route
	priority    int
	hasPriority bool
	regions     string
}

// New returns a table of customers. Of several customers with the same key the first has it.
func New(customers []daisygap.Customer) *Table {
	t := &Table{byKey: make(map[daisygap.CustomerKey]*daisygap.Customer, len(customers))}
	for i := range customers {
		for _, key := range customers[i].Keys {
			switch owner := t.byKey[key]; {
			case key == "":
			case owner == nil:
				t.byKey[key] = &customers[i]
			case owner != &customers[i]:
				t.shared = append(t.shared, SharedKey{Owner: owner.Name, Other: customers[i].Name})
			}
		}
	}
	return t
}

// SharedKeys returns the pairs of customers with a common key, in the order of the table.
func (t *Table) SharedKeys() []SharedKey {
	return t.shared
}

// Find returns the customer with the given key, or nil.
func (t *Table) Find(key daisygap.CustomerKey) *daisygap.Customer {
	return t.byKey[key]
}

// Route returns a route as it applies to a customer: with the customer's priority, if it has one, and the regions that both allow. It
// returns false if there is no such region.
func (t *Table) Route(r *daisygap.Route, c *daisygap.Customer) (*daisygap.Route, bool) {
	if c == nil || !c.HasPriority && len(c.AllowedRegions) == 0 {
		return r, true
	}
	key := routeOf{r, c.Priority, c.HasPriority, strings.Join(c.AllowedRegions, "\x00")}
	if cached, ok := t.routes.Load(key); ok {
		route := cached.(*daisygap.Route)
		return route, route != nil
	}
	own := *r
	if c.HasPriority {
		own.Priority = c.Priority
	}
	route := &own
	if own.AllowedRegions = intersect(r.AllowedRegions, c.AllowedRegions); own.AllowedRegions != nil && len(own.AllowedRegions) == 0 {
		route = nil
	}
	if t.cached.Load() < maxCachedRoutes {
		t.cached.Add(1)
		t.routes.Store(key, route)
	}
	return route, route != nil
}

// intersect returns the regions that both lists allow. An empty list allows all. The result is nil if both do.
func intersect(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	both := make([]string, 0, len(a))
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}
