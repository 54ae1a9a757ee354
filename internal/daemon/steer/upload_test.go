package steer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// startEarlyServer starts a server in the pool of orders that responds as soon as it has read a request's head, and reads no body.
func startEarlyServer(t *testing.T, ts *testSite) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: early\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
				}
			}()
		}
	}()
	ts.must(ts.StartServer(&instance.Server{ID: "early", Pool: "desk", Domain: "n-1", Slots: 6, ServiceTime: 5, Advertised: ln.Addr().String()}))
}

// TestEarlyResponseToUpload guards against an upload that fails because its server responds before it has read the whole body.
func TestEarlyResponseToUpload(t *testing.T) {
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	startEarlyServer(t, ts)
	ts.startDaemons("n-1")
	c := dialRaw(t, ts.daemons[0])
	_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/orders/1", "early-1")+"Content-Length: 3145728\r\n\r\n")
	go func() {
		part := make([]byte, 64<<10)
		for range 48 {
			if _, err := c.Write(part); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	res, err := c.response(http.MethodPost)
	if err != nil || res.StatusCode != http.StatusOK || res.Header.Get("Response-Stamp") != "early" {
		t.Errorf("got %v, %v, want the server's response", res, err)
	}
}

// TestUploadTakesNoSlotBeforeItsStart guards against an upload that holds a server's slot although less than 64 KiB of it have arrived, and
// against bodies over the limit that were not announced.
func TestUploadTakesNoSlotBeforeItsStart(t *testing.T) {
	ts := start(t, "n-1")
	c := dialRaw(t, ts.daemons[0])
	_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/orders/1", "short-1")+"Content-Length: 3145728\r\n\r\n")
	_, _ = c.Write(make([]byte, 64<<10-1))
	res, err := c.response(http.MethodPost)
	if err != nil || res.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %v, %v, want status 408", res, err)
	}
	over := dialRaw(t, ts.daemons[0])
	_, _ = io.WriteString(over, rawRequest(http.MethodPost, "/orders/1", "over-1")+"Transfer-Encoding: chunked\r\n\r\n")
	go func() {
		part := make([]byte, 64<<10)
		for range 80 {
			if _, err := fmt.Fprintf(over, "%x\r\n%s\r\n", len(part), part); err != nil {
				return
			}
		}
	}()
	if res, err := over.response(http.MethodPost); err != nil || res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit got %v, %v, want status 413", res, err)
	}
	if n := len(ts.runs()); n != 0 {
		t.Errorf("%d requests executed, want none", n)
	}
}
