package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/daisygap/daisygap"
)

// The methods that a daemon on the platform serves to other daemons.
const (
	methodGossip = "gossip"
	methodMirror = "mirror"
)

var _ daisygap.SteeringPeers = (*Client)(nil)

type mirrorParams struct {
	After uint64          `json:"a"`
	Wait  daisygap.Millis `json:"w,omitempty"`
}

// Gossip exchanges heartbeats, crash reports and observed loads with a peer.
func (c *Client) Gossip(address string, g daisygap.Gossip) (daisygap.Gossip, error) {
	var reply daisygap.Gossip
	err := c.call(context.Background(), address, callTimeout, methodGossip, g, &reply)
	return reply, err
}

// Mirror fetches the entries of a peer's copy of the store that changed after a revision, and waits up to the given time
// for the first change.
func (c *Client) Mirror(ctx context.Context, address string, after uint64, wait daisygap.Millis) (daisygap.StoreUpdate, error) {
	var update daisygap.StoreUpdate
	err := c.call(ctx, address, wait+callTimeout, methodMirror, mirrorParams{After: after, Wait: wait}, &update)
	return update, err
}

func (s *Server) handleSteering(r *jsonrpc2.Request) (any, error) {
	switch {
	case s.Steering == nil:
	case r.Method == methodGossip:
		return serveCall(r, func(g daisygap.Gossip) (daisygap.Gossip, error) { return s.Steering.ServeGossip(g), nil })
	case r.Method == methodMirror:
		return serveCall(r, func(c mirrorParams) (daisygap.StoreUpdate, error) {
			return s.Steering.ServeMirror(c.After, c.Wait), nil
		})
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}
