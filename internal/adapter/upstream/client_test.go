package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
)

// newBreakingServer returns a server that counts the requests and aborts the connection of each with a Break header.
func newBreakingServer(runs *atomic.Int32) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.Header.Get("Break") != "" {
			panic(http.ErrAbortHandler)
		}
	}))
}

// TestRequestNeverSentTwice guards against requests that net/http replays by itself: if a reused connection breaks, it sends
// requests with an idempotency key or an idempotent method again.
func TestRequestNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range []string{"", "{}"} {
			var runs atomic.Int32
			s := newBreakingServer(&runs)
			c := NewClient(nil, nil)
			warm, err := c.Send(context.Background(), newRequest(t, method, s.URL, body), false)
			if err != nil {
				t.Fatal(err)
			}
			_ = warm.Body.Close()
			r := newRequest(t, method, s.URL, body)
			r.Header.Set("Break", "1")
			res, err := c.Send(context.Background(), r, false)
			if err == nil {
				_ = res.Body.Close()
			}
			if !errors.Is(err, ErrMaybeExecuted) {
				t.Errorf("%s %q: %v, want ErrMaybeExecuted", method, body, err)
			}
			if n := runs.Load() - 1; n != 1 {
				t.Errorf("%s %q ran %d times, want once", method, body, n)
			}
			c.Close()
			s.Close()
		}
	}
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := NewClient(nil, nil)
	res, err := c.Send(context.Background(), newRequest(t, http.MethodPost, "http://"+address, "{}"), false)
	if err == nil {
		_ = res.Body.Close()
	}
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("%v, want ErrNotSent", err)
	}
}

// staleConn is a connection that the other side closed while it was idle, as the next write finds out.
type staleConn struct {
	net.Conn
	idle atomic.Bool
}

func (c *staleConn) Write(p []byte) (int, error) {
	if c.idle.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

// TestRequestOutlivesStaleConnection guards against a request that fails, although no byte of it was sent, because its reused
// connection had been closed.
func TestRequestOutlivesStaleConnection(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "{}"} {
			var runs atomic.Int32
			s := newBreakingServer(&runs)
			var last *staleConn
			c := NewClient(nil, func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				last = &staleConn{Conn: conn}
				return last, err
			})
			for range 2 {
				res, err := c.Send(context.Background(), newRequest(t, method, s.URL, body), false)
				if err != nil {
					t.Fatalf("%s %q: %v", method, body, err)
				}
				_ = res.Body.Close()
				last.idle.Store(true)
			}
			if n := runs.Load(); n != 2 {
				t.Errorf("%s %q: %d requests ran, want 2", method, body, n)
			}
			c.Close()
			s.Close()
		}
	}
}

func newRequest(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(daisygap.HeaderKey, "key-1")
	return r
}

// TestCutHeaderIsAnError guards against a response that looks whole although the server closed within its header, after any byte.
func TestCutHeaderIsAnError(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	cuts := make(chan int)
	go func() {
		for cut := range cuts {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(header[:cut]))
			_ = conn.Close()
		}
	}()
	defer close(cuts)
	c := NewClient(nil, nil)
	defer c.Close()
	for cut := range len(header) {
		cuts <- cut
		r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		res, err := c.Send(context.Background(), r, false)
		if err == nil {
			_ = res.Body.Close()
			t.Errorf("header cut after %d bytes gave status %d", cut, res.StatusCode)
		} else if !errors.Is(err, ErrMaybeExecuted) {
			t.Errorf("header cut after %d bytes: %v, want ErrMaybeExecuted", cut, err)
		}
	}
}

// TestEarlyEndOfIdleConnectionIsReported tells the end of a process from the other reasons for which a connection ends.
func TestEarlyEndOfIdleConnectionIsReported(t *testing.T) {
	for _, tt := range []struct {
		name string
		// closes reports whether the response announces the end of its connection.
		closes bool
		idle   time.Duration
		want   int32
	}{
		{"process ends", false, 100 * time.Millisecond, 1},
		{"announced", true, 100 * time.Millisecond, 0},
		{"idle for long", false, 1_100 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.closes {
					w.Header().Set("Connection", "close")
				}
				_, _ = w.Write([]byte("body"))
			}))
			defer s.Close()
			var ends atomic.Int32
			c := NewClient(nil, nil)
			defer c.Close()
			c.OnEarlyEnd = func(address string) {
				if address != s.Listener.Addr().String() {
					t.Errorf("early end of a connection to %s", address)
				}
				ends.Add(1)
			}
			res, err := c.Send(context.Background(), newRequest(t, http.MethodGet, s.URL, ""), false)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			time.Sleep(tt.idle)
			s.CloseClientConnections()
			time.Sleep(100 * time.Millisecond)
			if n := ends.Load(); n != tt.want {
				t.Errorf("%d early ends, want %d", n, tt.want)
			}
		})
	}
}

// TestWatchEndsWithTheConnection guards against a watch that misses the end of the other side, or outlives its context.
func TestWatchEndsWithTheConnection(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	c := NewClient(nil, nil)
	defer c.Close()
	for _, tt := range []struct {
		name string
		end  func(cancel context.CancelFunc)
		want error
	}{
		{"context", func(cancel context.CancelFunc) { cancel() }, context.Canceled},
		{"other side", func(context.CancelFunc) { s.Close() }, nil},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		opened, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- c.Watch(ctx, address, func() { close(opened) }) }()
		<-opened
		tt.end(cancel)
		select {
		case err := <-ended:
			if !errors.Is(err, tt.want) {
				t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
			}
		case <-time.After(time.Second):
			t.Errorf("%s: the watch goes on for a second", tt.name)
		}
		cancel()
	}
	if err := c.Watch(t.Context(), address, func() { t.Error("a connection to a closed server was opened") }); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("watch of a closed server: error %v, want ECONNREFUSED", err)
	}
}
