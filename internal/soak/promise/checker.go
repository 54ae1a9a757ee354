package promise

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
)

// Limits of the guarantees. The users of the system set them.
const (
	// drainBound and evacuateBound limit how long a server still receives requests after it began to drain, or after its
	// domain was evacuated.
	drainBound    = 2_500 * time.Millisecond
	evacuateBound = 5 * time.Second
	// configBound limits how long a daemon may use an outdated configuration.
	configBound = 2_500 * time.Millisecond
	// regressionBound is how long after a process first served the route of a generation it may still refuse requests to
	// that route or an older one as unknown.
	regressionBound = 250 * time.Millisecond
	// cutoffBound is the age up to which a request that no server executed may fail because its connection was closed by a
	// planned stop. Such a request crosses the close on the network.
	cutoffBound = 200 * time.Millisecond
	// timeoutBound limits how long a request may exceed the timeout of its route.
	timeoutBound = 500 * time.Millisecond
	// cancelBound limits how long servers work on a request after its caller canceled it.
	cancelBound = 500 * time.Millisecond
	// budgetWindow is the window in which retries are counted.
	budgetWindow = 10 * time.Second
	// A cold server may receive coldOvershoot times its configured rate plus coldSlack requests in any second.
	coldOvershoot = 1.5
	coldSlack     = 5
	// These are the numbers of requests in a run that may exceed their attempts, be truncated without a fault of the
	// daemon, or reach a server after they were canceled.
	maxOverBudget  = 3
	maxTruncated   = 3
	maxAfterCancel = 3
)

// Request is a request as its caller sends it.
type Request struct {
	ID     string
	Path   string
	Body   string
	Route  Route
	Key    Key
	Daemon string
	// Incarnation identifies the process of the daemon; it counts the starts.
	Incarnation int
	Sent        time.Time
	// CancelAt is when the caller cancels the request on purpose. Zero means never.
	CancelAt time.Time
}

// Route is the configured route of a request.
type Route struct {
	Pool string
	// Idempotent requests may be executed more than once, at most Attempts times.
	Idempotent bool
	Attempts   int
	Timeout    time.Duration
	// HomeRegion is the only region whose servers may execute the requests. "" allows all regions.
	HomeRegion string
	// Public routes serve requests without a customer's key.
	Public bool
	// Generation is the number of a temporary route. It is 0 for routes that every configuration has.
	Generation int
}

// Result is the outcome of a request from the point of view of its caller.
type Result struct {
	// Connected reports whether the request could be sent on a connection.
	Connected bool
	// Complete reports whether a complete response was received. The fields from Status to Body come from it.
	Complete bool
	// InvalidStatus reports that the status of the response isn't that of a final response. The response isn't complete then.
	InvalidStatus bool
	Status        int
	ID            string
	Stamp         string
	Body          string
	// Reason is why the daemon refused the request, or "".
	Reason string
	Ended  time.Time
}

// Server is the checker's record of a server.
type Server struct {
	ID     string
	Pool   string
	Domain string
	Region string
	// ColdUntil is the end of the warm-up. ColdRequestRate is its configured limit of requests per second
	// until then.
	ColdUntil       time.Time
	ColdRequestRate float64
	// Pause is the pause that the server asks for when it rejects a request, or 0.
	Pause time.Duration

	drainingSince time.Time
	arrivals      []time.Time
	notices       notices
	limit         limit
}

// Checker records all requests of a run and their outcomes, and collects violations of the guarantees. Set the fields
// before use. It is safe for concurrent use.
type Checker struct {
	Faults *FaultHistory
	// RetryRatio and RetrySlack limit the retries to a pool in ten seconds to a ratio of its requests plus a constant.
	RetryRatio float64
	RetrySlack float64
	// NeedsKeys reports whether routes that aren't public need a customer's key. Allowances holds the customers with a rate by
	// name.
	NeedsKeys  bool
	Allowances map[string]Allowance

	mu sync.Mutex
	// requests holds the requests by ID, and sent holds them in the order of sending.
	requests map[string]*requestRecord
	sent     []*requestRecord
	// evacuated is when the evacuation of a domain began.
	evacuated map[string]time.Time
	// generations is indexed by the number of the generation; index 0 is unused.
	generations []generation
	// newestServed is keyed by incarnationKey, arrivals by pool, and stops by the host name of the daemon.
	newestServed map[string]servedGeneration
	arrivals     map[string][]arrival
	stops        map[string][]time.Time
	// used holds when requests of the customers in Allowances first reached a server.
	used       map[string][]use
	violations []string
	truncated  int
	overBudget int
}

type requestRecord struct {
	request Request
	result  *Result
	// arrivals counts the attempts that reached a server, including those that the server rejected.
	arrivals   int
	executions []*execution
}

type execution struct {
	server *Server
	at     time.Time
	// leaving reports whether the response says that the server is leaving.
	leaving bool
	// limited reports whether the response names a rate.
	limited bool
}

// generation is when the store acknowledged the addition and the removal of a temporary route.
type generation struct {
	added   time.Time
	removed time.Time
	// removedBy is the generation of the first configuration without the route.
	removedBy int
}

// servedGeneration is the newest generation whose route a process has served, and when it first did so.
type servedGeneration struct {
	number int
	at     time.Time
}

// arrival is one attempt that reached a server.
type arrival struct {
	at    time.Time
	retry bool
}

// Violations returns a line for each violation, which begins with the name of the rule and a colon.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// RequestSent records a request. It must be called before the request is sent.
func (c *Checker) RequestSent(request Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[string]*requestRecord)
	}
	r := &requestRecord{request: request}
	c.requests[request.ID] = r
	c.sent = append(c.sent, r)
}

// RequestArrived records and checks an attempt that reached a server.
func (c *Checker) RequestArrived(s *Server, a instance.Arrival) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil {
		c.addViolation("UNASKED", "%s received request %q, which no caller sent", s.ID, a.ID)
		return
	}
	r.arrivals++
	if c.arrivals == nil {
		c.arrivals = make(map[string][]arrival)
	}
	c.arrivals[s.Pool] = append(c.arrivals[s.Pool], arrival{now, r.arrivals > 1})
	s.arrivals = append(s.arrivals, now)
	c.checkDestination(s, r, now)
	c.checkNotices(s, r, a.Executed, now)
	c.checkColdRate(s, now)
	c.checkLimit(s, r, now)
	c.checkCustomer(s, r, a, now)
	c.checkKeyInForce(r, now)
	c.countUse(r, now)
	if a.Executed {
		c.checkExecution(s, r, a, now)
	}
}

// checkExecution checks that a server may execute a request, and that the request arrived as it was sent.
func (c *Checker) checkExecution(s *Server, r *requestRecord, a instance.Arrival, now time.Time) {
	r.executions = append(r.executions, &execution{server: s, at: now, leaving: s.notices.leaving, limited: !s.limit.named.IsZero()})
	switch {
	case a.Path != r.request.Path || a.Body != r.request.Body:
		c.addViolation("UNASKED", "request %s was modified on its way to the server: path %s", a.ID, a.Path)
	case !r.request.Route.Idempotent && len(r.executions) > 1:
		c.addViolation("TWICE", "non-idempotent request %s was executed %d times, last on %s", a.ID, len(r.executions), s.ID)
	case r.result != nil && meansNotExecuted(r.result.Status):
		c.addViolation("REFUSED", "request %s was executed on %s after it had been refused with status %d", a.ID, s.ID, r.result.Status)
	case r.request.Route.Pool != s.Pool:
		c.addViolation("ROUTE", "request %s for pool %s was executed on %s of pool %s", a.ID, r.request.Route.Pool, s.ID, s.Pool)
	case r.request.Route.HomeRegion != "" && r.request.Route.HomeRegion != s.Region:
		c.addViolation("HOME", "request %s, restricted to region %s, was executed on %s in region %s", a.ID, r.request.Route.HomeRegion, s.ID, s.Region)
	case len(r.executions) == r.request.Route.Attempts+1:
		if c.overBudget++; c.overBudget > maxOverBudget {
			c.addViolation("BUDGET", "request %s was executed more than %d times; %d other requests exceeded their attempts before", a.ID, r.request.Route.Attempts, c.overBudget-1)
		}
	}
	c.checkServedGeneration(r, now)
}

// checkDestination checks that a server receives no requests long after it began to drain or its domain was evacuated.
func (c *Checker) checkDestination(s *Server, r *requestRecord, now time.Time) {
	if elapsed := now.Sub(s.drainingSince); !s.drainingSince.IsZero() && elapsed > drainBound && c.Faults.FaultFree(s.drainingSince, now, r.request.Daemon, s.ID) {
		c.addViolation("DRAIN", "%s sent request %s to %s %v after the server began to drain", r.request.Daemon, r.request.ID, s.ID, elapsed)
	}
	since := c.evacuated[s.Domain]
	if elapsed := now.Sub(since); !since.IsZero() && elapsed > evacuateBound && c.Faults.FaultFree(since, now, r.request.Daemon, s.ID) {
		c.addViolation("EVAC", "%s sent request %s to %s %v after the evacuation of its domain", r.request.Daemon, r.request.ID, s.ID, elapsed)
	}
}

// checkColdRate limits the requests that a cold server receives in one second.
func (c *Checker) checkColdRate(s *Server, now time.Time) {
	if now.After(s.ColdUntil) || !c.Faults.DaemonFaultFree(now, now, s.ID) {
		return
	}
	n := 0
	for _, at := range s.arrivals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if limit := s.ColdRequestRate*coldOvershoot + coldSlack; float64(n) > limit {
		c.addViolation("FAILBACK", "cold server %s received %d requests in one second, at most %.0f allowed", s.ID, n, limit)
	}
}

// ServerDraining records that the store acknowledged the draining state of a server, or the deletion of its entry.
func (c *Checker) ServerDraining(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.drainingSince.IsZero() {
		s.drainingSince = time.Now()
	}
}

// SetEvacuated records the beginning or the end of the evacuation of a domain.
func (c *Checker) SetEvacuated(domain string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evacuated == nil {
		c.evacuated = make(map[string]time.Time)
	}
	delete(c.evacuated, domain)
	if evacuated {
		c.evacuated[domain] = time.Now()
	}
}

// DaemonStopping records that a daemon is sent SIGTERM.
func (c *Checker) DaemonStopping(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stops == nil {
		c.stops = make(map[string][]time.Time)
	}
	c.stops[daemon] = append(c.stops[daemon], time.Now())
}

// StopFailed records that a daemon that was sent SIGTERM didn't exit within its grace period, or with an exit code
// other than 0. A fault of the daemon since the signal excuses it.
func (c *Checker) StopFailed(daemon string, signaledAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Faults.DaemonFaultFree(signaledAt, time.Now(), daemon) {
		c.addViolation("STOP", "%s: %v", daemon, err)
	}
}

// RequestEnded records and checks the result of a request.
func (c *Checker) RequestEnded(id string, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.result = &result
	switch {
	case result.InvalidStatus:
		c.addViolation("STATUS", "request %s received a response from %s whose status isn't that of a final response", id, r.request.Daemon)
	case !result.Complete:
		c.checkTruncated(r)
	case result.ID != "" && result.ID != id:
		c.addViolation("MIXED", "request %s received the response to request %s", id, result.ID)
	case result.Status < http.StatusMultipleChoices && (result.Stamp != "stamp-"+id || result.Body != instance.Body):
		c.addViolation("MIXED", "request %s received a success response that no server sent: stamp %q, %d bytes", id, result.Stamp, len(result.Body))
	case meansNotExecuted(result.Status) && len(r.executions) > 0:
		c.addViolation("REFUSED", "request %s was refused with status %d although it was executed on %s", id, result.Status, r.executions[0].server.ID)
	case result.Reason == string(daisygap.ReasonPoisoned):
		c.addViolation("POISON", "request %s, which crashes no server, was blocked as one that does", id)
	case result.Status == http.StatusBadRequest || result.Status == http.StatusForbidden:
		c.addViolation("DENIED", "request %s was denied with status %d", id, result.Status)
	}
	if result.Complete {
		c.checkNotFound(r)
		c.checkUnknownKey(r)
		c.checkOverAllowance(r)
		r.noteDeparture()
		r.noteLimit()
	}
}

// meansNotExecuted reports whether a response status guarantees that no server executed the request.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkTruncated checks a request whose connection ended without a complete response. Around a planned stop of the
// daemon, no executed request may be truncated, nor any request older than cutoffBound. Without a stop or fault of the
// daemon, up to maxTruncated executed requests may.
func (c *Checker) checkTruncated(r *requestRecord) {
	result := r.result
	if !result.Connected || !r.request.CancelAt.IsZero() || !c.Faults.DaemonFaultFree(r.request.Sent, result.Ended, r.request.Daemon) {
		return
	}
	planned := false
	for _, at := range c.stops[r.request.Daemon] {
		planned = planned || r.request.Sent.Before(at.Add(graceBound)) && result.Ended.After(at)
	}
	elapsed := result.Ended.Sub(r.request.Sent)
	switch {
	case planned && (len(r.executions) > 0 || elapsed > cutoffBound):
		c.addViolation("LOST", "%s truncated request %s after %v around a planned stop; it was executed %d times", r.request.Daemon, r.request.ID, elapsed, len(r.executions))
	case len(r.executions) > 0:
		if c.truncated++; c.truncated > maxTruncated {
			c.addViolation("LOST", "%s truncated request %s after %v without a stop or fault, as it did with %d other requests before", r.request.Daemon, r.request.ID, elapsed, c.truncated-1)
		}
	}
}

// graceBound is the time from SIGTERM to the forced exit of a daemon (6 s) plus one second.
const graceBound = 7 * time.Second
