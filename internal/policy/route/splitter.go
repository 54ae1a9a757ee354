package route

import (
	"sync"

	"github.com/daisygap/daisygap"
)

// Splitter divides the requests of each route among its pools by smooth weighted round robin. It is safe for concurrent
// use.
type Splitter struct {
	mu sync.Mutex
	// credit is the number of requests that a pool is due, by route and pool.
	credit map[string]map[string]float64
}

// Next returns the pool for the next request of a route. Pools without a positive weight get none, except for the only
// pool of a route.
func (s *Splitter) Next(r *daisygap.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = make(map[string]map[string]float64)
	}
	credit := s.credit[r.Name]
	if credit == nil {
		credit = make(map[string]float64)
		s.credit[r.Name] = credit
	}
	total := 0.0
	for _, p := range r.Split {
		total += max(p.Weight, 0)
	}
	best := ""
	for _, p := range r.Split {
		if p.Weight <= 0 {
			continue
		}
		credit[p.Pool] += p.Weight / total
		if best == "" || credit[p.Pool] > credit[best] {
			best = p.Pool
		}
	}
	credit[best]--
	return best
}

// Prune drops the state of routes that are not among the given ones.
func (s *Splitter) Prune(routes []daisygap.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(map[string]bool, len(routes))
	for _, r := range routes {
		current[r.Name] = true
	}
	for name := range s.credit {
		if !current[name] {
			delete(s.credit, name)
		}
	}
}
