package promise

import (
	"fmt"
	"net/http"
	"time"
)

// RouteAdded notes that the store acknowledged a configuration with a new generation, and returns its number.
func (c *Checker) RouteAdded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.generations) == 0 {
		c.generations = append(c.generations, generation{})
	}
	c.generations = append(c.generations, generation{added: time.Now()})
	return len(c.generations) - 1
}

// RouteRemoved notes that the store acknowledged a configuration without a generation.
func (c *Checker) RouteRemoved(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number > 0 && number < len(c.generations) {
		c.generations[number].removed = time.Now()
	}
}

// checkServedGeneration keeps the newest generation that a process has shown to servers.
func (c *Checker) checkServedGeneration(r *requestRecord, now time.Time) {
	if r.request.Route.Generation == 0 {
		return
	}
	if c.newestServed == nil {
		c.newestServed = make(map[string]servedGeneration)
	}
	key := incarnationKey(r.request)
	if r.request.Route.Generation > c.newestServed[key].number {
		c.newestServed[key] = servedGeneration{r.request.Route.Generation, now}
	}
	g := c.generations[r.request.Route.Generation]
	if since := r.request.Sent.Sub(g.removed); !g.removed.IsZero() && since > configBound && c.Faults.FaultFree(g.removed, now, r.request.Daemon) {
		c.addViolation("CONFIG", "%s ran request %s of a route dropped %v before", r.request.Daemon, r.request.ID, since)
	}
}

func incarnationKey(r Request) string {
	return fmt.Sprintf("%s/%d", r.Daemon, r.Incarnation)
}

// checkNotFound looks at a request that was refused for want of a route that there is.
func (c *Checker) checkNotFound(r *requestRecord) {
	number := r.request.Route.Generation
	if r.result.Status != http.StatusNotFound {
		return
	}
	if number == 0 {
		c.addViolation("DENIED", "%s knew no route for request %s, which every configuration has", r.request.Daemon, r.request.ID)
		return
	}
	g := c.generations[number]
	if !g.removed.IsZero() {
		return
	}
	if since := r.request.Sent.Sub(g.added); since > configBound && c.Faults.FaultFree(g.added, r.result.Ended, r.request.Daemon) {
		c.addViolation("CONFIG", "%s didn't know a route %v after it was added, request %s", r.request.Daemon, since, r.request.ID)
	}
	last := c.newestServed[incarnationKey(r.request)]
	if last.number >= number && r.request.Sent.Sub(last.at) > regressionBound {
		c.addViolation("CONFIG", "%s went back behind generation %d, request %s", r.request.Daemon, last.number, r.request.ID)
	}
}
