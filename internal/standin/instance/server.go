package instance

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/port"
)

// Fault selects how a server misbehaves on requests.
type Fault string

// The faults. All but Shed run the request.
const (
	None Fault = ""
	// Shed rejects the request and reports that it was not executed.
	Shed Fault = "shed"
	// Fail responds with status 500.
	Fail Fault = "fail"
	// Lose closes the connection without a response.
	Lose Fault = "lose"
	// Cut closes the connection after half of the body, which breaks its Content-Length.
	Cut Fault = "cut"
	// Unframed sends a body without Content-Length, which ends when the connection closes.
	Unframed Fault = "unframed"
	// UnframedCut sends half of a body without Content-Length and resets the connection.
	UnframedCut Fault = "unframed cut"
	// Extra sends a second response right after the first.
	Extra Fault = "extra"
	// ExtraLate sends a second response extraResponseDelay after the first.
	ExtraLate Fault = "extra late"
	// NoStamp omits the Response-Stamp header.
	NoStamp Fault = "bare"
	// WrongID sends another Request-Id than the request's.
	WrongID Fault = "other"
	// Encoded sends a Content-Encoding header although the body is plain.
	Encoded Fault = "packed"
	// Garbage sends bytes that are not an HTTP response.
	Garbage Fault = "junk"
	// Silent never responds and keeps the connection open until the caller closes it.
	Silent Fault = "silent"
	// The Endless faults send bytes until the caller closes the connection: header lines, one header line, a body without a
	// length, digits of a chunk's size, a body of an error without a length, or bytes after a complete response.
	EndlessHeader Fault = "endless header"
	EndlessLine   Fault = "endless line"
	EndlessBody   Fault = "endless body"
	EndlessChunk  Fault = "endless chunk size"
	EndlessError  Fault = "endless error"
	EndlessExtra  Fault = "endless extra"
	// SlowHeader sends a byte of a header line every slowByteInterval.
	SlowHeader Fault = "slow header"
	// RepeatRefusal rejects the first request of a connection, runs the second one and answers it with the refusal once more, before
	// its own answer. RepeatBareRefusal does the same with refusals that name no request.
	RepeatRefusal     Fault = "repeat refusal"
	RepeatBareRefusal Fault = "repeat bare refusal"
	// BareStatus sends a 408, 421, 429 or 503 that names no request while it runs the request, before its own answer.
	BareStatus Fault = "bare status"
	// CutHeader closes the connection within the header of a response, at another byte for each request.
	CutHeader Fault = "cut header"
	// Crash stops the whole server.
	Crash Fault = "crash"
)

// Body is the body of every complete response.
const Body = "the bytes of the answer, long enough to be cut in two"

// extraResponseDelay is the delay of the second response of ExtraLate.
const extraResponseDelay = 30 * time.Millisecond

// slowByteInterval is the time between two bytes of SlowHeader.
const slowByteInterval = 50 * time.Millisecond

// endlessBlock is the size of one write of the Endless faults.
const endlessBlock = 16 << 10

// Arrival is one request that reached a server. Executed reports whether the server started to run it.
type Arrival struct {
	ID       string
	Path     string
	Body     string
	Executed bool
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
	// cuts selects where CutHeader cuts, and the status of BareStatus.
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
	l, err := net.Listen("tcp", address)
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
		s.OnArrival(Arrival{ID: r.Header.Get("Request-Id"), Path: r.RequestURI, Body: string(body), Executed: run != nil})
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
	run := &Run{ID: r.Header.Get("Request-Id"), Path: r.RequestURI, Body: body, Remaining: remaining, At: time.Now()}
	s.runs = append(s.runs, run)
	s.running++
	return run
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, run *Run, f Fault) {
	h := w.Header()
	if s.CrashPath != "" && strings.Contains(r.URL.Path, s.CrashPath) {
		s.Close()
		s.OnCrash()
		return
	}
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
	case Lose, Cut, Unframed, UnframedCut, Extra, ExtraLate, Garbage, CutHeader, BareStatus:
		s.respondRaw(w, run, f)
		return
	case EndlessHeader, EndlessLine, EndlessBody, EndlessChunk, EndlessError, EndlessExtra, SlowHeader:
		s.respondEndless(w, run, f)
		return
	case None, Shed:
	}
	_, _ = io.WriteString(w, Body)
}

// respondRaw writes malformed or incomplete responses directly to the connection, which net/http wouldn't send.
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
		// The connection stays open for a while, as that of a faulty server does.
		time.Sleep(10 * extraResponseDelay)
	case Garbage:
		_, _ = io.WriteString(conn, "this is no answer\r\n\r\n")
	case BareStatus:
		status := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}[s.cuts.Add(1)%4]
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		time.Sleep(extraResponseDelay)
		_, _ = io.WriteString(conn, framedResponse)
	case CutHeader:
		whole := header + "\r\n"
		_, _ = io.WriteString(conn, whole[:1+int(s.cuts.Add(1))%(len(whole)-1)])
	}
}

// repeatRefusal serves a connection as RepeatRefusal and RepeatBareRefusal describe.
func (s *Server) repeatRefusal(w http.ResponseWriter, r *http.Request, f Fault) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	if f == RepeatRefusal {
		refusal += "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
	}
	refusal += "\r\n"
	conn, stream, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, refusal)
	next, err := http.ReadRequest(stream.Reader)
	if err != nil {
		return
	}
	if next.URL.Path == HealthPath {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
		return
	}
	body, _ := io.ReadAll(next.Body)
	s.mu.Lock()
	run := s.recordRun(next, string(body))
	s.mu.Unlock()
	defer s.endRun()
	_, _ = io.WriteString(conn, refusal)
	time.Sleep(extraResponseDelay)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", run.ID, run.ID, len(Body), Body)
}

// respondEndless writes bytes to the connection until the caller closes it.
func (s *Server) respondEndless(w http.ResponseWriter, run *Run, f Fault) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\n", run.ID, run.ID)
	block := strings.Repeat("x", endlessBlock)
	pause := time.Duration(0)
	switch f {
	case EndlessHeader:
		block = strings.Repeat("X-More: more\r\n", endlessBlock/len("X-More: more\r\n"))
	case EndlessLine:
		header += "X-Long: "
	case EndlessBody:
		header += "\r\n"
	case EndlessChunk:
		header += "Transfer-Encoding: chunked\r\n\r\n"
		block = strings.Repeat("0", endlessBlock)
	case EndlessError:
		header = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + run.ID + "\r\n\r\n"
	case EndlessExtra:
		header += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(Body), Body)
	case SlowHeader:
		header, block, pause = header+"X-Slow: ", "x", slowByteInterval
	}
	blockBytes := []byte(block)
	for data := []byte(header); ; data = blockBytes {
		if _, err := conn.Write(data); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
