package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestOrdinaryClientsMeetNoLimit guards against limits that clients within the platform's limits reach, on the smallest host: 2,000 connections
// from one address that are used again after 12 s, a body of 64 MiB, and a slow but steady body.
func TestOrdinaryClientsMeetNoLimit(t *testing.T) {
	program := filepath.Join(t.TempDir(), "daisygap")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/daisygap").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	h, settings := steeringTargetFor(t, 64<<20)
	h.limit, settings.Steering.MemoryMB = 2_870, 136
	h.start(t, program, settings)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", h.caller)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	expectOK := func(what string, in *bufio.Reader) {
		t.Helper()
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v", what, res, err)
		}
		_ = res.Body.Close()
	}
	order := func(conn net.Conn, in *bufio.Reader, id string) {
		t.Helper()
		_, _ = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\n%sRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", h.head, id)
		expectOK(id, in)
	}
	conns, readers := make([]net.Conn, 2_000), make([]*bufio.Reader, 2_000)
	for i := range conns {
		conns[i], readers[i] = dial()
		order(conns[i], readers[i], fmt.Sprintf("first-%d", i))
	}
	idleSince := time.Now()

	body, in := dial()
	_, _ = io.WriteString(body, bodyHead(h, 0, length(64<<20)))
	for range 64 << 20 / len(zeros) {
		_, _ = body.Write(zeros)
	}
	expectOK("body of 64 MiB", in)

	slow, in := dial()
	_, _ = io.WriteString(slow, bodyHead(h, 5, length(50<<10)))
	for range 50 {
		_, _ = slow.Write(zeros[:1<<10])
		time.Sleep(30 * time.Millisecond)
	}
	expectOK("slow body", in)

	time.Sleep(time.Until(idleSince.Add(12 * time.Second)))
	for i := range conns {
		order(conns[i], readers[i], fmt.Sprintf("again-%d", i))
	}
	h.measure()
	t.Logf("at most %d MB and %d descriptors", h.peakMB, h.files)
	if h.peakMB > settings.Steering.MemoryMB {
		t.Errorf("resident memory of %d MB, want at most %d MB", h.peakMB, settings.Steering.MemoryMB)
	}
}
