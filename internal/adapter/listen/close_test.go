package listen

import (
	"fmt"
	"net"
	"testing"
	"time"
)

type testAddr string

func (testAddr) Network() string  { return "test" }
func (a testAddr) String() string { return string(a) }

type testConn struct {
	net.Conn
	address testAddr
	closed  bool
}

func (c *testConn) RemoteAddr() net.Addr { return c.address }
func (c *testConn) Close() error         { c.closed = true; return nil }

// silentConns adds connections from addresses of their own that send nothing.
func silentConns(g *Guard, count int) {
	for i := range count {
		c := g.admit(&testConn{address: testAddr(fmt.Sprint("silent-", i))})
		c.reading.Store(g.now())
	}
}

// TestChosenConnectionIsNotPassed guards against a request that is sent to an upstream although its caller's connection is being closed.
func TestChosenConnectionIsNotPassed(t *testing.T) {
	g := &Guard{Connections: 1}
	first := g.admit(&testConn{address: "a"})
	first.reading.Store(g.now())
	g.admit(&testConn{address: "b"})
	if first.Pass() {
		t.Error("a request was passed on a connection that is being closed")
	}
	passed := &Guard{Connections: 1}
	kept := &testConn{address: "a"}
	if c := passed.admit(kept); !c.Pass() {
		t.Error("a request wasn't passed on an open connection")
	}
	if c := passed.admit(&testConn{address: "b"}); c != nil || kept.closed {
		t.Error("a connection was closed although its request was passed")
	}
}

// TestActiveConnectionsOutliveSilentOnes guards against a crowd of silent connections that ends those of other daemons, which have sent more in
// all, and against a large body that arrives without a pause and is cut for idle connections.
func TestActiveConnectionsOutliveSilentOnes(t *testing.T) {
	for _, tt := range []struct {
		name string
		// act is called once the others have been silent for a while.
		act func(g *Guard, c *Conn)
	}{
		{"peer between two messages", func(g *Guard, c *Conn) {
			c.EndMessage()
			c.reading.Store(g.now())
			time.Sleep(minTurn.Duration() + 10*time.Millisecond)
		}},
		{"steady body", func(g *Guard, c *Conn) { c.reading.Store(g.now()) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := &Guard{Connections: 20}
			active := &testConn{address: "active"}
			c := g.admit(active)
			c.read.Store(1 << 20)
			silentConns(g, 19)
			time.Sleep(4 * minTurn.Duration())
			tt.act(g, c)
			g.admit(&testConn{address: "new"})
			if active.closed {
				t.Error("an active connection was closed before silent ones")
			}
		})
	}
}
