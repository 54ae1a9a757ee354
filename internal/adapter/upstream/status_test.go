package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveRaw answers one request on a loopback address with the bytes of reply, and sends the error of the next read to the channel.
func serveRaw(t *testing.T, reply string) (url string, ended <-chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	ends := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = in.ReadByte()
		ends <- err
	}()
	return "http://" + ln.Addr().String(), ends
}

// TestInvalidStatusIsNoResponse guards against statuses that can't be passed on, and against the reuse of a connection on which one was
// received.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				t.Run(fmt.Sprintf("%s %q %q", status, rest, before), func(t *testing.T) {
					url, ended := serveRaw(t, before+"HTTP/1.1 "+status+" Odd\r\n"+rest)
					c := NewClient(nil, nil)
					defer c.Close()
					res, err := c.Send(context.Background(), newRequest(t, http.MethodGet, url, ""), true)
					if err == nil {
						_ = res.Body.Close()
					}
					if !errors.Is(err, ErrMaybeExecuted) {
						t.Errorf("got %v, want ErrMaybeExecuted", err)
					}
					if err := <-ended; !errors.Is(err, io.EOF) {
						t.Errorf("the connection ended with %v, want EOF", err)
					}
				})
			}
		}
	}
}
