package promise

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
)

// KeyPrefix is the beginning of every key of a run. The checker searches for it in the requests that reach servers.
const KeyPrefix = "soak-key-"

const (
	// keyBound limits how long a daemon may use an outdated set of keys.
	keyBound = 3 * time.Second
	// A customer may use allowanceOvershoot times its rate over an allowanceWindow and its burst, plus allowanceSlack requests.
	allowanceWindow    = 5 * time.Second
	allowanceOvershoot = 1.1
	allowanceSlack     = 20
	// delayedAfter is the time from a caller to a server from which on a violation counts a request as delayed.
	delayedAfter = 500 * time.Millisecond
)

// Key is the customer's key that a request carries.
type Key struct {
	// Value is the key as the caller sends it, or "" for a request without a key.
	Value string
	// Customer is the name of the customer that holds the key, or "" if no customer ever does.
	Customer string
	// Generation is the number of the configuration that added a temporary key. It is 0 for permanent keys.
	Generation int
}

// Allowance is the rate of a customer, in requests per second, and its burst.
type Allowance struct {
	Rate  float64
	Burst float64
}

// use is a request that counts against an allowance, and when it first reached a server.
type use struct {
	at      time.Time
	request Request
}

// checkCustomer checks the customer's name in a request that reached a server, and that the request contains no key.
func (c *Checker) checkCustomer(s *Server, r *requestRecord, a instance.Arrival, now time.Time) {
	for name, values := range a.Header {
		if strings.Contains(name+strings.Join(values, " "), KeyPrefix) {
			c.addViolation("KEY", "%s received a key in the header %s of request %s from %s", s.ID, name, a.ID, r.request.Daemon)
		}
	}
	if strings.Contains(a.Path, KeyPrefix) || strings.Contains(a.Body, KeyPrefix) {
		c.addViolation("KEY", "%s received a key in the path or the body of request %s from %s", s.ID, a.ID, r.request.Daemon)
	}
	var want []string
	if r.request.Key.Customer != "" {
		want = []string{r.request.Key.Customer}
	}
	if got := a.Header.Values("Tenant"); !slices.Equal(got, want) {
		c.addViolation("TENANT", "%s received request %s from %s with the customer %q, want %q", s.ID, a.ID, r.request.Daemon, got, want)
	}
	if want == nil && c.NeedsKeys && !r.request.Route.Public {
		c.addViolation("KEY", "%s sent request %s to %s %v after its start, although no customer has its key", r.request.Daemon, a.ID, s.ID, now.Sub(r.request.Sent))
	}
}

// checkKeyInForce checks that no daemon serves a withdrawn key for long, and that no process serves one after a request
// that only a newer configuration allows.
func (c *Checker) checkKeyInForce(r *requestRecord, now time.Time) {
	number := r.request.Key.Generation
	if number == 0 || c.generations[number].removed.IsZero() {
		return
	}
	g := c.generations[number]
	if since := r.request.Sent.Sub(g.removed); since > keyBound && c.Faults.FaultFree(g.removed, now, r.request.Daemon) {
		c.addViolation("KEY", "%s forwarded request %s, whose key was withdrawn %v before", r.request.Daemon, r.request.ID, since)
	}
	last := c.newestServed[incarnationKey(r.request)]
	if last.number >= g.removedBy && r.request.Sent.Sub(last.at) > regressionBound {
		c.addViolation("KEY", "%s forwarded request %s, whose key generation %d withdrew, after it served generation %d", r.request.Daemon, r.request.ID, g.removedBy, last.number)
	}
}

// checkUnknownKey checks a request that was refused with status 401. The daemon may refuse it only if no customer has the
// key and the route isn't public, or for the reasons for which it may not know a route of the key's generation.
func (c *Checker) checkUnknownKey(r *requestRecord) {
	key := r.request.Key
	switch {
	case r.result.Status != http.StatusUnauthorized:
	case key.Generation > 0 && !r.request.Route.Public:
		c.checkMissing(r, key.Generation, "customer with the key", keyBound)
	case key.Customer != "" || r.request.Route.Public || !c.NeedsKeys:
		c.addViolation("DENIED", "%s found no customer for request %s of customer %q, although every configuration allows it", r.request.Daemon, r.request.ID, key.Customer)
	}
}

// countUse counts a request that reached a server against its customer's allowance, once for all its attempts.
func (c *Checker) countUse(r *requestRecord, now time.Time) {
	name := r.request.Key.Customer
	if _, limited := c.Allowances[name]; !limited || r.arrivals > 1 {
		return
	}
	if c.used == nil {
		c.used = make(map[string][]use)
	}
	c.used[name] = append(c.used[name], use{now, r.request})
}

// checkAllowances checks every allowanceWindow of each customer with a rate. Of the windows that overlap each other, the one
// with the most requests is reported.
func (c *Checker) checkAllowances() {
	for name, a := range c.Allowances {
		allowed := int(allowanceOvershoot*(a.Rate*allowanceWindow.Seconds()+a.Burst) + allowanceSlack)
		used, from := c.used[name], 0
		var worst []use
		for i, u := range used {
			for u.at.Sub(used[from].at) >= allowanceWindow {
				from++
			}
			window := used[from : i+1]
			if len(worst) > 0 && window[0].at.After(worst[len(worst)-1].at) {
				c.reportAllowance(name, worst, allowed)
				worst = nil
			}
			if len(window) > max(allowed, len(worst)) {
				worst = window
			}
		}
		if len(worst) > 0 {
			c.reportAllowance(name, worst, allowed)
		}
	}
}

// reportAllowance adds a violation that names where the requests came from, and how many of them were on their way for
// long, as those that a fault of a link held back.
func (c *Checker) reportAllowance(name string, used []use, allowed int) {
	daemons, delayed := make(map[string]int), 0
	for _, u := range used {
		daemons[u.request.Daemon]++
		if u.at.Sub(u.request.Sent) > delayedAfter {
			delayed++
		}
	}
	last := used[len(used)-1]
	c.addViolation("ALLOWANCE", "servers received %d requests of customer %s in %v, at most %d allowed, %v, %d delayed by more than %v, last %s at %s",
		len(used), name, allowanceWindow, allowed, daemons, delayed, delayedAfter, last.request.ID, last.at.Format("15:04:05.000"))
}

// checkOverAllowance checks that only customers with a rate are refused for exceeding it.
func (c *Checker) checkOverAllowance(r *requestRecord) {
	_, limited := c.Allowances[r.request.Key.Customer]
	if r.result.Reason == string(daisygap.ReasonOverAllowance) && !limited {
		c.addViolation("ALLOWANCE", "%s refused request %s as over the allowance of customer %q, which has no rate", r.request.Daemon, r.request.ID, r.request.Key.Customer)
	}
}

// ProcessEnded records that a daemon's process ended although it was neither killed nor stopped.
func (c *Checker) ProcessEnded(daemon, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("ALIVE", "the process of %s ended by itself: %s", daemon, state)
}

// CheckLog checks that a daemon's log contains no key.
func (c *Checker) CheckLog(daemon string, log []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range bytes.Lines(log) {
		if bytes.Contains(line, []byte(KeyPrefix)) {
			c.addViolation("KEY", "the log of %s contains a key: %s", daemon, bytes.TrimSpace(line))
			return
		}
	}
}
