package promise

import (
	"fmt"
	"net/http"
	"time"
)

// RouteAdded records that the store acknowledged a configuration with the route of a new generation, and returns the
// number of the generation, which starts at 1.
func (c *Checker) RouteAdded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.generations) == 0 {
		c.generations = append(c.generations, generation{})
	}
	c.generations = append(c.generations, generation{added: time.Now()})
	return len(c.generations) - 1
}

// RouteRemoved records that the store acknowledged a configuration without the route of a generation.
func (c *Checker) RouteRemoved(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number > 0 && number < len(c.generations) {
		c.generations[number].removed, c.generations[number].removedBy = time.Now(), len(c.generations)-1
	}
}

// checkServedGeneration records the newest generation whose route a daemon's process has served, and checks that it
// doesn't serve a route long after the removal of the route.
func (c *Checker) checkServedGeneration(r *requestRecord, now time.Time) {
	number := max(r.request.Route.Generation, r.request.Key.Generation)
	if number == 0 {
		return
	}
	if c.newestServed == nil {
		c.newestServed = make(map[string]servedGeneration)
	}
	key := incarnationKey(r.request)
	if number > c.newestServed[key].number {
		c.newestServed[key] = servedGeneration{number, now}
	}
	if r.request.Route.Generation == 0 {
		return
	}
	g := c.generations[r.request.Route.Generation]
	if since := r.request.Sent.Sub(g.removed); !g.removed.IsZero() && since > configBound && c.Faults.FaultFree(g.removed, now, r.request.Daemon) {
		c.addViolation("CONFIG", "%s forwarded request %s to a route that was removed %v before", r.request.Daemon, r.request.ID, since)
	}
}

// incarnationKey identifies one process of a daemon.
func incarnationKey(r Request) string {
	return fmt.Sprintf("%s/%d", r.Daemon, r.Incarnation)
}

// checkNotFound checks a request that was refused with status 404. The daemon may refuse it only if the route was added
// recently or has been removed, and its process hasn't served that route or a newer one before.
func (c *Checker) checkNotFound(r *requestRecord) {
	number := r.request.Route.Generation
	if r.result.Status != http.StatusNotFound {
		return
	}
	if number == 0 {
		c.addViolation("DENIED", "%s found no route for request %s, although every configuration has it", r.request.Daemon, r.request.ID)
		return
	}
	c.checkMissing(r, number, "route", configBound)
}

// checkMissing checks that the daemon may not know, or no longer know, what a generation added.
func (c *Checker) checkMissing(r *requestRecord, number int, what string, bound time.Duration) {
	g := c.generations[number]
	if !g.removed.IsZero() {
		return
	}
	if since := r.request.Sent.Sub(g.added); since > bound && c.Faults.FaultFree(g.added, r.result.Ended, r.request.Daemon) {
		c.addViolation("CONFIG", "%s found no %s %v after it was added, request %s", r.request.Daemon, what, since, r.request.ID)
	}
	last := c.newestServed[incarnationKey(r.request)]
	if last.number >= number && r.request.Sent.Sub(last.at) > regressionBound {
		c.addViolation("CONFIG", "%s reverted to a configuration older than generation %d, request %s", r.request.Daemon, last.number, r.request.ID)
	}
}
