package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	server  string
	service string
	id      string
	path    string
	began   time.Time
	ended   time.Time
	// whole is set if the run came to its end, and not if the connection closed before.
	whole bool
}

// server is a sound server as PROTOCOL.md describes it: it has slots and a short queue, echoes Request-Id, stamps its answers, rejects
// requests for another instance, drops a request when its connection closes, and is faster for objects that it has handled.
type server struct {
	r       *rig
	id      string
	service string
	zone    string
	slots   int
	queue   int
	// work returns how long a request runs; warm reports whether the server has handled its object in this lifetime.
	work func(path string, warm bool) time.Duration
	// crashes reports whether a request crashes the server that begins to run it, which is back after a time.
	crashes func(path string) bool
	back    time.Duration

	mu       sync.Mutex
	lifetime int
	address  string
	born     int64
	sequence int
	http     *http.Server
	warm     map[string]bool
	waiting  int
	running  int
	free     chan struct{}
	runs     []*run
	gone     bool
	down     bool
	stop     chan struct{}
	// spoiling is set while the server spoils one in spoilEvery of its answers, and counts both.
	spoiling bool
	answered int
	spoiled  int
}

// spoilEvery keeps the share of spoiled answers below 0.03.
const spoilEvery = 34

// connKey is the context key of a connection's state.
type connKey struct{}

// connState is what a server remembers of a connection.
type connState struct{ spoiled bool }

// addServer starts a server and registers it in the store.
func (r *rig) addServer(s *server) error {
	s.r, s.stop = r, make(chan struct{})
	s.free = make(chan struct{}, s.slots)
	if err := s.begin("127.0.0.1:0"); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go s.beats()
	return nil
}

// begin starts a lifetime.
func (s *server) begin(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.born, s.sequence, s.warm, s.down = l.Addr().String(), time.Now().UnixMilli(), 0, make(map[string]bool), false
	s.http = &http.Server{Handler: s, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, new(connState))
	}}
	h := s.http
	s.mu.Unlock()
	// Serve ends with an error when the server stops.
	go func() { _ = h.Serve(l) }()
	return s.beat()
}

// beat writes the server's entry.
func (s *server) beat() error {
	s.mu.Lock()
	s.sequence++
	key := "servers/" + s.id
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.r.put(key, value)
}

func (s *server) beats() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(beat):
		}
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			// The store of the rig accepts every write.
			_ = s.beat()
		}
	}
}

// leave stops the server for good.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gone {
		s.gone = true
		close(s.stop)
		_ = s.http.Close()
	}
}

// crash stops the server at once; it is back with a new lifetime after some seconds.
func (s *server) crash() {
	s.mu.Lock()
	if s.down || s.gone {
		s.mu.Unlock()
		return
	}
	s.down = true
	address, id, server := s.address, s.id, s.http
	s.mu.Unlock()
	s.r.note("server %s: crashes", id)
	_ = server.Close()
	// The entry of the ended lifetime is removed after three intervals of silence.
	time.AfterFunc(3*beat, func() { _ = s.r.put("servers/"+id, nil) })
	time.AfterFunc(s.back, func() {
		s.mu.Lock()
		s.lifetime++
		base, _, _ := strings.Cut(id, ".")
		s.id = fmt.Sprintf("%s.%d", base, s.lifetime)
		s.mu.Unlock()
		if err := s.begin(address); err != nil {
			s.r.note("server %s isn't back: %v", id, err)
			return
		}
		s.r.note("server %s is back as %s", id, s.name())
	})
}

// name returns the id of the current lifetime.
func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// allRuns returns the requests that the servers began to run, by ID.
func (r *rig) allRuns() map[string][]run {
	r.mu.Lock()
	servers := r.servers
	r.mu.Unlock()
	byID := make(map[string][]run)
	for _, s := range servers {
		s.mu.Lock()
		for _, x := range s.runs {
			byID[x.id] = append(byID[x.id], *x)
		}
		s.mu.Unlock()
	}
	return byID
}

// object returns the value of the affinity cookie.
func object(r *http.Request) string {
	if c, err := r.Cookie("Request-Affinity"); err == nil {
		return c.Value
	}
	return ""
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.name() {
		h.Set("Instance-Id", s.name())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.enter() {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.free <- struct{}{}:
	case <-r.Context().Done():
		s.exit(false)
		return
	}
	x, work := s.beginRun(id, r)
	defer func() {
		<-s.free
		s.exit(true)
	}()
	if s.crashes != nil && s.crashes(r.URL.Path) {
		s.crash()
		return
	}
	body := fmt.Sprintf("%s answers %s for %s\n", s.service, r.URL.RequestURI(), id)
	stamp := fmt.Sprintf("%s.%d.%08x", id, len(body), crc32.ChecksumIEEE([]byte(body)))
	state := r.Context().Value(connKey{}).(*connState)
	if state.spoiled {
		s.answerAfterExtra(w, x, work, stamp, body)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.endRun(x, false)
		return
	}
	s.endRun(x, true)
	state.spoiled = s.spoils()
	h.Set("Response-Stamp", stamp)
	s.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
	s.mu.Unlock()
	h.Set("Content-Type", "text/plain")
	_, _ = io.Copy(w, strings.NewReader(body))
}

// enter takes a place in the queue. It returns false if that is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting+s.running >= s.slots+s.queue {
		return false
	}
	s.waiting++
	return true
}

// exit gives up the place of a request, which is a slot if it ran.
func (s *server) exit(ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ran {
		s.running--
	} else {
		s.waiting--
	}
}

func (s *server) beginRun(id string, r *http.Request) (*run, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	x := &run{server: s.id, service: s.service, id: id, path: r.URL.EscapedPath(), began: time.Now()}
	s.runs = append(s.runs, x)
	o := object(r)
	work := s.work(r.URL.Path, s.warm[o])
	s.warm[o] = true
	go s.r.note("server %s (%s): runs %s %s %s, %d ms of work", s.id, s.service, id, r.Method, r.URL.RequestURI(), work.Milliseconds())
	return x, work
}

func (s *server) endRun(x *run, whole bool) {
	s.mu.Lock()
	x.ended, x.whole = time.Now(), whole
	s.mu.Unlock()
	if whole {
		s.r.note("server %s (%s): has run %s to its end", s.id, s.service, x.id)
	} else {
		s.r.note("server %s (%s): drops %s, its connection was closed", s.id, s.service, x.id)
	}
}

// spoil begins or ends the time in which the server spoils some of its answers.
func (s *server) spoil(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoiling != on {
		s.spoiling = on
		go s.r.note("server %s: spoils some answers from now on: %t", s.id, on)
	}
}

// spoils reports whether the answer that is sent now is to be followed by bytes that belong to no request.
func (s *server) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.spoiling {
		return false
	}
	s.answered++
	if s.answered%spoilEvery != 0 {
		return false
	}
	s.spoiled++
	return true
}

// bareRefusals are the bytes that follow a spoiled answer: refusals that name no request.
var bareRefusals = []string{
	"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
}

// answerAfterExtra sends the additional bytes of the answer before, which arrive late, runs the request and answers it.
func (s *server) answerAfterExtra(w http.ResponseWriter, x *run, work time.Duration, stamp, body string) {
	c, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		s.endRun(x, false)
		return
	}
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	extra := bareRefusals[s.spoiled%len(bareRefusals)]
	s.mu.Unlock()
	status, _, _ := strings.Cut(extra, "\r\n")
	s.r.note("server %s: additional bytes of the answer before arrive late, while it runs %s: %q", s.id, x.id, status)
	_, _ = io.WriteString(c, extra)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		// A further request on the connection waits: the server serves one at a time.
		_, _ = io.Copy(io.Discard, buffer)
	}()
	select {
	case <-time.After(work):
	case <-closed:
		s.endRun(x, false)
		return
	}
	s.endRun(x, true)
	out := bufio.NewWriter(c)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		x.id, stamp, len(body), body)
	_ = out.Flush()
}
