package listen

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
)

// Conn is a connection of a guarded listener. The methods besides those of net.Conn may be called on nil, for connections without a guard.
type Conn struct {
	net.Conn

	guard   *Guard
	address string
	// reading and writing are when the call began that waits for the other side, or 0. A connection for which the daemon itself has no time
	// makes no progress either, but isn't stalled.
	reading atomic.Int64
	writing atomic.Int64
	// read is the number of bytes that were read since the latest response.
	read atomic.Int64
	// held is the memory in bytes that the connection holds while its request is being read.
	held atomic.Int64
	// state is statePassed while a request has been passed to an upstream and isn't answered, and stateClosing once the guard closes the
	// connection. Both are only entered from stateOpen.
	state atomic.Int32
}

// States of a Conn.
const (
	stateOpen = iota
	statePassed
	stateClosing
)

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Store(c.guard.now())
	n, err := c.Conn.Read(p)
	c.reading.Store(0)
	c.read.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(c.guard.now())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// stalled returns how long the daemon has been waiting for the other side.
func (c *Conn) stalled() daisygap.Millis {
	longest := int64(0)
	for _, since := range []int64{c.reading.Load(), c.writing.Load()} {
		if since > 0 {
			longest = max(longest, c.guard.now()-since)
		}
	}
	return daisygap.Millis(longest)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.guard.forget(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http does so before the end, so that a response isn't lost by a reset.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Hold adds n bytes to what the connection holds.
func (c *Conn) Hold(n int64) {
	if c != nil {
		c.held.Add(n)
	}
}

// Pass must be called before the request is passed to an upstream, until which the connection may be closed. It returns false if it is being
// closed, after which the request must not be passed.
func (c *Conn) Pass() bool {
	return c == nil || c.state.CompareAndSwap(stateOpen, statePassed) || c.state.Load() == statePassed
}

// EndMessage records that a whole message was read, on a connection that has no responses of net/http.
func (c *Conn) EndMessage() {
	if c != nil {
		c.read.Store(0)
	}
}

// Reclaim closes another connection for the memory that it holds, and calls take until that succeeds. A large request may only take from
// addresses that hold more than its own. It returns false if no connection may
// be closed or its memory isn't returned soon.
func (c *Conn) Reclaim(large bool, take func() bool) bool {
	if c == nil || !c.guard.reclaim(c, large) {
		return false
	}
	for range reclaimTries {
		time.Sleep(reclaimPause)
		if take() {
			return true
		}
	}
	return false
}

// Reserve takes n bytes of the guard's budget, for which it may close another connection. Release must follow if it returns true.
func (c *Conn) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	take := func() bool { return c.guard.Memory.Take(n, 0) }
	if !take() && !c.Reclaim(false, take) {
		return false
	}
	c.held.Add(n)
	return true
}

// Release returns n bytes that were reserved.
func (c *Conn) Release(n int64) {
	if c != nil {
		c.held.Add(-n)
		c.guard.Memory.Release(n)
	}
}

// BoundRead bounds the time for what is read until EndRead.
func (c *Conn) BoundRead(timeout time.Duration) {
	if c != nil {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
	}
}

// EndRead ends the bound of BoundRead.
func (c *Conn) EndRead() {
	if c != nil {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// ConnOf returns the guarded connection behind a connection, or nil.
func ConnOf(conn net.Conn) *Conn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

type connKey struct{}

// FromContext returns the guarded connection of a request's context, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Protect sets up a server whose listener is guarded.
func Protect(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, ConnOf(conn))
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		// Only now has the whole response been written.
		if c := ConnOf(conn); c != nil && state == http.StateIdle {
			c.state.CompareAndSwap(statePassed, stateOpen)
			c.held.Store(0)
			c.read.Store(0)
		}
	}
}
