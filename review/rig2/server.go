package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/port"
)

// server is one server process of the platform, which runs requests one at a time on each connection.
type server struct {
	id    string
	pool  string
	zone  string
	slots int
	// queue is the number of requests that may wait for a slot. Further ones are refused with 503 and Not-Executed.
	queue int
	// work is how long a request runs, unless its query parameter ms says so.
	work time.Duration
	// before, if set, is called on a connection when a request begins to run, before its answer is written.
	before func(c *serverConn)

	rig      *rig
	listener net.Listener
	born     int64
	slot     chan struct{}
	mu       sync.Mutex
	sequence int
	held     int
	conns    map[net.Conn]bool
	runs     []serverRun
}

// serverRun is one request that a server ran. It was at work until it had written its answer.
type serverRun struct {
	id        string
	at        time.Time
	writtenAt time.Time
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	in *bufio.Reader
	// refusal is the last refusal that was written to the connection.
	refusal string
}

func (s *server) listen(r *rig) error {
	address, err := port.Free()
	if err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return err
	}
	s.rig, s.born, s.conns = r, time.Now().UnixMilli(), make(map[net.Conn]bool)
	s.slot = make(chan struct{}, s.slots)
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(&serverConn{Conn: conn, in: bufio.NewReader(conn)})
		}
	}()
	return nil
}

func (s *server) close() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// entry returns the server's entry in the store.
func (s *server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	data, err := json.Marshal(map[string]any{
		"service": s.pool, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	for {
		req, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if err := s.answer(c, req); err != nil || req.Close {
			return
		}
	}
}

// errBroken is returned if the caller closed the connection while a request ran.
var errBroken = fmt.Errorf("the connection was closed while the request ran")

// answer runs one request or refuses it.
func (s *server) answer(c *serverConn, req *http.Request) error {
	id := req.Header.Get("Request-Id")
	if want := req.Header.Get("Expected-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		return err
	}
	if req.URL.Path == instance.HealthPath {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nCold-Milliseconds: 0\r\nContent-Length: 0\r\n\r\n", s.id)
		return err
	}
	s.mu.Lock()
	if s.held >= s.slots+s.queue {
		s.mu.Unlock()
		c.refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		_, err := io.WriteString(c, c.refusal)
		return err
	}
	s.held++
	s.mu.Unlock()
	s.slot <- struct{}{}
	defer func() {
		<-s.slot
		s.mu.Lock()
		s.held--
		s.mu.Unlock()
	}()
	return s.runRequest(c, req, id)
}

func (s *server) runRequest(c *serverConn, req *http.Request, id string) error {
	work := s.work
	if ms, err := strconv.Atoi(req.URL.Query().Get("ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	s.mu.Lock()
	run := len(s.runs)
	s.runs = append(s.runs, serverRun{id: id, at: time.Now()})
	s.mu.Unlock()
	s.rig.record("%s runs %s", s.id, id)
	if s.before != nil {
		s.before(c)
	}
	// A byte or the end of the connection while the request runs.
	_ = c.SetReadDeadline(time.Now().Add(work))
	if _, err := c.in.Peek(1); err != nil && !isTimeout(err) {
		s.rig.record("%s was at work on %s when its connection ended", s.id, id)
		return errBroken
	}
	_ = c.SetReadDeadline(time.Time{})
	body := "the answer to " + id
	if size, err := strconv.Atoi(req.URL.Query().Get("bytes")); err == nil {
		body = strings.Repeat("x", size)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	if err == nil {
		s.mu.Lock()
		s.runs[run].writtenAt = time.Now()
		s.mu.Unlock()
		s.rig.record("%s has written the answer to %s", s.id, id)
	}
	return err
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// runsOf returns the runs of all servers by the request's ID.
func (r *rig) runsOf() map[string][]string {
	runs := make(map[string][]string)
	for _, s := range r.servers {
		s.mu.Lock()
		for _, run := range s.runs {
			runs[run.id] = append(runs[run.id], s.id)
		}
		s.mu.Unlock()
	}
	return runs
}

// servers returns a number of servers of a pool, in the zones by turns.
func newServers(pool string, count, slots, queue int, work time.Duration) []*server {
	zones := []string{"lima-a", "lima-b"}
	var list []*server
	for i := range count {
		list = append(list, &server{
			id: fmt.Sprintf("%s-%d", strings.TrimSuffix(pool, "-api"), i+1), pool: pool, zone: zones[i%len(zones)], slots: slots, queue: queue, work: work,
		})
	}
	return list
}
