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
	// operatorReadTimeout and operatorWriteTimeout bound the requests of operators, of which a profile takes 30 s.
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 90 * time.Second
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

	ls.operator.ReadTimeout, ls.operator.WriteTimeout = operatorReadTimeout, operatorWriteTimeout

	shares := listen.FileShares()
	d.maxSends = int64(shares.Upstreams)
	ls.serve(ls.caller, ls.guard("caller", shares.Callers).Listen(ls.listeners[0]))
	// Other daemons forward requests over few connections.
	ls.serve(ls.forward, ls.withTLS(ls.guard("carry", shares.Upstreams).Listen(ls.listeners[1])))
	peers := ls.withTLS(ls.guard("peer", shares.Peers).Listen(ls.listeners[2]))
	ls.tasks.Go(func() { ls.peer.Run(peers) })
	ls.serve(ls.operator, ls.withTLS(ls.guard("operator", shares.Operators).Listen(ls.listeners[3])))
}

func (ls *Listeners) withTLS(l net.Listener) net.Listener {
	if ls.TLS == nil {
		return l
	}
	return tls.NewListener(l, ls.TLS)
}

func (ls *Listeners) newServer(h http.Handler) *http.Server {
	s := &http.Server{
		// OPTIONS * is refused like any other target that no kind matches.
		DisableGeneralOptionsHandler: true,

		Handler:           listen.RecoverPanics(h, ls.logPanic),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	listen.Protect(s)
	return s
}

// guard returns a guard of a listener.
func (ls *Listeners) guard(name string, connections int) *listen.Guard {
	g := &listen.Guard{Name: name, Connections: connections, OnClose: ls.logClosing}
	g.Memory.Limit = max(2*peer.MaxMessage, requestMemory()/2)
	return g
}

// logClosing logs that a connection was closed to make room for others.
func (ls *Listeners) logClosing(c listen.Closing) {
	ls.Daemon.Log.With("face").Warnf("closed %d connections at %s for their %s, one of %s that held %d bytes and made no progress for %d ms",
		c.Count, c.Listener, c.Reason, c.Address, c.Held, c.Stalled)
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
