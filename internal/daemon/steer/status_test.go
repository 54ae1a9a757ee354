package steer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// rawServer answers each request with given bytes, in which {id} stands for the request's ID, and closes the connection. Status checks
// succeed, so that a daemon doesn't avoid the server for long.
type rawServer struct {
	net.Listener
	reply    atomic.Pointer[string]
	requests atomic.Int64
}

func startRawServer(t testing.TB) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &rawServer{Listener: ln}
	s.setReply("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n")
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) setReply(reply string) { s.reply.Store(&reply) }

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == instance.HealthPath {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(conn, strings.ReplaceAll(*s.reply.Load(), "{id}", r.Header.Get("Request-Id")))
}

// startRawSite starts a site with one daemon, in whose pools the raw server is the only one.
func startRawSite(t testing.TB) (*site.Site, *site.Daemon, *rawServer) {
	t.Helper()
	s := &site.Site{Regions: map[string]string{"n-1": "north"}, Routes: routes}
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	raw := startRawServer(t)
	for _, pool := range []string{"stock", "desk"} {
		if err := s.StartServer(&instance.Server{ID: "raw-" + pool, Pool: pool, Domain: "n-1", Slots: 200, ServiceTime: 5, Advertised: raw.Addr().String()}); err != nil {
			t.Fatal(err)
		}
	}
	d, err := s.Start("host-0", "n-1")
	if err != nil {
		t.Fatal(err)
	}
	if !site.Await(5*time.Second, d.Listeners.Daemon.Ready) {
		t.Fatal("the daemon isn't ready after 5 s")
	}
	return s, d, raw
}

// exchangeRaw sends one request on a connection of its own, and returns all that the daemon sends in response.
func exchangeRaw(t testing.TB, d *site.Daemon, method, target string) string {
	t.Helper()
	conn, err := net.Dial("tcp", d.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, rawRequest(method, target, fmt.Sprintf("raw-%d", requests.Add(1)))+"Cookie: Request-Affinity="+target+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	got, _ := io.ReadAll(conn)
	return string(got)
}

// TestInvalidStatusNeverReachesCaller guards against a status that isn't that of a final response: it ended the caller's connection, or was
// passed on. It counts as a failure of the server.
func TestInvalidStatusNeverReachesCaller(t *testing.T) {
	_, d, raw := startRawSite(t)
	for _, status := range []string{"000", "099", "101", "199", "600", "999"} {
		reached := raw.requests.Load()
		for name, body := range map[string]string{"none": "", "buffered": "ok", "streamed": strings.Repeat("x", 1<<18)} {
			for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
				for _, request := range []string{"GET /reads/1", "POST /orders/1"} {
					raw.setReply(fmt.Sprintf("%sHTTP/1.1 %s Odd\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", before, status, len(body), body))
					method, target, _ := strings.Cut(request, " ")
					got, _, _ := strings.Cut(exchangeRaw(t, d, method, target), "\r\n")
					// A daemon avoids a server after several failures.
					if got != "HTTP/1.1 502 Bad Gateway" && got != "HTTP/1.1 503 Service Unavailable" {
						t.Errorf("%s, body %s, %s, 1xx before %t: got %q, want a 502 or 503", status, name, request, before != "", got)
					}
				}
			}
		}
		if raw.requests.Load() == reached {
			t.Errorf("%s: no request reached the server", status)
		}
	}
	raw.setReply("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok")
	got := ""
	if !site.Await(5*time.Second, func() bool {
		got = exchangeRaw(t, d, http.MethodGet, "/reads/1")
		return strings.HasPrefix(got, "HTTP/1.1 200 OK")
	}) {
		t.Errorf("a valid response after a 103 gave %q", got)
	}
}

// TestInvalidStatusIsRetried guards against a read that fails although another server could serve it, and against an order that runs twice.
func TestInvalidStatusIsRetried(t *testing.T) {
	s, d, raw := startRawSite(t)
	good := &instance.Server{ID: "good-stock", Pool: "stock", Domain: "n-1", Slots: 200, ServiceTime: 5}
	if err := s.StartServer(good); err != nil {
		t.Fatal(err)
	}
	served := func() bool {
		_ = exchangeRaw(t, d, http.MethodGet, fmt.Sprintf("/reads/%d", requests.Load()))
		return len(good.Runs()) > 0
	}
	if !site.Await(5*time.Second, served) {
		t.Fatal("no read reached the good server")
	}
	// The retry budget is a fraction of the requests.
	for range 100 {
		served()
	}
	raw.setReply("HTTP/1.1 000 Odd\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n")
	failed := raw.requests.Load()
	for i := range 8 {
		if got := exchangeRaw(t, d, http.MethodGet, fmt.Sprintf("/reads/%d", i)); !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
			t.Errorf("read %d: %.60q", i, got)
		}
	}
	if raw.requests.Load() == failed {
		t.Error("no read reached the server with the invalid status")
	}
	// The daemon may avoid the server for a moment.
	if !site.Await(5*time.Second, func() bool {
		before := raw.requests.Load()
		got := exchangeRaw(t, d, http.MethodPost, "/orders/1")
		attempts := raw.requests.Load() - before
		if attempts > 1 {
			t.Errorf("an order was sent %d times", attempts)
		}
		return strings.HasPrefix(got, "HTTP/1.1 502") && attempts == 1
	}) {
		t.Error("no order was answered by a 502")
	}
}

// FuzzResponseHead checks that a caller receives a whole valid response or none, whatever a server sends.
func FuzzResponseHead(f *testing.F) {
	const own = "Request-Id: {id}\r\nResponse-Stamp: s\r\n"
	for _, status := range []string{"000", "+20", "099", "100", "101", "103", "200", "204", "205", "304", "500", "599", "600", "999", "2000"} {
		f.Add("HTTP/1.1 " + status + " X\r\n" + own + "Content-Length: 2\r\n\r\nok")
		f.Add("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 " + status + "\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: x\r\n\r\n")
		f.Add("HTTP/1.0 " + status + "\r\n" + own + "\r\nok")
	}
	f.Add("HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\nContent-Length: 3\r\nConnection: Content-Length\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\n" + own + "X: a\rb\x00c\r\nA B: c\r\nTrailer: T\r\nContent-Length: 0\r\n\r\n")
	_, d, raw := startRawSite(f)
	f.Fuzz(func(t *testing.T, reply string) {
		raw.setReply(reply)
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			got := exchangeRaw(t, d, method, "/orders/1")
			if got == "" {
				continue
			}
			in := bufio.NewReader(strings.NewReader(got))
			res, err := http.ReadResponse(in, &http.Request{Method: method})
			if err != nil {
				t.Fatalf("%s: invalid response %.200q to %.200q: %v", method, got, reply, err)
			}
			if res.StatusCode < 200 || res.StatusCode > 599 {
				t.Fatalf("%s: status %d in response to %.200q", method, res.StatusCode, reply)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil && len(got) < 100<<10 {
				t.Fatalf("%s: incomplete response %.200q to %.200q: %v", method, got, reply, err)
			}
			if rest, _ := io.ReadAll(in); len(rest) > 0 {
				t.Fatalf("%s: %.100q after the response to %.200q", method, rest, reply)
			}
		}
	})
}
