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
	"github.com/daisygap/daisygap/internal/adapter/peer"
)

const (
	// headerTimeout and idleTimeout bound slow and idle callers; both lie over the operators' own limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader is the largest head of a request in bytes.
	maxHeader = 64 << 10
)

// Listener is one address with its handler.
type Listener struct {
	Address string
	Handler http.Handler
}

// Listeners are the addresses that a daemon listens on; set the fields before Open.
type Listeners struct {
	Daemon *Daemon
	// Others are the faces beside those for callers and peers.
	Others []Listener

	callers *http.Server
	others  []*http.Server
	peers   *peer.Server
	sockets []net.Listener
	group   sync.WaitGroup
}

// Open binds all addresses.
func (f *Listeners) Open() error {
	addresses := []string{f.Daemon.Settings.CallerAddress, f.Daemon.Settings.PeerAddress}
	for _, o := range f.Others {
		addresses = append(addresses, o.Address)
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range f.sockets {
				_ = open.Close()
			}
			return daisygap.WrapError("listen", address, err)
		}
		f.sockets = append(f.sockets, l)
	}
	return nil
}

// Run starts to serve on the open addresses.
func (f *Listeners) Run() {
	f.callers = f.server(http.HandlerFunc(f.Daemon.ServeCaller))
	f.serve(f.callers, f.sockets[0])
	f.peers = &peer.Server{Steering: f.Daemon, Log: f.Daemon.Log.With("peer")}
	f.group.Go(func() { f.peers.Run(f.sockets[1]) })
	for i, o := range f.Others {
		s := f.server(o.Handler)
		f.others = append(f.others, s)
		f.serve(s, f.sockets[2+i])
	}
}

func (f *Listeners) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: f.Daemon.errorLog(),
	}
}

func (f *Listeners) serve(s *http.Server, l net.Listener) {
	f.group.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.Daemon.Log.Event("face ended", daisygap.Fields{"address": l.Addr().String(), "error": err.Error()})
		}
	})
}

// ShutdownCallers takes no new connections and closes the idle ones; it waits for the requests in flight until the context ends.
func (f *Listeners) ShutdownCallers(ctx context.Context) error {
	return f.callers.Shutdown(ctx)
}

// Close ends everything at once.
func (f *Listeners) Close() {
	_ = f.callers.Close()
	for _, s := range f.others {
		_ = s.Close()
	}
	_ = f.sockets[1].Close()
	f.peers.Close()
	f.group.Wait()
}

// MetricsHandler serves the counters as text.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
