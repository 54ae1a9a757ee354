package route

import (
	"sync"

	"github.com/daisygap/daisygap"
)

// Splitter deals a route's requests to its pools in the proportions of their weights; it is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]map[string]float64
}

// Next returns the pool of the next request of a route.
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

// Prune drops the state of routes that no longer exist.
func (s *Splitter) Prune(routes []daisygap.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(routes))
	for _, r := range routes {
		named[r.Name] = true
	}
	for name := range s.credit {
		if !named[name] {
			delete(s.credit, name)
		}
	}
}
