package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	curveBudget = 6 * time.Second
	// curveBytes is the size of an export, and curveRate the bytes per second at which its client reads it.
	curveBytes = 16_900_000
	curveRate  = 4_700_000
	// curveAfter is the time from the SIGTERM to the request.
	curveAfter = 2200 * time.Millisecond
	curves     = 4
	// linkBuffer and linkSegment give the client's connection the small window of a slow link.
	linkBuffer  = 32 << 10
	linkSegment = 1400
	// lastSixth is the start of the last sixth of the grace period, in which a server that is still at work excuses the cut.
	lastSixth = 5 * time.Second
)

// slowReader stops one of two daemons in calm while clients read large answers slowly, which their servers have finished long before. The rule
// LOST is broken if the daemon breaks off such an answer within its time budget.
func slowReader(r *rig) (bool, error) {
	routes := []site.Route{{Name: "curves", Prefix: "/curves/", Kind: "safe", Pool: "curve-api", Timeout: "6000ms"}}
	if err := r.start(routes, newServers("curve-api", 4, 6, 18, 20*time.Millisecond), "lima-a", "lima-b"); err != nil {
		return false, err
	}
	leaving := r.daemons[0]
	for i := range 20 {
		if a := r.readCurve(leaving, fmt.Sprintf("usual-%d", i), 1_000); a.err != nil || a.status != http.StatusOK {
			return false, fmt.Errorf("an export in calm: %v", a)
		}
	}
	r.record("20 small exports were answered in calm")
	r.awaitContact()
	named, err := resolve(leaving, regions[leaving.zone], leaving.zone)
	if err != nil || !slices.Contains(named, leaving.front) {
		return false, fmt.Errorf("the directory doesn't name %s: %v, %w", leaving.name, named, err)
	}
	r.record("the clients' directory names %v", named)
	term := time.Now()
	if r.trouble {
		if err := leaving.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		r.record("SIGTERM to %s", leaving.name)
	}
	time.Sleep(curveAfter)
	answers := make([]answer, curves)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = r.readCurve(leaving, curveID(i), curveBytes) })
	}
	group.Wait()
	return r.judgeCurves(answers, term)
}

func curveID(i int) string { return fmt.Sprintf("curve-%d", i) }

// dialSlowly opens a connection with a small window.
func dialSlowly(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment),
			)
		})
		return errors.Join(err, optionErr)
	}}
	return dialer.Dial("tcp", address)
}

// readCurve requests an export of a size and reads it at curveRate.
func (r *rig) readCurve(d *daemon, id string, size int) answer {
	conn, err := dialSlowly(d.front)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(curveBudget))
	begin := time.Now()
	r.record("client sends %s to %s, for %d bytes", id, d.name, size)
	_, err = fmt.Fprintf(conn, "GET /curves/%s?bytes=%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n\r\n", id, size, site.Host, id, curveBudget.Milliseconds())
	if err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	read := 0
	buffer := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = res.Body.Read(buffer)
		read += n
		time.Sleep(time.Until(begin.Add(time.Duration(float64(read) / curveRate * float64(time.Second)))))
	}
	a := answer{status: res.StatusCode, stamp: res.Header.Get("Response-Stamp"), body: fmt.Sprintf("%d bytes", read)}
	if !errors.Is(err, io.EOF) {
		a.err = err
	}
	r.record("client has %d of %d bytes of %s, %.2f s after the request: %v", read, size, id, time.Since(begin).Seconds(), a)
	return a
}

func (r *rig) judgeCurves(answers []answer, term time.Time) (bool, error) {
	whole, lost, other := 0, 0, 0
	for i, a := range answers {
		written, ran := r.writtenAt(curveID(i))
		switch {
		case a.err == nil && a.status == http.StatusOK:
			whole++
		case ran && !written.IsZero() && written.Before(term.Add(lastSixth)) && !isTimeout(a.err):
			lost++
			r.record("LOST: %s, whose server had written all of it %.2f s after the stop began, broke off: %v", curveID(i), written.Sub(term).Seconds(), a)
		default:
			other++
		}
	}
	r.record("%d exports: %d whole, %d broken off after their servers had finished, %d not served for another reason", len(answers), whole, lost, other)
	if !r.trouble && whole != len(answers) {
		return false, errors.New("without the disruption all exports must be whole")
	}
	return lost > 0, nil
}

// writtenAt returns when a server had written the whole answer to a request, and whether one ran it.
func (r *rig) writtenAt(id string) (time.Time, bool) {
	for _, s := range r.servers {
		s.mu.Lock()
		i := slices.IndexFunc(s.runs, func(run serverRun) bool { return run.id == id })
		var at time.Time
		if i >= 0 {
			at = s.runs[i].writtenAt
		}
		s.mu.Unlock()
		if i >= 0 {
			return at, true
		}
	}
	return time.Time{}, false
}
