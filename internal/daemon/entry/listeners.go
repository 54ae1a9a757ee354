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
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/adapter/peer"
)

// Limits of the HTTP faces.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 120 * time.Second
	maxHeader     = 64 << 10
)

// Listeners are the addresses that a daemon listens on; set the fields before Open.
type Listeners struct {
	Daemon *Daemon
	// TLS is the TLS configuration of the carry, peer and operator faces, or nil.
	TLS *tls.Config

	caller    *http.Server
	carry     *http.Server
	operator  *http.Server
	peer      *peer.Server
	listeners []net.Listener
	tasks     sync.WaitGroup
}

// Open binds all addresses; port 0 is replaced in the settings by the port it got.
func (f *Listeners) Open() error {
	s := f.Daemon.Settings
	for _, address := range []*string{&s.CallerAddress, &s.ForwardAddress, &s.PeerAddress, &s.OperatorAddress} {
		l, err := net.Listen("tcp", *address)
		if err != nil {
			f.closeListeners()
			return daisygap.WrapError("listen", *address, err)
		}
		*address = l.Addr().String()
		f.listeners = append(f.listeners, l)
	}
	return nil
}

func (f *Listeners) closeListeners() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// Run starts to serve on the open addresses.
func (f *Listeners) Run() {
	d := f.Daemon
	lookup := &caller.Lookup{Table: d.Table, Refuse: d.RefuseLookup}
	f.caller = newServer(callerHandler(lookup, d.ServeCaller))
	f.carry = newServer(http.HandlerFunc(d.ServeForwarded))
	face := &operator.Server{Operations: d, Token: d.Settings.Token, Pprof: d.Settings.Pprof}
	f.operator = newServer(face.Handler())
	f.peer = &peer.Server{Service: d, Log: d.Log.With("peer")}

	f.serve(f.caller, f.listeners[0])
	f.serve(f.carry, f.withTLS(f.listeners[1]))
	f.tasks.Go(func() { f.peer.Run(f.withTLS(f.listeners[2])) })
	f.serve(f.operator, f.withTLS(f.listeners[3]))
}

func (f *Listeners) withTLS(l net.Listener) net.Listener {
	if f.TLS == nil {
		return l
	}
	return tls.NewListener(l, f.TLS)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// callerHandler sends look-ups to their handler and everything else to be carried.
func callerHandler(lookup http.Handler, carry http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == caller.LookupPath {
			lookup.ServeHTTP(w, r)
			return
		}
		carry(w, r)
	})
}

func (f *Listeners) serve(s *http.Server, l net.Listener) {
	f.tasks.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.Daemon.Log.With("face").Warnf("serving %s ended: %v", l.Addr(), err)
		}
	})
}

// Drain stops accepting callers' and daemons' requests and waits for those in flight.
func (f *Listeners) Drain(ctx context.Context) error {
	return errors.Join(f.caller.Shutdown(ctx), f.carry.Shutdown(ctx))
}

// Close ends everything at once.
func (f *Listeners) Close() {
	_ = f.caller.Close()
	_ = f.carry.Close()
	_ = f.operator.Close()
	f.closeListeners()
	f.peer.Close()
	f.tasks.Wait()
}
