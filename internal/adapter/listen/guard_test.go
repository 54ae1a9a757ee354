package listen

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// startGuard accepts connections and reads from them until they end.
func startGuard(t *testing.T, g *Guard) (address string, accepted chan *Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := g.Listen(raw)
	accepted = make(chan *Conn, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*Conn)
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return raw.Addr().String(), accepted
}

func dialFrom(t *testing.T, source, address string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isClosed reports whether the other side ends a connection soon.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// TestFullListenerClosesStalledConnection guards against a crowd at one address that keeps others out, and against the loss of a request that
// an upstream may be executing.
func TestFullListenerClosesStalledConnection(t *testing.T) {
	var reports atomic.Int32
	g := &Guard{Name: "test", Connections: 3, OnClose: func(c Closing) {
		if c.Reason != ReasonConnections || c.Address != "127.0.0.2" || c.Stalled < minTurn {
			t.Errorf("closed %+v", c)
		}
		reports.Add(1)
	}}
	address, accepted := startGuard(t, g)
	passed := dialFrom(t, "127.0.0.2", address)
	(<-accepted).Pass()
	crowd := dialFrom(t, "127.0.0.2", address)
	<-accepted
	other := dialFrom(t, "127.0.0.3", address)
	<-accepted
	time.Sleep(2 * minTurn.Duration())
	newest := dialFrom(t, "127.0.0.4", address)
	<-accepted
	if isClosed(passed) || !isClosed(crowd) || isClosed(other) || isClosed(newest) {
		t.Error("want only the connection of the crowd closed that no upstream works for")
	}
	if reports.Load() != 1 {
		t.Errorf("%d reports, want 1", reports.Load())
	}
}

// TestMemoryIsReclaimedFromStalledConnection guards against a crowd that holds all memory, and against members of a crowd that take turns.
func TestMemoryIsReclaimedFromStalledConnection(t *testing.T) {
	g := &Guard{Name: "test", Connections: 10}
	g.Memory.Limit = 100
	address, accepted := startGuard(t, g)
	crowd := dialFrom(t, "127.0.0.2", address)
	holder := <-accepted
	if !holder.Reserve(90) {
		t.Fatal("no memory in an empty budget")
	}
	_ = dialFrom(t, "127.0.0.2", address)
	sameAddress := <-accepted
	_ = dialFrom(t, "127.0.0.3", address)
	otherAddress := <-accepted
	calls := 0
	take := func() bool { calls++; return true }
	if sameAddress.Reclaim(true, take) || otherAddress.Reclaim(true, take) || calls > 0 {
		t.Error("a connection was closed that makes progress, or for one of its own address")
	}
	time.Sleep(2 * minStall.Duration())
	if sameAddress.Reclaim(true, take) {
		t.Error("a connection was closed for a large request of its own address")
	}
	if !otherAddress.Reclaim(true, take) || !isClosed(crowd) {
		t.Error("the connection that holds most without progress stays open")
	}
}

// TestSharesLeaveDescriptors checks that the shares leave descriptors for the store, and that callers of the smallest hosts may open as many
// connections as one address may.
func TestSharesLeaveDescriptors(t *testing.T) {
	if sum := callerPercent + peerPercent + operatorPercent + upstreamPercent; sum > 96 {
		t.Errorf("the shares are %d percent", sum)
	}
	if n := 2_870 * callerPercent / 100; n < 2_000 {
		t.Errorf("%d connections of callers, want at least 2,000", n)
	}
}
