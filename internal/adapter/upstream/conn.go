package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/daisygap/daisygap"
)

// maxEarlyIdle is the idle time below which a server has no reason to close a connection that it didn't announce to close, other than its
// end. Servers state their idle timeouts in whole seconds.
const maxEarlyIdle = daisygap.Millis(1_000)

// countedConn counts the bytes that were written to a connection, and notices that the other side ends it soon after a response.
type countedConn struct {
	net.Conn
	written atomic.Int64
	clock   daisygap.Clock
	// isIdle is set while no request uses the connection. Since idleSince it has been idle.
	isIdle    atomic.Bool
	idleSince atomic.Int64
	// onEnd is called when the other side ends the connection while it is idle.
	onEnd func(idle daisygap.Millis)
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil && c.isIdle.Load() && isRemoteEnd(err) {
		c.onEnd(c.clock.Now() - daisygap.Millis(c.idleSince.Load()))
	}
	return n, err
}

// isRemoteEnd reports whether an error of a read means that the other side ended the connection.
func isRemoteEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// track returns a dial function whose connections count the bytes written and call OnEarlyEnd.
func (c *Client) track(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, onEnd: func(idle daisygap.Millis) {
			if c.OnEarlyEnd != nil && idle < maxEarlyIdle {
				c.OnEarlyEnd(address)
			}
		}}, nil
	}
}

// connUse tracks the connection that a request was sent on. Its fields are atomic because net/http may still be dialling in the
// background after the request has failed.
type connUse struct {
	connected atomic.Bool
	reused    atomic.Bool
	conn      atomic.Pointer[countedConn]
	// before is the number of bytes that had been written to the connection before the request.
	before atomic.Int64
}

func (u *connUse) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{PutIdleConn: u.release, GotConn: func(i httptrace.GotConnInfo) {
		conn := i.Conn
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		if counted, ok := conn.(*countedConn); ok {
			counted.isIdle.Store(false)
			u.before.Store(counted.written.Load())
			u.conn.Store(counted)
		}
		u.reused.Store(i.Reused)
		u.connected.Store(true)
	}}
}

// release marks the connection as idle, unless it can't be used again.
func (u *connUse) release(err error) {
	if c := u.conn.Load(); c != nil && err == nil {
		c.idleSince.Store(int64(c.clock.Now()))
		c.isIdle.Store(true)
	}
}

// close closes the connection.
func (u *connUse) close() {
	if c := u.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// isUnsent reports whether a connection was found and no byte of the request was written to it. It must be called after the request
// has failed.
func (u *connUse) isUnsent() bool {
	c := u.conn.Load()
	return c != nil && c.written.Load() == u.before.Load()
}
