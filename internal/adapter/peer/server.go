package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/listen"
)

// Server serves the calls of other daemons. Its fields must be set before Run.
type Server struct {
	Service daisygap.PeerService
	// Steering serves the calls between daemons on the platform. Exactly one of Service and Steering is set.
	Steering daisygap.SteeringService
	Log      daisygap.Log

	mu sync.Mutex
	// closed is set by Close, after which no connection is served any more.
	closed bool
	conns  map[*jsonrpc2.Conn]bool
	packer updatePacker
	// polls holds, by connection, the function that cancels its latest mirror query with a wait.
	polls map[*jsonrpc2.Conn]context.CancelFunc
	wg    sync.WaitGroup
}

type snapshotPartParams struct {
	Version uint64 `json:"v"`
	Part    int    `json:"p"`
}

// minAcceptPause and maxAcceptPause bound the pause after an error of the listener, such as too many open files. It doubles with each
// error in a row.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

var acceptErrors = metrics.NewCounter(`daisygap_peer_accept_errors_total`)

// Run accepts and serves connections until the listener or the server is closed.
func (s *Server) Run(listener net.Listener) {
	pause := minAcceptPause
	for {
		raw, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || s.isClosed() {
				return
			}
			acceptErrors.Inc()
			s.Log.Warnf("accepting a connection: %v; next attempt in %v", err, pause)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		stream := jsonrpc2.NewBufferedStream(countingConn{raw}, codec{conn: listen.ConnOf(raw)})
		handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
		conn := jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger{}))
		s.trackConn(conn)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close closes all connections and waits until they are closed. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// trackConn records a connection for Close until the connection ends. After Close, it closes the connection.
func (s *Server) trackConn(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	if s.conns == nil {
		s.conns = make(map[*jsonrpc2.Conn]bool)
	}
	s.conns[conn] = true
	s.wg.Go(func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		if cancel := s.polls[conn]; cancel != nil {
			cancel()
			delete(s.polls, conn)
		}
	})
}

func (s *Server) handle(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "missing params"}
	}
	if s.Service == nil {
		return s.handleSteering(conn, r)
	}
	switch r.Method {
	case methodHeartbeat:
		return serveCall(r, func(b daisygap.Heartbeat) (daisygap.HeartbeatReply, error) { return s.Service.ServeHeartbeat(b), nil })
	case methodSync:
		return serveCall(r, func(d daisygap.Digest) (daisygap.Delta, error) { return s.Service.ServeSync(d), nil })
	case methodPush:
		return serveCall(r, func(p daisygap.Push) (struct{}, error) {
			s.Service.ServePush(p)
			return struct{}{}, nil
		})
	case methodSnapshotPart:
		return serveCall(r, func(p snapshotPartParams) (daisygap.SnapshotPart, error) {
			return s.Service.ServeSnapshotPart(p.Version, p.Part)
		})
	case methodLoan:
		return serveCall(r, func(c daisygap.LoanRequest) (daisygap.LoanReply, error) { return s.Service.ServeLoan(c), nil })
	case methodTotals:
		return serveCall(r, func(struct{}) ([]daisygap.RefusalTotal, error) { return s.Service.ServeRefusalTotals(), nil })
	case methodIdempotency:
		return serveCall(r, func(c daisygap.IdempotencyRequest) (daisygap.IdempotencyReply, error) {
			return s.Service.ServeIdempotency(c), nil
		})
	case methodMembers:
		return serveCall(r, func(struct{}) (daisygap.MemberList, error) { return s.Service.ServeMembers(), nil })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// serveCall decodes the parameters of a call and returns the result of the service.
func serveCall[P, R any](r *jsonrpc2.Request, serve func(P) (R, error)) (any, error) {
	var p P
	if err := json.Unmarshal(*r.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return serve(p)
}
