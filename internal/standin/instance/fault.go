package instance

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
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
	// InvalidStatus responds with status 000, 101 or 600.
	InvalidStatus Fault = "invalid status"
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
	case Lose, Cut, Unframed, UnframedCut, Extra, ExtraLate, Garbage, CutHeader, BareStatus, InvalidStatus:
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
	case InvalidStatus:
		_, _ = io.WriteString(conn, strings.Replace(framedResponse, "200 OK", []string{"000 Zero", "101 Switching", "600 Beyond"}[s.cuts.Add(1)%3], 1))
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
