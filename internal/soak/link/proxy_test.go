package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes every line, but resets the connection on the line "reset".
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					if line == "reset\n" {
						resetOnClose(c)
						return
					}
					if _, err := io.WriteString(c, line); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a line and returns the line that is received within the timeout.
func exchange(c net.Conn, line string, timeout time.Duration) (string, error) {
	if _, err := io.WriteString(c, line); err != nil {
		return "", err
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func TestImpairmentsDelayStallAndBlackhole(t *testing.T) {
	const replyTimeout, stallTimeout = 2 * time.Second, 150 * time.Millisecond
	p, err := Open(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c := dial(t, p)
	if got, err := exchange(c, "a\n", replyTimeout); got != "a\n" {
		t.Fatalf("no impairment: %q, %v", got, err)
	}
	p.SetImpairment(Impairment{Delay: 100 * time.Millisecond})
	started := time.Now()
	if got, err := exchange(c, "b\n", replyTimeout); got != "b\n" || time.Since(started) < 200*time.Millisecond {
		t.Errorf("100 ms delay in each direction: %q after %v, %v", got, time.Since(started), err)
	}
	for _, h := range []Impairment{{StallToTarget: true}, {StallFromTarget: true}} {
		p.SetImpairment(h)
		if got, err := exchange(c, "c\n", stallTimeout); err == nil {
			t.Errorf("%+v: received %q during the stall", h, got)
		}
		p.SetImpairment(Impairment{})
		if got, err := exchange(c, "", replyTimeout); got != "c\n" {
			t.Errorf("after the end of %+v: %q, %v", h, got, err)
		}
	}
	p.BlackholeOpen()
	if got, err := exchange(c, "d\n", stallTimeout); err == nil {
		t.Errorf("blackholed connection: received %q", got)
	}
	if got, err := exchange(dial(t, p), "e\n", replyTimeout); got != "e\n" {
		t.Errorf("new connection beside a blackholed one: %q, %v", got, err)
	}
}

// TestResetsPropagate guards against a proxy that turns a reset of the target into a regular close, which clients take
// for the end of a response.
func TestResetsPropagate(t *testing.T) {
	p, err := Open(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if got, err := exchange(dial(t, p), "reset\n", time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("target reset its connection: got %q, %v, want ECONNRESET", got, err)
	}
	c := dial(t, p)
	if _, err := exchange(c, "a\n", time.Second); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if got, err := exchange(c, "b\n", time.Second); err == nil {
		t.Errorf("after Reset: received %q, want an error", got)
	}
}
