package instance

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/port"
)

// Arrival is one request that reached a server. Executed reports whether the server started to run it.
type Arrival struct {
	ID       string
	Path     string
	Body     string
	Executed bool
	// Header is the header of the request as it arrived.
	Header http.Header
}

// Run is one request that a server started to run.
type Run struct {
	ID   string
	Path string
	Body string
	// Remaining is the time until the request's deadline in milliseconds, or -1 without a deadline.
	Remaining int
	At        time.Time
	// Ended is when the caller canceled the request before the response, or zero.
	Ended time.Time
	// Customer is the customer's name that the request carries, or "".
	Customer string
}

// Server simulates one server process. Set the exported fields before Run.
type Server struct {
	ID     string
	Pool   string
	Domain string
	// Slots is the advertised capacity. Requests beyond four times as many are shed.
	Slots int
	// ServiceTime is how long a request runs, unless its query parameter "ms" sets another time.
	ServiceTime daisygap.Millis
	// Advertised is the address in the server's store entry. If empty, Address is used.
	Advertised string
	// ColdStart is how long after its start the server's store entry reports it as cold.
	ColdStart daisygap.Millis
	// RetryAfter is the header of that name in refusals with status 503. If empty, they have none.
	RetryAfter string
	// Listen is the address to listen on. If empty, it is a free loopback port.
	Listen string
	// CrashPath, if set, is a part of the paths of requests that stop the whole server, which then calls OnCrash.
	CrashPath string
	OnCrash   func()
	// OnArrival, if set, is called for every arrival except status checks.
	OnArrival func(Arrival)

	mu       sync.Mutex
	fault    Fault
	runs     []*Run
	running  int
	draining bool
	leaving  string
	limit    string
	sequence int
	// cuts selects where CutHeader cuts, and the status of BareStatus and InvalidStatus.
	cuts            atomic.Int64
	startedAtMillis int64
	listener        net.Listener
	http            *http.Server
}

// Run starts to serve.
func (s *Server) Run() error {
	address := s.Listen
	if address == "" {
		var err error
		if address, err = port.Free(); err != nil {
			return err
		}
	}
	l, err := port.Listen(address)
	if err != nil {
		return err
	}
	s.listener = l
	s.startedAtMillis = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() {
		// Serve always returns an error, after Close the expected ErrServerClosed.
		_ = s.http.Serve(l)
	}()
	return nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server and closes its connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
}

// SetFault sets the fault for all requests that start from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetDraining makes the server's store entry report that it is draining.
func (s *Server) SetDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetLeaving makes all responses bear the header Server-Leaving with this value. The store entry stays as it is.
func (s *Server) SetLeaving(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = value
}

// SetLimit makes all responses bear the header Server-Limit with this value.
func (s *Server) SetLimit(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = value
}

// Runs returns the requests that the server started to run, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []Run
	for _, r := range s.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Entry returns the server's own store entry, with a higher sequence number on each call.
func (s *Server) Entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	address := s.Advertised
	if address == "" {
		address = s.Address()
	}
	data, err := json.Marshal(map[string]any{
		"service": s.Pool, "address": address, "zone": s.Domain, "version": "v1", "slots": s.Slots, "state": state,
		"cold_remaining": fmt.Sprintf("%dms", s.coldRemaining()), "sequence": s.sequence, "born": s.startedAtMillis,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// coldRemaining returns the rest of the cold start, in milliseconds.
func (s *Server) coldRemaining() daisygap.Millis {
	return max(0, s.ColdStart-daisygap.Millis(time.Now().UnixMilli()-s.startedAtMillis))
}

// HealthPath is the path of status checks.
const HealthPath = "/health"

// serveHealth responds to a status check.
func (s *Server) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", s.ID)
	w.Header().Set("Cold-Milliseconds", strconv.FormatInt(int64(s.coldRemaining()), 10))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.fault == Shed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP runs one request under the current fault. It rejects requests that expect another instance.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == HealthPath {
		s.serveHealth(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, fault := s.startRun(r, string(body))
	s.mu.Lock()
	if s.leaving != "" {
		w.Header().Set("Server-Leaving", s.leaving)
	}
	if s.limit != "" {
		w.Header().Set("Server-Limit", s.limit)
	}
	s.mu.Unlock()
	if s.OnArrival != nil {
		s.OnArrival(Arrival{ID: r.Header.Get("Request-Id"), Path: r.RequestURI, Body: string(body), Executed: run != nil, Header: r.Header})
	}
	if run == nil {
		if fault == RepeatRefusal || fault == RepeatBareRefusal {
			s.repeatRefusal(w, r, fault)
			return
		}
		w.Header().Set("Not-Executed", "1")
		if s.RetryAfter != "" {
			w.Header().Set("Retry-After", s.RetryAfter)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endRun()
	select {
	case <-time.After(s.serviceTimeOf(r).Duration()):
	case <-r.Context().Done():
		s.mu.Lock()
		run.Ended = time.Now()
		s.mu.Unlock()
		return
	}
	s.respond(w, r, run, fault)
}

func (s *Server) serviceTimeOf(r *http.Request) daisygap.Millis {
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		return daisygap.Millis(ms)
	}
	return s.ServiceTime
}

// startRun records the start of a request and returns the current fault. The run is nil if the request is shed.
func (s *Server) startRun(r *http.Request, body string) (*Run, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == Shed || s.fault == RepeatRefusal || s.fault == RepeatBareRefusal || s.running >= 4*s.Slots {
		return nil, s.fault
	}
	return s.recordRun(r, body), s.fault
}

// recordRun records the start of a request; the caller holds the lock.
func (s *Server) recordRun(r *http.Request, body string) *Run {
	remaining, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		remaining = -1
	}
	run := &Run{ID: r.Header.Get("Request-Id"), Path: r.RequestURI, Body: body, Remaining: remaining, At: time.Now(), Customer: r.Header.Get("Tenant")}
	s.runs = append(s.runs, run)
	s.running++
	return run
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
