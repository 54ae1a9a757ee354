package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	refusalBudget = 2 * time.Second
	// spoiledShare is the share of the answers that a faulty server spoils, and spoiledFor for how long.
	spoiledShare = 0.03
	spoiledFor   = 5 * time.Second
	// callersPerDaemon is the number of clients of each daemon. They are more than the servers have slots and queue for, so that the
	// servers refuse some requests.
	callersPerDaemon = 16
)

// staleRefusal lets some servers write the first part of an earlier refusal once more on a kept connection, where the next answer is
// expected. The rule REFUSED is broken if a client is told 503 for a booking that a server ran, and TWICE if a booking runs twice.
func staleRefusal(r *rig) (bool, error) {
	routes := []site.Route{{Name: "bookings", Prefix: "/bookings/", Kind: "unsafe", Pool: "booking-api", Attempts: 2}}
	servers := newServers("booking-api", 5, 2, 1, 25*time.Millisecond)
	for _, s := range servers[:3] {
		s.before = r.spoil(s)
	}
	if err := r.start(routes, servers, "lima-a", "lima-b"); err != nil {
		return false, err
	}
	r.awaitContact()
	begin := time.Now()
	end := begin.Add(spoiledFor + time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	for n, d := range r.daemons {
		for i := range callersPerDaemon {
			group.Go(func() {
				r.book(d, fmt.Sprintf("c%d-%d", n, i), end, func(id string, a answer) {
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			})
		}
	}
	group.Wait()
	return r.judgeRefusals(answers), nil
}

// spoil returns what a faulty server does before an answer: for a share of them, it writes the first part of the last refusal on the
// connection once more. The part ends at a random byte.
func (r *rig) spoil(s *server) func(*serverConn) {
	var once sync.Once
	var until time.Time
	return func(c *serverConn) {
		once.Do(func() { until = time.Now().Add(spoiledFor) })
		if !r.trouble || c.refusal == "" || time.Now().After(until) || rand.Float64() >= spoiledShare {
			return
		}
		part := c.refusal[:1+rand.IntN(len(c.refusal)-1)]
		r.record("%s writes %d bytes of an earlier refusal once more: %q", s.id, len(part), part)
		_, _ = io.WriteString(c, part)
	}
}

// book sends bookings one after the other on a kept connection, each with an ID of its own.
func (r *rig) book(d *daemon, name string, end time.Time, ended func(string, answer)) {
	var c *client
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = dial(d.front); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, i)
		a := c.post(fmt.Sprintf("/bookings/%s", id), id, refusalBudget)
		r.record("%s answered %s: %s", d.name, id, a.short())
		ended(id, a)
		if a.err != nil || a.closing {
			c.close()
			c = nil
		}
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if c != nil {
		c.close()
	}
}

func (r *rig) judgeRefusals(answers map[string]answer) bool {
	runs := r.runsOf()
	twice, refused, changed := 0, 0, 0
	for id, a := range answers {
		ran := runs[id]
		if len(ran) > 1 {
			twice++
			r.record("TWICE: %s ran at %v, and the client got: %v", id, ran, a)
		}
		if len(ran) == 0 || a.err != nil {
			continue
		}
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			r.record("REFUSED: %s ran at %v, and the client got: %v", id, ran, a)
		}
		if a.status != http.StatusOK && a.stamp != "" {
			changed++
			r.record("MIXED: %s was answered 200 by %v, and the client got: %v", id, ran, a)
		}
	}
	r.record("%d bookings: %d ran twice, %d ran and were refused, %d have the stamp of a server and another status", len(answers), twice, refused, changed)
	return twice+refused+changed > 0
}
