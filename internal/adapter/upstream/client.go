package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
)

const (
	dialTimeout            = 1 * time.Second
	idleTimeout            = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
)

// ErrNotSent marks a failure before any byte of the request could reach the other side.
var ErrNotSent = errors.New("no connection")

// ErrMaybeExecuted marks a failure after which the other side may have run the request.
var ErrMaybeExecuted = errors.New("connection broken")

// Client sends requests to upstreams or to other entry hosts and never sends one twice.
type Client struct {
	transport *http.Transport
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that keeps connections warm; secure and dial may be nil.
func NewClient(tlsConfig *tls.Config, dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        tlsConfig,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        32 << 10,
		ReadBufferSize:         32 << 10,
	}}
}

// SetIdleTimeout sets how long an unused connection is kept, before the first request.
func (c *Client) SetIdleTimeout(timeout daisygap.Millis) {
	c.transport.IdleConnTimeout = timeout.Duration()
}

// Close drops idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Send sends a request, and only once unless it may be repeated; its error wraps ErrNotSent or ErrMaybeRun and names the step and the peer.
func (c *Client) Send(ctx context.Context, r *http.Request, mayRepeat bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	if !mayRepeat {
		preventReplay(r)
	}
	res, err := c.transport.RoundTrip(r)
	if err == nil {
		return res, nil
	}
	class := ErrNotSent
	if connected.Load() {
		class = ErrMaybeExecuted
	}
	return nil, daisygap.WrapError("send", r.URL.Host, errors.Join(class, err))
}

// preventReplay keeps net/http from sending a request again by itself on a connection that the other side closed:
// it does so for idempotent methods, and for every request with an idempotency key, when there is no body or it can be rewound.
func preventReplay(r *http.Request) {
	r.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = emptyBody{}
	default:
		hideHeader(r.Header, daisygap.HeaderKey)
		hideHeader(r.Header, "X-"+daisygap.HeaderKey)
	}
}

// hideHeader keeps a header on the wire under a spelling that net/http doesn't take as a leave to replay.
func hideHeader(h http.Header, name string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}

type emptyBody struct{}

// Read returns the end of the body.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
