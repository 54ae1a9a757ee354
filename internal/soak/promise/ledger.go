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
	drainBound     = 2_500 * time.Millisecond
	configBound    = 2_500 * time.Millisecond
	evacuateBound  = 5 * time.Second
	regressBound   = 250 * time.Millisecond
	lossBound      = 200 * time.Millisecond
	timeoutBound   = 500 * time.Millisecond
	leaveBound     = 500 * time.Millisecond
	budgetWindow   = 10 * time.Second
	coldOvershoot  = 1.5
	coldSlack      = 5
	mostOverBudget = 3
	mostLost       = 3
	mostGone       = 3
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
	// Repeat tells that it may run more than once, on Attempts servers at most.
	Repeat   bool
	Attempts int
	Timeout  time.Duration
	// Home is the only region that may serve it; "" allows all.
	Home string
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
	ColdUntil time.Time
	ColdRate  float64

	left    time.Time
	arrived []time.Time
}

// Checker holds all requests of a run and what became of them; set the fields before use, it is safe for concurrent use.
type Checker struct {
	Faults *FaultHistory
	// RetryRatio and RetrySlack bound the repeats in ten seconds.
	RetryRatio float64
	RetrySlack float64

	mu          sync.Mutex
	requests    map[string]*request
	order       []*request
	evacuated   map[string]time.Time
	generations []generation
	served      map[string]seen
	arrivals    map[string][]arrival
	stops       map[string][]time.Time
	broken      []string
	lost        int
	overBudget  int
}

type request struct {
	ask    Request
	result *Result
	// arrivals counts all that reached servers, runs those that were executed.
	arrivals int
	runs     []*run
}

type run struct {
	server *Server
	at     time.Time
}

type generation struct {
	added   time.Time
	removed time.Time
}

// seen is the newest generation that a process showed, and when.
type seen struct {
	generation int
	at         time.Time
}

type arrival struct {
	at     time.Time
	repeat bool
}

// Violations returns the promises that were broken.
func (l *Checker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

func (l *Checker) fail(rule, format string, args ...any) {
	l.broken = append(l.broken, rule+": "+fmt.Sprintf(format, args...))
}

// RequestSent notes a request before it is sent.
func (l *Checker) RequestSent(a Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests == nil {
		l.requests = make(map[string]*request)
	}
	r := &request{ask: a}
	l.requests[a.ID] = r
	l.order = append(l.order, r)
}

// RequestArrived checks a request that reached a server.
func (l *Checker) RequestArrived(s *Server, a instance.Arrival) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[a.ID]
	if r == nil {
		l.fail("UNASKED", "%s got request %q, which nobody sent", s.ID, a.ID)
		return
	}
	r.arrivals++
	if l.arrivals == nil {
		l.arrivals = make(map[string][]arrival)
	}
	l.arrivals[s.Pool] = append(l.arrivals[s.Pool], arrival{now, r.arrivals > 1})
	s.arrived = append(s.arrived, now)
	l.checkPlace(s, r, now)
	l.checkCold(s, now)
	if a.Executed {
		l.checkRun(s, r, a, now)
	}
}

// checkRun checks that a request may run, and runs as it was sent.
func (l *Checker) checkRun(s *Server, r *request, a instance.Arrival, now time.Time) {
	r.runs = append(r.runs, &run{server: s, at: now})
	switch {
	case a.Path != r.ask.Path || a.Body != r.ask.Body:
		l.fail("UNASKED", "request %s was changed to %s", a.ID, a.Path)
	case !r.ask.Route.Repeat && len(r.runs) > 1:
		l.fail("TWICE", "request %s ran %d times, lastly at %s", a.ID, len(r.runs), s.ID)
	case !r.ask.Route.Repeat && r.result != nil && promisesNotRun(r.result.Status):
		l.fail("REFUSED", "request %s ran at %s after its refusal with %d", a.ID, s.ID, r.result.Status)
	case r.ask.Route.Pool != s.Pool:
		l.fail("ROUTE", "request %s of pool %s ran at %s of %s", a.ID, r.ask.Route.Pool, s.ID, s.Pool)
	case r.ask.Route.Home != "" && r.ask.Route.Home != s.Region:
		l.fail("HOME", "request %s of %s ran at %s in %s", a.ID, r.ask.Route.Home, s.ID, s.Region)
	case len(r.runs) == r.ask.Route.Attempts+1:
		if l.overBudget++; l.overBudget > mostOverBudget {
			l.fail("BUDGET", "request %s ran on more than %d servers, as %d others", a.ID, r.ask.Route.Attempts, l.overBudget-1)
		}
	}
	l.noteGeneration(r, now)
}

// checkPlace checks that a server may still get work.
func (l *Checker) checkPlace(s *Server, r *request, now time.Time) {
	if late := now.Sub(s.left); !s.left.IsZero() && late > drainBound && l.Faults.FaultFree(s.left, now, r.ask.Daemon, s.ID) {
		l.fail("DRAIN", "%s sent request %s to %s %v after it had left", r.ask.Daemon, r.ask.ID, s.ID, late)
	}
	since := l.evacuated[s.Domain]
	if late := now.Sub(since); !since.IsZero() && late > evacuateBound && l.Faults.FaultFree(since, now, r.ask.Daemon, s.ID) {
		l.fail("EVAC", "%s sent request %s to %s %v after its domain was evacuated", r.ask.Daemon, r.ask.ID, s.ID, late)
	}
}

// checkCold bounds the arrivals of the last second at a cold server.
func (l *Checker) checkCold(s *Server, now time.Time) {
	if now.After(s.ColdUntil) || !l.Faults.DaemonFaultFree(now, now, s.ID) {
		return
	}
	n := 0
	for _, at := range s.arrived {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if most := s.ColdRate*coldOvershoot + coldSlack; float64(n) > most {
		l.fail("FAILBACK", "cold %s got %d requests in a second, at most %.0f", s.ID, n, most)
	}
}

// ServerLeft notes that the store acknowledged a server's leaving.
func (l *Checker) ServerLeft(s *Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.left.IsZero() {
		s.left = time.Now()
	}
}

// SetEvacuated notes that a domain is to get nothing, or is taken back.
func (l *Checker) SetEvacuated(domain string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evacuated == nil {
		l.evacuated = make(map[string]time.Time)
	}
	delete(l.evacuated, domain)
	if on {
		l.evacuated[domain] = time.Now()
	}
}

// DaemonStopping notes SIGTERM for a daemon.
func (l *Checker) DaemonStopping(daemon string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stops == nil {
		l.stops = make(map[string][]time.Time)
	}
	l.stops[daemon] = append(l.stops[daemon], time.Now())
}

// StopFailed notes a daemon that was told to stop at a time and didn't do so in time or without a cut.
func (l *Checker) StopFailed(daemon string, told time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Faults.DaemonFaultFree(told, time.Now(), daemon) {
		l.fail("STOP", "%s: %v", daemon, err)
	}
}

// RequestEnded checks what a caller saw.
func (l *Checker) RequestEnded(id string, got Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.result = &got
	switch {
	case !got.Complete:
		l.checkLost(r)
	case got.ID != "" && got.ID != id:
		l.fail("MIXED", "request %s got the answer to %s", id, got.ID)
	case got.Status < http.StatusMultipleChoices && (got.Stamp != "stamp-"+id || got.Body != instance.Body):
		l.fail("MIXED", "request %s got a success that is no server's: stamp %q, %d bytes", id, got.Stamp, len(got.Body))
	case !r.ask.Route.Repeat && promisesNotRun(got.Status) && len(r.runs) > 0:
		l.fail("REFUSED", "request %s was refused with %d and ran at %s", id, got.Status, r.runs[0].server.ID)
	case got.Status == http.StatusBadRequest || got.Status == http.StatusUnauthorized || got.Status == http.StatusForbidden:
		l.fail("DENIED", "request %s was denied with %d", id, got.Status)
	}
	if got.Complete {
		l.checkGeneration(r)
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkLost looks at a request whose connection ended without a whole answer.
func (l *Checker) checkLost(r *request) {
	got := r.result
	if !got.Connected || !r.ask.CancelAt.IsZero() || !l.Faults.DaemonFaultFree(r.ask.Sent, got.Ended, r.ask.Daemon) {
		return
	}
	planned := false
	for _, at := range l.stops[r.ask.Daemon] {
		planned = planned || r.ask.Sent.Before(at.Add(graceBound)) && got.Ended.After(at)
	}
	took := got.Ended.Sub(r.ask.Sent)
	switch {
	case planned && (len(r.runs) > 0 || took > lossBound):
		l.fail("LOST", "%s cut request %s after %v around its planned stop; it ran %d times", r.ask.Daemon, r.ask.ID, took, len(r.runs))
	case len(r.runs) > 0:
		if l.lost++; l.lost > mostLost {
			l.fail("LOST", "%s cut request %s after %v without a reason, and %d others were", r.ask.Daemon, r.ask.ID, took, l.lost-1)
		}
	}
}

// graceBound is the time from SIGTERM to the forced end of a process, and one second more.
const graceBound = 7 * time.Second
