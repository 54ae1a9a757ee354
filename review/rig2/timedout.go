package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	// longTimeout and shortTimeout are the time-outs of the route before and after the change of the configuration.
	longTimeout  = "3000ms"
	shortTimeout = "1000ms"
	// reportWork is how long a report runs, and reportBudget how long its client waits.
	reportWork   = 1500 * time.Millisecond
	reportBudget = 3 * time.Second
	// reportBytes is the size of a report's body. Bodies of up to 64 MiB are permitted.
	reportBytes   = 1_500_000
	reportClients = 24
	// applied is the time after which a new configuration must be in force.
	applied = 2500 * time.Millisecond
)

// timedOut lets requests that may be repeated and have a large body reach the time-out of their route, after the operator shortened it. The
// rule LOST is broken if the daemon passes more than three of them on from kept connections and closes those without an answer.
func timedOut(r *rig) (bool, error) {
	routes := []site.Route{{Name: "reports", Prefix: "/reports/", Kind: "safe", Pool: "report-api", Timeout: longTimeout, Attempts: 1}}
	if err := r.start(routes, newServers("report-api", 6, 6, 18, reportWork), "lima-a", "lima-b"); err != nil {
		return false, err
	}
	r.awaitContact()
	if r.trouble {
		routes[0].Timeout = shortTimeout
		if err := r.site.Configure(routes); err != nil {
			return false, err
		}
		r.record("the operator has changed the time-out of the route from %s to %s", longTimeout, shortTimeout)
	}
	time.Sleep(applied)
	answers := make([]answer, reportClients)
	errs := make([]error, reportClients)
	body := strings.Repeat("r", reportBytes)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i], errs[i] = r.sendReport(r.daemons[i%len(r.daemons)], i, body) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return false, err
		}
	}
	return r.judgeReports(answers)
}

// sendReport sends a short request, and on the same connection one with a large body.
func (r *rig) sendReport(d *daemon, i int, body string) (answer, error) {
	c, err := dial(d.front)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	if a := c.send(http.MethodPost, fmt.Sprintf("/reports/%d?ms=5", i), fmt.Sprintf("first-%d", i), "ok", reportBudget); a.status != http.StatusOK {
		return a, fmt.Errorf("a short request: %v", a)
	}
	id := reportID(i)
	begin := time.Now()
	a := c.send(http.MethodPost, fmt.Sprintf("/reports/%d", i), id, body, reportBudget)
	r.record("client got for %s from %s after %.3f s: %v", id, d.name, time.Since(begin).Seconds(), a)
	return a, nil
}

func reportID(i int) string { return fmt.Sprintf("report-%d", i) }

func (r *rig) judgeReports(answers []answer) (bool, error) {
	runs := r.runsOf()
	answered, closed, other := 0, 0, 0
	for i, a := range answers {
		ran := len(runs[reportID(i)]) > 0
		switch {
		case a.err == nil:
			answered++
		case ran && !isTimeout(a.err):
			closed++
			r.record("LOST: %s ran at %v, and its client's kept connection was closed without an answer: %v", reportID(i), runs[reportID(i)], a)
		default:
			other++
		}
	}
	r.record("%d reports on kept connections: %d answered, %d passed on and closed without an answer, %d without an answer for another reason",
		len(answers), answered, closed, other)
	if !r.trouble && answered != len(answers) {
		return false, fmt.Errorf("without the disruption %d of %d reports were answered", answered, len(answers))
	}
	return closed > 3, nil
}
