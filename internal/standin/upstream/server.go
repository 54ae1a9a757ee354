package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/port"
)

// LostPath is the path of requests whose responses are lost: the server runs them and closes the connection.
const LostPath = "/lost"

// PoisonPath is the path of requests that crash the server that runs them.
const PoisonPath = "/poison"

// Record holds the server's own counts of what it ran, so that tests can check the daemons against them.
type Record struct {
	// Runs is the number of times that each request was started, by its ID.
	Runs map[string]int
	// PeakRunning is the highest number of requests that ran at the same time.
	PeakRunning int
	Shed        int
	Crashes     int
	// Last is the time at which the latest request started.
	Last daisygap.Millis
	// SlotTime is the sum over all slots of the time in use, in milliseconds.
	SlotTime daisygap.Millis
	// Canceled is the number of requests that were canceled before the response.
	Canceled int
}

// Server is one upstream. Set the exported fields before Run.
type Server struct {
	Name  string
	Clock *daisygap.Clock
	Slots int
	// ServiceTime is the mean service time. The time of a request is uniform between half and one and a half of it.
	ServiceTime daisygap.Millis
	// ResponseBytes is the size of a response body, in bytes.
	ResponseBytes int
	// ColdStart is how long the server is cold after the restart that follows a crash. Requests that start while the
	// server is cold take three times as long.
	ColdStart daisygap.Millis
	// RestartDelay is how long the server is down after a crash.
	RestartDelay daisygap.Millis
	Seed         uint64

	mu      sync.Mutex
	random  *rand.Rand
	running int
	// slotTimeAt is the time up to which record.SlotTime is summed.
	slotTimeAt daisygap.Millis
	// coldSince is the time of the latest restart after a crash.
	coldSince daisygap.Millis
	draining  bool
	record    Record
	address   string
	server    *http.Server
	closed    bool
	wg        sync.WaitGroup
}

// Run starts to serve on an address. Port 0 selects a free port. The server is warm after Run.
func (s *Server) Run(address string) error {
	s.random = rand.New(rand.NewPCG(s.Seed, 7))
	s.record.Runs = make(map[string]int)
	s.coldSince = s.Clock.Now() - s.ColdStart
	return s.listen(address)
}

func (s *Server) listen(address string) error {
	listener, err := port.Listen(address)
	if err != nil {
		return daisygap.WrapError("listen", address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	server := s.server
	s.wg.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Drain sets whether the server signals in its responses and health checks that it is draining.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// Record returns a copy of the server's record.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRunning(0)
	r := s.record
	r.Runs = make(map[string]int, len(s.record.Runs))
	for id, n := range s.record.Runs {
		r.Runs[id] = n
	}
	return r
}

// Close stops the server immediately, for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
	s.wg.Wait()
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set(daisygap.HeaderDrain, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": s.running, "slots": s.Slots})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	serviceTime, ok := s.startRequest(r)
	if !ok {
		w.Header().Set(daisygap.HeaderRun, string(daisygap.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endRequest()
	if r.URL.Path == LostPath {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == PoisonPath {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if !s.waitServiceTime(r.Context(), serviceTime) {
		return
	}
	s.respond(w, r)
}

// startRequest takes a slot and returns the request's service time. It returns false if all slots are in use and the
// request is shed.
func (s *Server) startRequest(r *http.Request) (daisygap.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		s.record.Shed++
		return 0, false
	}
	s.addRunning(1)
	s.record.PeakRunning = max(s.record.PeakRunning, s.running)
	s.record.Runs[r.Header.Get(daisygap.HeaderID)]++
	now := s.Clock.Now()
	s.record.Last = now
	serviceTime := s.ServiceTime/2 + daisygap.Millis(s.random.Int64N(int64(s.ServiceTime)+1))
	if now-s.coldSince < s.ColdStart {
		serviceTime *= 3
	}
	return serviceTime, true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRunning(-1)
}

// addRunning changes the number of running requests and updates the slot time. The caller must hold s.mu.
func (s *Server) addRunning(delta int) {
	now := s.Clock.Now()
	s.record.SlotTime += daisygap.Millis(s.running) * (now - s.slotTimeAt)
	s.slotTimeAt = now
	s.running += delta
}

// waitServiceTime waits for the service time and reports whether it passed before the request was canceled.
func (s *Server) waitServiceTime(ctx context.Context, serviceTime daisygap.Millis) bool {
	timer := time.NewTimer(serviceTime.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.Canceled++
		return false
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		w.Header().Set(daisygap.HeaderDrain, "1")
	}
	line := fmt.Sprintf("%s %s\n", r.Header.Get(daisygap.HeaderID), s.Name)
	size := max(s.ResponseBytes, len(line))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, line)
	_, _ = io.CopyN(w, fillReader{}, int64(size-len(line)))
}

// crash closes every connection. The server restarts cold on the same address after RestartDelay.
func (s *Server) crash() {
	s.mu.Lock()
	s.record.Crashes++
	server, address := s.server, s.address
	s.mu.Unlock()
	s.wg.Go(func() {
		_ = server.Close()
		time.Sleep(s.RestartDelay.Duration())
		s.mu.Lock()
		s.coldSince = s.Clock.Now()
		closed := s.closed
		s.mu.Unlock()
		if !closed {
			_ = s.listen(address)
		}
	})
}

type fillReader struct{}

// Read fills the buffer with the letter x.
func (fillReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
