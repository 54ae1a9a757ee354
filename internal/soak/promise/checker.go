package promise

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
)

// The bounds that the users set.
const (
	drainBound      = 2_500 * time.Millisecond
	configBound     = 2_500 * time.Millisecond
	evacuateBound   = 5 * time.Second
	regressionBound = 250 * time.Millisecond
	cutoffBound     = 200 * time.Millisecond
	timeoutBound    = 500 * time.Millisecond
	cancelBound     = 500 * time.Millisecond
	budgetWindow    = 10 * time.Second
	coldOvershoot   = 1.5
	coldSlack       = 5
	maxOverBudget   = 3
	maxTruncated    = 3
	maxAfterCancel  = 3
)

// Request is one request as its caller sends it.
type Request struct {
	ID     string
	Path   string
	Body   string
	Route  Route
	Daemon string
	// Incarnation is the number of the daemon's process.
	Incarnation int
	Sent        time.Time
	// CancelAt is when the caller gives up on purpose; zero when it doesn't.
	CancelAt time.Time
}

// Route is what the configuration says of a request's route.
type Route struct {
	Pool string
	// Idempotent tells that it may run more than once, on Attempts servers at most.
	Idempotent bool
	Attempts   int
	Timeout    time.Duration
	// HomeRegion is the only region that may serve it; "" allows all.
	HomeRegion string
	// Generation counts the routes that came and went; 0 is one that stays.
	Generation int
}

// Result is what the caller saw.
type Result struct {
	// Connected tells that there was a connection on which the request could be sent.
	Connected bool
	// Complete tells that a complete answer came.
	Complete bool
	Status   int
	ID       string
	Stamp    string
	Body     string
	Ended    time.Time
}

// Server is what the check knows of a server beside its runs.
type Server struct {
	ID     string
	Pool   string
	Domain string
	Region string
	// ColdUntil is when it is no longer slow, and ColdRate what it bears a second until then.
	ColdUntil       time.Time
	ColdRequestRate float64

	drainingSince time.Time
	arrivals      []time.Time
}

// Checker holds all requests of a run and what became of them; set the fields before use, it is safe for concurrent use.
type Checker struct {
	Faults *FaultHistory
	// RetryRatio and RetrySlack bound the repeats in ten seconds.
	RetryRatio float64
	RetrySlack float64

	mu           sync.Mutex
	requests     map[string]*requestRecord
	sent         []*requestRecord
	evacuated    map[string]time.Time
	generations  []generation
	newestServed map[string]servedGeneration
	arrivals     map[string][]arrival
	stops        map[string][]time.Time
	violations   []string
	truncated    int
	overBudget   int
}

type requestRecord struct {
	request Request
	result  *Result
	// arrivals counts all that reached servers, runs those that were executed.
	arrivals   int
	executions []*execution
}

type execution struct {
	server *Server
	at     time.Time
}

type generation struct {
	added   time.Time
	removed time.Time
}

// servedGeneration is the newest generation that a process showed, and when.
type servedGeneration struct {
	number int
	at     time.Time
}

type arrival struct {
	at    time.Time
	retry bool
}

// Violations returns the promises that were broken.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// RequestSent notes a request before it is sent.
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

// RequestArrived checks a request that reached a server.
func (c *Checker) RequestArrived(s *Server, a instance.Arrival) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil {
		c.addViolation("UNASKED", "%s got request %q, which nobody sent", s.ID, a.ID)
		return
	}
	r.arrivals++
	if c.arrivals == nil {
		c.arrivals = make(map[string][]arrival)
	}
	c.arrivals[s.Pool] = append(c.arrivals[s.Pool], arrival{now, r.arrivals > 1})
	s.arrivals = append(s.arrivals, now)
	c.checkDestination(s, r, now)
	c.checkColdRate(s, now)
	if a.Executed {
		c.checkExecution(s, r, a, now)
	}
}

// checkExecution checks that a request may run, and runs as it was sent.
func (c *Checker) checkExecution(s *Server, r *requestRecord, a instance.Arrival, now time.Time) {
	r.executions = append(r.executions, &execution{server: s, at: now})
	switch {
	case a.Path != r.request.Path || a.Body != r.request.Body:
		c.addViolation("UNASKED", "request %s was changed to %s", a.ID, a.Path)
	case !r.request.Route.Idempotent && len(r.executions) > 1:
		c.addViolation("TWICE", "request %s ran %d times, lastly at %s", a.ID, len(r.executions), s.ID)
	case !r.request.Route.Idempotent && r.result != nil && meansNotExecuted(r.result.Status):
		c.addViolation("REFUSED", "request %s ran at %s after its refusal with %d", a.ID, s.ID, r.result.Status)
	case r.request.Route.Pool != s.Pool:
		c.addViolation("ROUTE", "request %s of pool %s ran at %s of %s", a.ID, r.request.Route.Pool, s.ID, s.Pool)
	case r.request.Route.HomeRegion != "" && r.request.Route.HomeRegion != s.Region:
		c.addViolation("HOME", "request %s of %s ran at %s in %s", a.ID, r.request.Route.HomeRegion, s.ID, s.Region)
	case len(r.executions) == r.request.Route.Attempts+1:
		if c.overBudget++; c.overBudget > maxOverBudget {
			c.addViolation("BUDGET", "request %s ran on more than %d servers, as %d others", a.ID, r.request.Route.Attempts, c.overBudget-1)
		}
	}
	c.checkServedGeneration(r, now)
}

// checkDestination checks that a server may still get work.
func (c *Checker) checkDestination(s *Server, r *requestRecord, now time.Time) {
	if elapsed := now.Sub(s.drainingSince); !s.drainingSince.IsZero() && elapsed > drainBound && c.Faults.FaultFree(s.drainingSince, now, r.request.Daemon, s.ID) {
		c.addViolation("DRAIN", "%s sent request %s to %s %v after it had left", r.request.Daemon, r.request.ID, s.ID, elapsed)
	}
	since := c.evacuated[s.Domain]
	if elapsed := now.Sub(since); !since.IsZero() && elapsed > evacuateBound && c.Faults.FaultFree(since, now, r.request.Daemon, s.ID) {
		c.addViolation("EVAC", "%s sent request %s to %s %v after its domain was evacuated", r.request.Daemon, r.request.ID, s.ID, elapsed)
	}
}

// checkColdRate bounds the arrivals of the last second at a cold server.
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
		c.addViolation("FAILBACK", "cold %s got %d requests in a second, at most %.0f", s.ID, n, limit)
	}
}

// ServerDraining notes that the store acknowledged a server's leaving.
func (c *Checker) ServerDraining(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.drainingSince.IsZero() {
		s.drainingSince = time.Now()
	}
}

// SetEvacuated notes that a domain is to get nothing, or is taken back.
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

// DaemonStopping notes SIGTERM for a daemon.
func (c *Checker) DaemonStopping(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stops == nil {
		c.stops = make(map[string][]time.Time)
	}
	c.stops[daemon] = append(c.stops[daemon], time.Now())
}

// StopFailed notes a daemon that was told to stop at a time and didn't do so in time or without a cut.
func (c *Checker) StopFailed(daemon string, signaledAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Faults.DaemonFaultFree(signaledAt, time.Now(), daemon) {
		c.addViolation("STOP", "%s: %v", daemon, err)
	}
}

// RequestEnded checks what a caller saw.
func (c *Checker) RequestEnded(id string, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.result = &result
	switch {
	case !result.Complete:
		c.checkTruncated(r)
	case result.ID != "" && result.ID != id:
		c.addViolation("MIXED", "request %s got the answer to %s", id, result.ID)
	case result.Status < http.StatusMultipleChoices && (result.Stamp != "stamp-"+id || result.Body != instance.Body):
		c.addViolation("MIXED", "request %s got a success that is no server's: stamp %q, %d bytes", id, result.Stamp, len(result.Body))
	case !r.request.Route.Idempotent && meansNotExecuted(result.Status) && len(r.executions) > 0:
		c.addViolation("REFUSED", "request %s was refused with %d and ran at %s", id, result.Status, r.executions[0].server.ID)
	case result.Status == http.StatusBadRequest || result.Status == http.StatusUnauthorized || result.Status == http.StatusForbidden:
		c.addViolation("DENIED", "request %s was denied with %d", id, result.Status)
	}
	if result.Complete {
		c.checkNotFound(r)
	}
}

func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkTruncated looks at a request whose connection ended without a whole answer.
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
		c.addViolation("LOST", "%s cut request %s after %v around its planned stop; it ran %d times", r.request.Daemon, r.request.ID, elapsed, len(r.executions))
	case len(r.executions) > 0:
		if c.truncated++; c.truncated > maxTruncated {
			c.addViolation("LOST", "%s cut request %s after %v without a reason, and %d others were", r.request.Daemon, r.request.ID, elapsed, c.truncated-1)
		}
	}
}

// graceBound is the time from SIGTERM to the forced end of a process, and one second more.
const graceBound = 7 * time.Second
