package promise

import (
	"net/http"
	"time"
)

const (
	// limitNotice is how long daemons may take to keep a rate after a server first named it, and informedDelay how long after a daemon
	// passed on such a response its requests count.
	limitNotice   = 4 * time.Second
	informedDelay = 500 * time.Millisecond
	// A server may get limitOvershoot times its rate plus limitSlack requests in any limitWindow.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// limit is the rate that a server names in its responses, and the requests that count against it.
type limit struct {
	// rate is in requests per second; named is when the server first named it, or zero while it names none.
	rate  float64
	named time.Time
	// informed holds when a daemon's process first passed on a response that names the rate, by incarnationKey.
	informed map[string]time.Time
	arrivals []time.Time
}

// ServerLimited records that a server names a rate in its responses from now on, or none if the rate is negative.
func (c *Checker) ServerLimited(s *Server, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.limit = limit{rate: rate}
	if rate >= 0 {
		s.limit.named, s.limit.informed = time.Now(), make(map[string]time.Time)
	}
}

// checkLimit counts a request that reached a server that names its rate.
func (c *Checker) checkLimit(s *Server, r *requestRecord, now time.Time) {
	l := &s.limit
	informed, known := l.informed[incarnationKey(r.request)]
	if l.named.IsZero() || now.Sub(l.named) < limitNotice || !known || now.Sub(informed) < informedDelay || !c.Faults.FaultFree(now, now, r.request.Daemon, s.ID) {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if n, allowed := len(l.arrivals), limitOvershoot*l.rate*limitWindow.Seconds()+limitSlack; float64(n) > allowed {
		c.addViolation("LIMIT", "%s, which takes %g requests per second, received %d in %v, last %s", s.ID, l.rate, n, limitWindow, r.request.ID)
	}
}

// noteLimit records that a daemon passed on a response of a server that names its rate.
func (r *requestRecord) noteLimit() {
	if r.result.Status != http.StatusOK || len(r.executions) != 1 || !r.executions[0].limited {
		return
	}
	l, key := &r.executions[0].server.limit, incarnationKey(r.request)
	if _, known := l.informed[key]; !known && l.informed != nil {
		l.informed[key] = r.result.Ended
	}
}
