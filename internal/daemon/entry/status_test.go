package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
)

// serveStatuses answers requests with the status in their query, and returns its address.
func serveStatuses(t *testing.T) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", r.URL.Query().Get("status"))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestInvalidStatusNeverReachesCaller guards against a status that isn't that of a final response: it ended the caller's connection, or was
// passed on. It counts as a failure of the upstream.
func TestInvalidStatusNeverReachesCaller(t *testing.T) {
	f := startFleet(t, "hivecraft")
	addresses := make(map[string]map[string]string)
	for name := range f.Upstreams {
		if strings.HasPrefix(name, "orders") {
			addresses[name] = map[string]string{"address": serveStatuses(t)}
		}
	}
	merge, err := json.Marshal(map[string]any{"upstreams": addresses})
	if err != nil {
		t.Fatal(err)
	}
	n := f.Nodes()[0]
	if _, err := operatorClient(n).Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: merge}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		failed := false
		for range 3 {
			conn, err := net.Dial("tcp", n.Settings.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprintf(conn, "POST /orders?status=%s HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status)
			data, _ := io.ReadAll(conn)
			_ = conn.Close()
			got, _, _ := strings.Cut(string(data), "\r\n")
			if !strings.HasPrefix(got, "HTTP/1.1 50") || !strings.Contains(string(data), daisygap.HeaderReason) {
				t.Errorf("status %s: got %q, want a refusal", status, got)
			}
			failed = failed || strings.Contains(string(data), string(daisygap.ReasonUpstreamFailed))
		}
		if !failed {
			t.Errorf("status %s: no request failed at an upstream", status)
		}
	}
}
