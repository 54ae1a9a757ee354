package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/caller"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/adapter/peer"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 120 * time.Second
	maxHeader     = 64 << 10
)

// Listeners serves the caller, forward, peer and operator addresses of a daemon; set the exported fields before Open.
type Listeners struct {
	Daemon *Daemon
	// TLS is the TLS configuration of the forward, peer and operator listeners, or nil for plain TCP.
	TLS *tls.Config

	caller    *http.Server
	forward   *http.Server
	operator  *http.Server
	peer      *peer.Server
	listeners []net.Listener
	tasks     sync.WaitGroup
}

// Open binds all addresses, and replaces port 0 in the settings by the port that was assigned.
func (ls *Listeners) Open() error {
	s := ls.Daemon.Settings
	for _, address := range []*string{&s.CallerAddress, &s.ForwardAddress, &s.PeerAddress, &s.OperatorAddress} {
		l, err := net.Listen("tcp", *address)
		if err != nil {
			ls.closeListeners()
			return daisygap.WrapError("listen", *address, err)
		}
		*address = l.Addr().String()
		ls.listeners = append(ls.listeners, l)
	}
	return nil
}

func (ls *Listeners) closeListeners() {
	for _, l := range ls.listeners {
		_ = l.Close()
	}
}

// Run starts serving on the open addresses.
func (ls *Listeners) Run() {
	d := ls.Daemon
	lookup := &caller.Lookup{Table: d.Table, Refuse: d.RefuseLookup}
	ls.caller = ls.newServer(ls.closesWhenStopping(callerHandler(lookup, d.ServeCaller)))
	ls.forward = ls.newServer(ls.closesWhenStopping(http.HandlerFunc(d.ServeForwarded)))
	operatorServer := &operator.Server{Operations: d, Token: d.Settings.Token, Pprof: d.Settings.Pprof}
	ls.operator = ls.newServer(operatorServer.Handler())
	ls.peer = &peer.Server{Service: d, Log: d.Log.With("peer")}

	ls.serve(ls.caller, ls.listeners[0])
	ls.serve(ls.forward, ls.withTLS(ls.listeners[1]))
	ls.tasks.Go(func() { ls.peer.Run(ls.withTLS(ls.listeners[2])) })
	ls.serve(ls.operator, ls.withTLS(ls.listeners[3]))
}

func (ls *Listeners) withTLS(l net.Listener) net.Listener {
	if ls.TLS == nil {
		return l
	}
	return tls.NewListener(l, ls.TLS)
}

func (ls *Listeners) newServer(h http.Handler) *http.Server {
	return &http.Server{
		// OPTIONS * is refused like any other target that no kind matches.
		DisableGeneralOptionsHandler: true,

		Handler:           listen.RecoverPanics(h, ls.logPanic),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// logPanic logs a panic of a handler.
func (ls *Listeners) logPanic(r *http.Request, cause, stack string) {
	ls.Daemon.Log.With("face").Warnf("request %q: handler panicked: %s\n%s", r.Header.Get(daisygap.HeaderID), cause, stack)
}

// closesWhenStopping returns a handler whose responses end their connections once the daemon stops, so that few kept connections are left
// on which a request could cross the close.
func (ls *Listeners) closesWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ls.Daemon.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// callerHandler routes look-ups to their handler and everything else to the request handler.
func callerHandler(lookup http.Handler, serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == caller.LookupPath {
			lookup.ServeHTTP(w, r)
			return
		}
		serve(w, r)
	})
}

func (ls *Listeners) serve(s *http.Server, l net.Listener) {
	ls.tasks.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			ls.Daemon.Log.With("face").Warnf("server on %s failed: %v", l.Addr(), err)
		}
	})
}

// Drain stops accepting requests of callers and of other daemons, and waits for those in flight.
func (ls *Listeners) Drain(ctx context.Context) error {
	return errors.Join(ls.caller.Shutdown(ctx), ls.forward.Shutdown(ctx))
}

// Close closes all listeners and connections at once.
func (ls *Listeners) Close() {
	_ = ls.caller.Close()
	_ = ls.forward.Close()
	_ = ls.operator.Close()
	ls.closeListeners()
	ls.peer.Close()
	ls.tasks.Wait()
}
