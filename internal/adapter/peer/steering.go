package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/daisygap/daisygap"
)

// The methods that a daemon on the platform serves to other daemons.
const (
	methodGossip    = "gossip"
	methodMirror    = "mirror"
	methodPermit    = "permit"
	methodAllowance = "allowance"
)

var _ daisygap.SteeringPeers = (*Client)(nil)

// Gossip exchanges heartbeats, crash reports and observed loads with a peer.
func (c *Client) Gossip(address string, g daisygap.Gossip) (daisygap.Gossip, error) {
	var reply daisygap.Gossip
	err := c.call(context.Background(), address, callTimeout, methodGossip, g, &reply)
	return reply, err
}

// Permit asks the arbiter of an upstream's rate for the permission to send it requests.
func (c *Client) Permit(ctx context.Context, address string, r daisygap.PermitRequest) (daisygap.PermitReply, error) {
	var reply daisygap.PermitReply
	err := c.call(ctx, address, callTimeout, methodPermit, r, &reply)
	return reply, err
}

// Allowance reports the use of customers' allowances to a relay or a coordinator. The context bounds the wait for the reply.
func (c *Client) Allowance(ctx context.Context, address string, r daisygap.AllowanceReport) (daisygap.AllowanceReply, error) {
	var reply daisygap.AllowanceReply
	err := c.call(ctx, address, callTimeout, methodAllowance, r, &reply)
	return reply, err
}

// Mirror fetches the changes of a peer's replica of the store. A query with a wait ends the one before it on the peer's connection.
func (c *Client) Mirror(ctx context.Context, address string, q daisygap.MirrorQuery) (daisygap.StoreUpdate, error) {
	var result mirrorResult
	if err := c.call(ctx, address, q.Wait+callTimeout, methodMirror, mirrorParams{q, true}, &result); err != nil {
		return daisygap.StoreUpdate{}, err
	}
	u, err := result.unpack()
	return u, daisygap.WrapError("peer "+methodMirror, address, err)
}

func (s *Server) handleSteering(conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch {
	case s.Steering == nil:
	case r.Method == methodGossip:
		return serveCall(r, func(g daisygap.Gossip) (daisygap.Gossip, error) { return s.Steering.ServeGossip(g), nil })
	case r.Method == methodPermit:
		return serveCall(r, func(p daisygap.PermitRequest) (daisygap.PermitReply, error) { return s.Steering.ServePermit(p), nil })
	case r.Method == methodAllowance:
		return serveCall(r, func(a daisygap.AllowanceReport) (daisygap.AllowanceReply, error) {
			return s.Steering.ServeAllowance(a), nil
		})
	case r.Method == methodMirror:
		return serveCall(r, func(q mirrorParams) (mirrorResult, error) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if q.Wait > 0 {
				s.replacePoll(conn, cancel)
			}
			u := s.Steering.ServeMirror(ctx, q.MirrorQuery)
			if !q.Packed {
				return mirrorResult{StoreUpdate: u}, nil
			}
			data, err := s.packer.pack(q.After, u)
			return mirrorResult{Data: data}, err
		})
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// replacePoll cancels the pending mirror query of a connection, which its caller has given up, and keeps the cancel function of the
// next one.
func (s *Server) replacePoll(conn *jsonrpc2.Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.polls == nil {
		s.polls = make(map[*jsonrpc2.Conn]context.CancelFunc)
	}
	if last := s.polls[conn]; last != nil {
		last()
	}
	s.polls[conn] = cancel
}
