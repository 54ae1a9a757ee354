package steer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

// rawCaller is a caller that writes its bytes to a connection of its own.
type rawCaller struct {
	*net.TCPConn
	in *bufio.Reader
}

func dialRaw(t *testing.T, d *site.Daemon) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", d.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &rawCaller{TCPConn: conn.(*net.TCPConn), in: bufio.NewReader(conn)}
}

// rawRequest returns the head of a request, without the empty line that ends it.
func rawRequest(method, target, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 2000\r\n", method, target, site.Host, id)
}

// response reads one response with its body.
func (c *rawCaller) response(method string) (*http.Response, error) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res, err
}

// TestHalfClosedCallerGetsNoEmptySuccess guards against a 200 that no upstream made: net/http completes a handler that has written
// nothing. An order goes on, since its caller may read on; a read is given up, since its caller may be gone.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	ts := start(t, "n-1")
	order := dialRaw(t, ts.daemons[0])
	_, _ = io.WriteString(order, rawRequest(http.MethodPost, "/orders/1?ms=300", "half-1")+"Content-Length: 2\r\n\r\nok")
	read := dialRaw(t, ts.daemons[0])
	_, _ = io.WriteString(read, rawRequest(http.MethodGet, "/reads/1?ms=300", "half-2")+"\r\n")
	time.Sleep(100 * time.Millisecond)
	_ = order.CloseWrite()
	_ = read.CloseWrite()
	res, err := order.response(http.MethodPost)
	switch {
	case err != nil:
		t.Errorf("order: %v", err)
	case res.StatusCode != http.StatusOK || res.Header.Get("Response-Stamp") != "stamp-half-1":
		t.Errorf("order got status %d, stamp %q", res.StatusCode, res.Header.Get("Response-Stamp"))
	}
	if res, err := read.response(http.MethodGet); err == nil {
		t.Errorf("read got status %d, stamp %q, want a closed connection", res.StatusCode, res.Header.Get("Response-Stamp"))
	}
}

// TestOrderOfCallerThatLeftIsNotSent guards against work for a caller that closed its connection before an upstream was found.
func TestOrderOfCallerThatLeftIsNotSent(t *testing.T) {
	ts := start(t, "n-1")
	c := dialRaw(t, ts.daemons[0])
	// The body arrives only after the caller could have left.
	_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/orders/1", "left-1")+"Content-Length: 4\r\n\r\nok")
	_ = c.CloseWrite()
	res, err := c.response(http.MethodPost)
	if err != nil || res.StatusCode != http.StatusBadRequest {
		t.Errorf("a request whose body was cut got %v, %v, want status 400", res, err)
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(ts.runs()); n != 0 {
		t.Errorf("%d requests executed, want none", n)
	}
}

// TestPipelinedRequestsAreAnsweredInOrder covers callers that send their next request before the response, and end with a FIN.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	ts := start(t, "n-1")
	c := dialRaw(t, ts.daemons[0])
	text := ""
	for i := range 3 {
		text += rawRequest(http.MethodPost, "/orders/1?ms=50", fmt.Sprintf("line-%d", i)) + "Content-Length: 2\r\n\r\nok"
	}
	_, _ = io.WriteString(c, text)
	_ = c.CloseWrite()
	for i := range 3 {
		res, err := c.response(http.MethodPost)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if id := res.Header.Get("Request-Id"); res.StatusCode != http.StatusOK || id != fmt.Sprintf("line-%d", i) {
			t.Errorf("response %d has status %d and ID %q", i, res.StatusCode, id)
		}
	}
	if _, err := c.response(http.MethodPost); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("more bytes after the last response: %v", err)
	}
}

// TestPausedBodyDoesNotOutlastTimeout guards against a request that has no answer, and holds its upstream's place, as long as its caller
// pauses within the body or sends a byte now and then.
func TestPausedBodyDoesNotOutlastTimeout(t *testing.T) {
	tests := []struct {
		name, target  string
		length, first int
		trickle       bool
		status        []int
		atMost        time.Duration
	}{
		{name: "short", target: "/brief/1", length: 10, first: 2, status: []int{http.StatusRequestTimeout}, atMost: 700 * time.Millisecond},
		{name: "trickle", target: "/brief/2", length: 1 << 10, first: 2, trickle: true, status: []int{http.StatusRequestTimeout}, atMost: 700 * time.Millisecond},
		{
			name: "long", target: "/brief/3", length: 4 << 20, first: 3 << 19, atMost: 700 * time.Millisecond,
			status: []int{http.StatusRequestTimeout, http.StatusGatewayTimeout},
		},
		{
			name: "long trickle", target: "/brief/4", length: 4 << 20, first: 3 << 19, trickle: true, atMost: 700 * time.Millisecond,
			status: []int{http.StatusRequestTimeout, http.StatusGatewayTimeout},
		},
		{name: "refused", target: "/nowhere", length: 10, first: 2, status: []int{http.StatusNotFound}, atMost: 300 * time.Millisecond},
		{name: "refused long", target: "/nowhere", length: 1 << 20, first: 1 << 10, status: []int{http.StatusNotFound}, atMost: 300 * time.Millisecond},
	}
	ts := start(t, "n-1")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := dialRaw(t, ts.daemons[0])
			started := time.Now()
			head := rawRequest(http.MethodPost, tt.target, "paused-"+tt.name) + fmt.Sprintf("Content-Length: %d\r\n\r\n", tt.length)
			_, _ = io.WriteString(c, head+strings.Repeat("x", tt.first))
			stop := make(chan struct{})
			defer close(stop)
			if tt.trickle {
				go func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
							_, _ = io.WriteString(c, "x")
						}
					}
				}()
			}
			res, err := c.response(http.MethodPost)
			if took := time.Since(started); err != nil || !slices.Contains(tt.status, res.StatusCode) || took > tt.atMost {
				t.Errorf("got %v, %v after %v, want a status of %v within %v", res, err, took, tt.status, tt.atMost)
			}
		})
	}
	for _, s := range ts.servers {
		for _, r := range s.Runs() {
			t.Errorf("%s ran a request whose body was not complete: %s", s.ID, r.ID)
		}
	}
}
