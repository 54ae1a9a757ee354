package instance

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
)

// Fault is how a server treats the requests that it runs.
type Fault string

// The faults; all but Shed and Refuse run the request.
const (
	None Fault = ""
	// Shed rejects the request and says that it didn't run.
	Shed Fault = "shed"
	// Fail answers 500.
	Fail Fault = "fail"
	// Lose closes the connection instead of answering.
	Lose Fault = "lose"
	// Cut closes the connection in the middle of the body.
	Cut Fault = "cut"
	// Unframed sends a body without a length that ends with the connection, and UnframedCut resets it midway.
	Unframed    Fault = "unframed"
	UnframedCut Fault = "unframed cut"
	// Extra sends a second answer right after the first, and ExtraLate some time after it.
	Extra     Fault = "extra"
	ExtraLate Fault = "extra late"
	// NoStamp leaves out the stamp, Other answers in another request's name, and Packed marks the body as encoded.
	NoStamp Fault = "bare"
	WrongID Fault = "other"
	Encoded Fault = "packed"
	// Garbage sends bytes that are no answer.
	Garbage Fault = "junk"
	// Silent never answers.
	Silent Fault = "silent"
	// Crash ends the whole process.
	Crash Fault = "crash"
)

// Body is what every whole answer holds.
const Body = "the bytes of the answer, long enough to be cut in two"

// extraResponseDelay is the time before a late extra answer.
const extraResponseDelay = 30 * time.Millisecond

// Arrival is one request that reached a server; Executed tells that the server began to work on it.
type Arrival struct {
	ID       string
	Path     string
	Body     string
	Executed bool
}

// Run is one request that a server began to work on.
type Run struct {
	ID        string
	Path      string
	Body      string
	Remaining int
	At        time.Time
	// Ended is set when the caller left before the answer.
	Ended time.Time
}

// Server is one process of a server; set the exported fields before Run.
type Server struct {
	ID     string
	Pool   string
	Domain string
	Slots  int
	// ServiceTime is the time that a request takes, unless its query says otherwise in "ms".
	ServiceTime daisygap.Millis
	// Advertised is the address that its entry names, if that isn't its own.
	Advertised string
	// ColdStart is how long it is slow after its start.
	ColdStart daisygap.Millis
	// OnArrival is told of every arrival, if it is set.
	OnArrival func(Arrival)

	mu              sync.Mutex
	fault           Fault
	runs            []*Run
	running         int
	draining        bool
	sequence        int
	startedAtMillis int64
	listener        net.Listener
	http            *http.Server
}

// Run starts to serve on a free port of the loopback interface.
func (s *Server) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = l
	s.startedAtMillis = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	go func() {
		// Serve ends with Close.
		_ = s.http.Serve(l)
	}()
	return nil
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends the process at once.
func (s *Server) Close() {
	_ = s.http.Close()
}

// SetFault has the requests from now on treated in a way.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetDraining has the server say that it leaves.
func (s *Server) SetDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Runs returns the requests that it began to work on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []Run
	for _, r := range s.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Entry returns what the server writes of itself into the store.
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

// coldRemaining returns how much longer the server is slow.
func (s *Server) coldRemaining() daisygap.Millis {
	return max(0, s.ColdStart-daisygap.Millis(time.Now().UnixMilli()-s.startedAtMillis))
}

// ServeHTTP runs one request, or fails it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, fault := s.startRun(r, string(body))
	if s.OnArrival != nil {
		s.OnArrival(Arrival{ID: r.Header.Get("Request-Id"), Path: r.URL.RequestURI(), Body: string(body), Executed: run != nil})
	}
	if run == nil {
		w.Header().Set("Not-Executed", "1")
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

func (s *Server) startRun(r *http.Request, body string) (*Run, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == Shed || s.running >= 4*s.Slots {
		return nil, s.fault
	}
	remaining, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		remaining = -1
	}
	run := &Run{ID: r.Header.Get("Request-Id"), Path: r.URL.RequestURI(), Body: body, Remaining: remaining, At: time.Now()}
	s.runs = append(s.runs, run)
	s.running++
	return run, s.fault
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, run *Run, f Fault) {
	h := w.Header()
	h.Set("Request-Id", run.ID)
	h.Set("Response-Stamp", "stamp-"+run.ID)
	s.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.Slots))
	s.mu.Unlock()
	switch f {
	case Silent:
		<-r.Context().Done()
		s.mu.Lock()
		run.Ended = time.Now()
		s.mu.Unlock()
		return
	case Crash:
		s.Close()
		return
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case NoStamp:
		h.Del("Response-Stamp")
	case WrongID:
		h.Set("Request-Id", "another")
	case Encoded:
		h.Set("Content-Encoding", "gzip")
	case Lose, Cut, Unframed, UnframedCut, Extra, ExtraLate, Garbage:
		s.respondRaw(w, run, f)
		return
	case None, Shed:
	}
	_, _ = io.WriteString(w, Body)
}

// respondRaw writes to the connection itself what a sound server never would.
func (s *Server) respondRaw(w http.ResponseWriter, run *Run, f Fault) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\n", run.ID, run.ID)
	framedResponse := header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(Body), Body)
	switch f {
	case Cut:
		_, _ = io.WriteString(conn, framedResponse[:len(framedResponse)-len(Body)/2])
	case Unframed:
		_, _ = io.WriteString(conn, header+"\r\n"+Body)
	case UnframedCut:
		_, _ = io.WriteString(conn, header+"\r\n"+Body[:len(Body)/2])
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Extra:
		_, _ = io.WriteString(conn, framedResponse+framedResponse)
	case ExtraLate:
		_, _ = io.WriteString(conn, framedResponse)
		time.Sleep(extraResponseDelay)
		_, _ = io.WriteString(conn, framedResponse)
		// The connection stays open, as a faulty server's does.
		time.Sleep(10 * extraResponseDelay)
	case Garbage:
		_, _ = io.WriteString(conn, "this is no answer\r\n\r\n")
	}
}
