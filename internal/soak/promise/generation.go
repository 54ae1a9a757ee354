package promise

import (
	"fmt"
	"net/http"
	"time"
)

// RouteAdded notes that the store acknowledged a configuration with a new generation, and returns its number.
func (l *Checker) RouteAdded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.generations) == 0 {
		l.generations = append(l.generations, generation{})
	}
	l.generations = append(l.generations, generation{added: time.Now()})
	return len(l.generations) - 1
}

// RouteRemoved notes that the store acknowledged a configuration without a generation.
func (l *Checker) RouteRemoved(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number > 0 && number < len(l.generations) {
		l.generations[number].removed = time.Now()
	}
}

// noteGeneration keeps the newest generation that a process has shown to servers.
func (l *Checker) noteGeneration(r *request, now time.Time) {
	if r.ask.Route.Generation == 0 {
		return
	}
	if l.served == nil {
		l.served = make(map[string]seen)
	}
	key := processKey(r.ask)
	if r.ask.Route.Generation > l.served[key].generation {
		l.served[key] = seen{r.ask.Route.Generation, now}
	}
	g := l.generations[r.ask.Route.Generation]
	if since := r.ask.Sent.Sub(g.removed); !g.removed.IsZero() && since > configBound && l.Faults.FaultFree(g.removed, now, r.ask.Daemon) {
		l.fail("CONFIG", "%s ran request %s of a route dropped %v before", r.ask.Daemon, r.ask.ID, since)
	}
}

func processKey(a Request) string {
	return fmt.Sprintf("%s/%d", a.Daemon, a.Incarnation)
}

// checkGeneration looks at a request that was refused for want of a route that there is.
func (l *Checker) checkGeneration(r *request) {
	number := r.ask.Route.Generation
	if r.result.Status != http.StatusNotFound {
		return
	}
	if number == 0 {
		l.fail("DENIED", "%s knew no route for request %s, which every configuration has", r.ask.Daemon, r.ask.ID)
		return
	}
	g := l.generations[number]
	if !g.removed.IsZero() {
		return
	}
	if since := r.ask.Sent.Sub(g.added); since > configBound && l.Faults.FaultFree(g.added, r.result.Ended, r.ask.Daemon) {
		l.fail("CONFIG", "%s didn't know a route %v after it was added, request %s", r.ask.Daemon, since, r.ask.ID)
	}
	last := l.served[processKey(r.ask)]
	if last.generation >= number && r.ask.Sent.Sub(last.at) > regressBound {
		l.fail("CONFIG", "%s went back behind generation %d, request %s", r.ask.Daemon, last.generation, r.ask.ID)
	}
}
