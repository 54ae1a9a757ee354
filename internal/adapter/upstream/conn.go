package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// countedConn counts the bytes that were written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// countWrites returns a dial function whose connections count the bytes written.
func countWrites(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
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
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn := i.Conn
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		if counted, ok := conn.(*countedConn); ok {
			u.before.Store(counted.written.Load())
			u.conn.Store(counted)
		}
		u.reused.Store(i.Reused)
		u.connected.Store(true)
	}}
}

// isUnsent reports whether a connection was found and no byte of the request was written to it. It must be called after the request
// has failed.
func (u *connUse) isUnsent() bool {
	c := u.conn.Load()
	return c != nil && c.written.Load() == u.before.Load()
}
