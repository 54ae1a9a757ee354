package steer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/adapter/peer"
)

const (
	// headerTimeout and idleTimeout bound slow and idle callers; both are above the limits that operators configure.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// otherTimeout bounds a request and its response at the listeners besides that for callers.
	otherTimeout = 10 * time.Second
	// maxHeader is the maximum size of a request header in bytes.
	maxHeader = 24 << 10
)

// Listener is an address to listen on and its handler.
type Listener struct {
	Address string
	Handler http.Handler
}

// Listeners serves a daemon's handlers on its addresses. Set the exported fields before Open.
type Listeners struct {
	Daemon *Daemon
	// Others are the listeners besides those for callers and peers.
	Others []Listener

	callers *http.Server
	others  []*http.Server
	peers   *peer.Server
	sockets []net.Listener
	group   sync.WaitGroup
}

// Open binds all addresses; on an error, none stays bound.
func (l *Listeners) Open() error {
	addresses := []string{l.Daemon.Settings.CallerAddress, l.Daemon.Settings.PeerAddress}
	for _, o := range l.Others {
		addresses = append(addresses, o.Address)
	}
	for _, address := range addresses {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range l.sockets {
				_ = open.Close()
			}
			return daisygap.WrapError("listen", address, err)
		}
		l.sockets = append(l.sockets, ln)
	}
	return nil
}

// Run starts serving on the addresses that Open has bound.
func (l *Listeners) Run() {
	shares := listen.FileShares()
	l.Daemon.maxForwards = int64(shares.Upstreams)
	l.callers = l.server(http.HandlerFunc(l.Daemon.ServeCaller))
	l.serve(l.callers, l.guard("caller", shares.Callers).Listen(l.sockets[0]))
	l.peers = &peer.Server{Steering: l.Daemon, Log: l.Daemon.Log.With("peer")}
	peers := l.guard("peer", shares.Peers).Listen(l.sockets[1])
	l.group.Go(func() { l.peers.Run(peers) })
	for i, o := range l.Others {
		s := l.server(o.Handler)
		s.ReadTimeout, s.WriteTimeout = otherTimeout, otherTimeout
		l.others = append(l.others, s)
		l.serve(s, l.guard(o.Address, max(1, shares.Operators/len(l.Others))).Listen(l.sockets[2+i]))
	}
}

// guard returns a guard of a listener.
func (l *Listeners) guard(name string, connections int) *listen.Guard {
	g := &listen.Guard{Name: name, Connections: connections, OnClose: l.Daemon.logClosing}
	g.Memory.Limit = max(2*peer.MaxMessage, memoryBudget(l.Daemon.Settings.Steering.MemoryMB)/2)
	return g
}

func (l *Listeners) server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: listen.RecoverPanics(h, l.Daemon.logPanic), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: l.Daemon.errorLog(),
		// OPTIONS * is refused like any other target without a route.
		DisableGeneralOptionsHandler: true,
	}
	listen.Protect(s)
	return s
}

func (l *Listeners) serve(s *http.Server, ln net.Listener) {
	l.group.Go(func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.Daemon.Log.Event("listener failed", daisygap.Fields{"address": ln.Addr().String(), "error": err.Error()})
		}
	})
}

// ShutdownCallers closes the listener for callers and its idle connections, and waits for the requests in flight until the
// context ends.
func (l *Listeners) ShutdownCallers(ctx context.Context) error {
	return l.callers.Shutdown(ctx)
}

// Close closes all listeners and connections at once.
func (l *Listeners) Close() {
	_ = l.callers.Close()
	for _, s := range l.others {
		_ = s.Close()
	}
	_ = l.sockets[1].Close()
	l.peers.Close()
	l.group.Wait()
}

// logPanic logs a panic of a handler.
func (d *Daemon) logPanic(r *http.Request, cause, stack string) {
	d.event("panic", "panic", func() daisygap.Fields {
		return daisygap.Fields{"id": d.Protocol.ReadRequestHead(r).ID, "error": cause, "stack": stack}
	})
}

// logClosing logs that a connection was closed to make room for others.
func (d *Daemon) logClosing(c listen.Closing) {
	d.event("connection closed", c.Reason, func() daisygap.Fields {
		return daisygap.Fields{
			"listener": c.Listener, "reason": c.Reason, "address": c.Address, "stalled_ms": c.Stalled, "held_bytes": c.Held, "connections": c.Count,
		}
	})
}

// MetricsHandler returns a handler that serves the metrics in the Prometheus text format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
