package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestPausedBodyDoesNotOutlastDeadline guards against a request that has no answer as long as its caller pauses within the body.
func TestPausedBodyDoesNotOutlastDeadline(t *testing.T) {
	f := startFleet(t, "hivecraft")
	const deadline = 400 * time.Millisecond
	for _, first := range []int{2, 128 << 10} {
		conn, err := net.Dial("tcp", f.Nodes()[0].Settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		started := time.Now()
		_, _ = fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: a.example\r\nDaisygap-Deadline: %d\r\nContent-Length: %d\r\n\r\n", deadline.Milliseconds(), first+10)
		_, _ = io.WriteString(conn, strings.Repeat("x", first))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		took := time.Since(started)
		if err != nil || res.StatusCode < http.StatusBadRequest || took > deadline+500*time.Millisecond {
			t.Errorf("paused after %d bytes: %v, %v after %v, want a refusal by %v", first, res, err, took, deadline)
		}
		_ = conn.Close()
	}
}
