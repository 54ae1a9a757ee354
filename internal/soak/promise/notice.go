package promise

import (
	"net/http"
	"time"
)

const (
	// pauseReaction is how long requests may still reach a server after it asked a daemon for a pause, and maxDuringPause the number of
	// later ones until the pause is over.
	pauseReaction  = 500 * time.Millisecond
	maxDuringPause = 2
)

// notices holds the departure and the pauses that a server announced in its responses, by incarnationKey.
type notices struct {
	// leaving reports whether the responses to requests that begin now say that the server is leaving.
	leaving bool
	// departures holds when a process first passed on a response that says so.
	departures map[string]time.Time
	// pauses holds the pauses that the server asked for.
	pauses map[string]pause
}

// pause is a pause and the number of requests that reached the server during it.
type pause struct {
	from     time.Time
	until    time.Time
	arrivals int
}

// ServerLeaving records that a server announces its departure in its responses from now on.
func (c *Checker) ServerLeaving(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.notices.leaving = true
}

// checkNotices checks a request that reached a server against the notices in earlier responses to the daemon.
func (c *Checker) checkNotices(s *Server, r *requestRecord, executed bool, now time.Time) {
	key := incarnationKey(r.request)
	since, announced := s.notices.departures[key]
	if announced && r.request.Sent.Sub(since) > drainBound && c.Faults.DaemonFaultFree(since, now, r.request.Daemon) {
		c.addViolation("DRAIN", "%s sent request %s to %s %v after it passed on a response of the leaving server", r.request.Daemon, r.request.ID, s.ID, now.Sub(since))
	}
	p := s.notices.pauses[key]
	if now.After(p.from) && now.Before(p.until) && c.Faults.FaultFree(p.from, now, r.request.Daemon, s.ID) {
		if p.arrivals++; p.arrivals == maxDuringPause+1 {
			c.addViolation("BUDGET", "%s sent %d requests to %s during a pause, last %s", r.request.Daemon, p.arrivals, s.ID, r.request.ID)
		}
	}
	if end := now.Add(s.Pause); !executed && s.Pause > 0 && end.After(p.until) {
		if now.After(p.until) {
			p.from, p.arrivals = now.Add(pauseReaction), 0
		}
		p.until = end
	}
	if s.notices.pauses == nil {
		s.notices.pauses = make(map[string]pause)
	}
	s.notices.pauses[key] = p
}

// noteDeparture records that a daemon passed on the response of a server that says that it is leaving.
func (r *requestRecord) noteDeparture() {
	if r.result.Status != http.StatusOK || len(r.executions) != 1 || !r.executions[0].leaving {
		return
	}
	n, key := &r.executions[0].server.notices, incarnationKey(r.request)
	if _, announced := n.departures[key]; announced {
		return
	}
	if n.departures == nil {
		n.departures = make(map[string]time.Time)
	}
	n.departures[key] = r.result.Ended
}
