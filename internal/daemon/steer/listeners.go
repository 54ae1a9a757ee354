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
	// maxHeader is the maximum size of a request header in bytes.
	maxHeader = 64 << 10
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
	l.callers = l.server(http.HandlerFunc(l.Daemon.ServeCaller))
	l.serve(l.callers, l.sockets[0])
	l.peers = &peer.Server{Steering: l.Daemon, Log: l.Daemon.Log.With("peer")}
	l.group.Go(func() { l.peers.Run(l.sockets[1]) })
	for i, o := range l.Others {
		s := l.server(o.Handler)
		l.others = append(l.others, s)
		l.serve(s, l.sockets[2+i])
	}
}

func (l *Listeners) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: listen.RecoverPanics(h, l.Daemon.logPanic), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: l.Daemon.errorLog(),
		// OPTIONS * is refused like any other target without a route.
		DisableGeneralOptionsHandler: true,
	}
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

// MetricsHandler returns a handler that serves the metrics in the Prometheus text format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
