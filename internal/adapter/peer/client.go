package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/daisygap/daisygap"
)

// The methods between daemons.
const (
	methodHeartbeat    = "beat"
	methodSync         = "sync"
	methodPush         = "push"
	methodSnapshotPart = "part"
	methodLoan         = "loan"
	methodTotals       = "totals"
	methodMembers      = "members"
	methodIdempotency  = "once"
)

const (
	dialTimeout     = daisygap.Millis(500)
	callTimeout     = daisygap.Millis(1_000)
	bulkCallTimeout = daisygap.Millis(10_000)
	idleTimeout     = 60 * time.Second
)

// Client calls other daemons over one connection each; set the fields before the first call.
type Client struct {
	TLS *tls.Config
	// Dial opens connections; nil takes plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*peerConn
}

var _ daisygap.Peers = (*Client)(nil)

// peerConn is the connection to one peer; its lock keeps two callers from dialling at once.
type peerConn struct {
	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	lastUsed time.Time
}

// Heartbeat sends a heartbeat.
func (c *Client) Heartbeat(ctx context.Context, address string, b daisygap.Heartbeat) (daisygap.HeartbeatReply, error) {
	var reply daisygap.HeartbeatReply
	err := c.call(ctx, address, callTimeout, methodHeartbeat, b, &reply)
	return reply, err
}

// Sync sends a digest and returns what the peer has that is newer.
func (c *Client) Sync(ctx context.Context, address string, d daisygap.Digest) (daisygap.Delta, error) {
	var delta daisygap.Delta
	err := c.call(ctx, address, bulkCallTimeout, methodSync, d, &delta)
	return delta, err
}

// Push sends changes without waiting for an answer.
func (c *Client) Push(ctx context.Context, address string, p daisygap.Push) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return daisygap.WrapError("peer "+methodPush, address, err)
	}
	return daisygap.WrapError("peer "+methodPush, address, conn.Notify(ctx, methodPush, p))
}

// SnapshotPart fetches a piece of a configuration snapshot.
func (c *Client) SnapshotPart(ctx context.Context, address string, version uint64, part int) (daisygap.SnapshotPart, error) {
	var p daisygap.SnapshotPart
	err := c.call(ctx, address, bulkCallTimeout, methodSnapshotPart, snapshotPartParams{Version: version, Part: part}, &p)
	return p, err
}

// Loan asks for loans of slots, or returns them.
func (c *Client) Loan(ctx context.Context, address string, request daisygap.LoanRequest) (daisygap.LoanReply, error) {
	var reply daisygap.LoanReply
	err := c.call(ctx, address, callTimeout, methodLoan, request, &reply)
	return reply, err
}

// RefusalTotals fetches the refusal totals that a daemon holds.
func (c *Client) RefusalTotals(ctx context.Context, address string) ([]daisygap.RefusalTotal, error) {
	var t []daisygap.RefusalTotal
	err := c.call(ctx, address, bulkCallTimeout, methodTotals, struct{}{}, &t)
	return t, err
}

// Members fetches a domain's daemons from its leaseholder, or the leaseholder's address.
func (c *Client) Members(ctx context.Context, address string) (daisygap.MemberList, error) {
	var l daisygap.MemberList
	err := c.call(ctx, address, callTimeout, methodMembers, struct{}{}, &l)
	return l, err
}

// Idempotency asks a daemon about an idempotency key.
func (c *Client) Idempotency(ctx context.Context, address string, request daisygap.IdempotencyRequest) (daisygap.IdempotencyReply, error) {
	var reply daisygap.IdempotencyReply
	err := c.call(ctx, address, callTimeout, methodIdempotency, request, &reply)
	return reply, err
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.conns {
		l.close()
	}
	c.conns = nil
}

// Prune closes connections that were not used for a while.
func (c *Client) Prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.conns {
		if l.mu.TryLock() {
			idle := time.Since(l.lastUsed) > idleTimeout
			l.mu.Unlock()
			if idle {
				l.close()
				delete(c.conns, address)
			}
		}
	}
}

func (c *Client) call(ctx context.Context, address string, timeout daisygap.Millis, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return daisygap.WrapError("peer "+method, address, err)
	}
	err = conn.Call(ctx, method, params, result)
	if errors.Is(err, context.DeadlineExceeded) {
		c.drop(address, conn)
	}
	return daisygap.WrapError("peer "+method, address, err)
}

// conn returns the open connection to a peer, or dials.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = make(map[string]*peerConn)
	}
	l := c.conns[address]
	if l == nil {
		l = &peerConn{}
		c.conns[address] = l
	}
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
		default:
			return l.conn, nil
		}
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(countingConn{raw}, codec{})
	l.conn = jsonrpc2.NewConn(context.Background(), stream, ignoreRequests{}, jsonrpc2.SetLogger(discardLogger{}))
	return l.conn, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	dialer := &net.Dialer{}
	if c.TLS != nil {
		tlsDialer := &tls.Dialer{NetDialer: dialer, Config: c.TLS}
		return tlsDialer.DialContext(ctx, "tcp", address)
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// drop closes a connection that no longer answers, so that the next call dials anew.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	l := c.conns[address]
	c.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		_ = conn.Close()
		l.conn = nil
	}
}

func (l *peerConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// ignoreRequests ignores what a server might call on a client's connection.
type ignoreRequests struct{}

// Handle does nothing.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger drops the library's own log lines; errors are returned by the calls.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}
