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

// The methods that an entry daemon serves to other daemons.
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
	dialTimeout = daisygap.Millis(500)
	callTimeout = daisygap.Millis(1_000)
	// bulkCallTimeout is the timeout of calls with a large response.
	bulkCallTimeout = daisygap.Millis(10_000)
	idleTimeout     = 60 * time.Second
)

// Client calls other daemons over one connection each, which is opened by the first call. Its fields must be set before the
// first call. Errors wrap a daisygap.Error with the method and the address.
type Client struct {
	TLS *tls.Config
	// Dial opens connections. If it is nil, the client uses TLS with a TLS configuration and plain TCP without one.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*peerConn
}

var _ daisygap.Peers = (*Client)(nil)

// peerConn is the connection to one peer. Its lock prevents concurrent calls from opening several connections.
type peerConn struct {
	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	lastUsed time.Time
}

// Heartbeat sends a heartbeat to a leaseholder.
func (c *Client) Heartbeat(ctx context.Context, address string, b daisygap.Heartbeat) (daisygap.HeartbeatReply, error) {
	var reply daisygap.HeartbeatReply
	err := c.call(ctx, address, callTimeout, methodHeartbeat, b, &reply)
	return reply, err
}

// Sync sends a digest and returns the newer patches and records of the peer.
func (c *Client) Sync(ctx context.Context, address string, d daisygap.Digest) (daisygap.Delta, error) {
	var delta daisygap.Delta
	err := c.call(ctx, address, bulkCallTimeout, methodSync, d, &delta)
	return delta, err
}

// Push sends changes as a notification, without waiting for a response.
func (c *Client) Push(ctx context.Context, address string, p daisygap.Push) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return daisygap.WrapError("peer "+methodPush, address, err)
	}
	return daisygap.WrapError("peer "+methodPush, address, conn.Notify(ctx, methodPush, p))
}

// PushAndWait sends changes and waits until the peer has merged them.
func (c *Client) PushAndWait(ctx context.Context, address string, p daisygap.Push) error {
	return c.call(ctx, address, callTimeout, methodPush, p, nil)
}

// SnapshotPart fetches one part of a configuration snapshot.
func (c *Client) SnapshotPart(ctx context.Context, address string, version uint64, part int) (daisygap.SnapshotPart, error) {
	var p daisygap.SnapshotPart
	err := c.call(ctx, address, bulkCallTimeout, methodSnapshotPart, snapshotPartParams{Version: version, Part: part}, &p)
	return p, err
}

// Loan requests, extends, returns or recalls loans of slots.
func (c *Client) Loan(ctx context.Context, address string, request daisygap.LoanRequest) (daisygap.LoanReply, error) {
	var reply daisygap.LoanReply
	err := c.call(ctx, address, callTimeout, methodLoan, request, &reply)
	return reply, err
}

// RefusalTotals fetches the numbers of refused requests that a daemon holds.
func (c *Client) RefusalTotals(ctx context.Context, address string) ([]daisygap.RefusalTotal, error) {
	var t []daisygap.RefusalTotal
	err := c.call(ctx, address, bulkCallTimeout, methodTotals, struct{}{}, &t)
	return t, err
}

// Members fetches the daemons of a domain from its leaseholder. Any other daemon returns the address of the leaseholder.
func (c *Client) Members(ctx context.Context, address string) (daisygap.MemberList, error) {
	var l daisygap.MemberList
	err := c.call(ctx, address, callTimeout, methodMembers, struct{}{}, &l)
	return l, err
}

// Idempotency records an idempotency key at a daemon, or releases the key.
func (c *Client) Idempotency(ctx context.Context, address string, request daisygap.IdempotencyRequest) (daisygap.IdempotencyReply, error) {
	var reply daisygap.IdempotencyReply
	err := c.call(ctx, address, callTimeout, methodIdempotency, request, &reply)
	return reply, err
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		pc.close()
	}
	c.conns = nil
}

// Prune closes the connections that were not used during the idle timeout.
func (c *Client) Prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, pc := range c.conns {
		if pc.mu.TryLock() {
			idle := time.Since(pc.lastUsed) > idleTimeout
			pc.mu.Unlock()
			if idle {
				pc.close()
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

// conn returns the connection to a peer, and opens a new one if there is none or the peer has closed it.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = make(map[string]*peerConn)
	}
	pc := c.conns[address]
	if pc == nil {
		pc = &peerConn{}
		c.conns[address] = pc
	}
	c.mu.Unlock()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lastUsed = time.Now()
	if pc.conn != nil {
		select {
		case <-pc.conn.DisconnectNotify():
		default:
			return pc.conn, nil
		}
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(countingConn{raw}, codec{})
	pc.conn = jsonrpc2.NewConn(context.Background(), stream, ignoreRequests{}, jsonrpc2.SetLogger(discardLogger{}))
	return pc.conn, nil
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

// drop closes a connection after a call timed out, so that the next call opens a new one.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	pc := c.conns[address]
	c.mu.Unlock()
	if pc == nil {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn == conn {
		_ = conn.Close()
		pc.conn = nil
	}
}

func (pc *peerConn) close() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil {
		_ = pc.conn.Close()
		pc.conn = nil
	}
}

// ignoreRequests ignores requests from the server, since only the client makes calls on its connection.
type ignoreRequests struct{}

// Handle does nothing.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger discards the log lines of the JSON-RPC library, whose errors are returned by the calls as well.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
