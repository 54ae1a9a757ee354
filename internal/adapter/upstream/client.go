package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/daisygap/daisygap"
)

const (
	dialTimeout            = 1 * time.Second
	idleTimeout            = 90 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
	// bufferBytes is the size of each of a connection's two buffers.
	bufferBytes = 32 << 10
)

// ErrNotSent is returned if there was no connection, so that no byte of the request can have reached the other side.
var ErrNotSent = errors.New("request not sent")

// ErrMaybeExecuted is returned if an attempt failed after a connection was acquired. The other side may have executed the
// request.
var ErrMaybeExecuted = errors.New("request failed and may have been executed")

// ErrInvalidStatus is returned, together with ErrMaybeExecuted, if the status of a response isn't that of a final response.
var ErrInvalidStatus = errors.New("invalid status")

// Client sends requests to upstreams or to other entry hosts. It never sends a request again by itself, unless Send is called
// with mayRepeat set.
type Client struct {
	// OnEarlyEnd, if not nil, is called with an address when the other side ends an idle connection within a second of its latest
	// response, which didn't announce that. It must be set before the first request.
	OnEarlyEnd func(address string)

	transport *http.Transport
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that reuses connections. A nil dial opens plain TCP connections, and a nil tlsConfig stands for
// the defaults.
func NewClient(tlsConfig *tls.Config, dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{}
	c.transport = &http.Transport{
		DialContext:            c.track(dial),
		TLSClientConfig:        tlsConfig,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
	return c
}

// SetIdleTimeout sets the time after which an unused connection is closed. It must be called before the first request.
func (c *Client) SetIdleTimeout(timeout daisygap.Millis) {
	c.transport.IdleConnTimeout = timeout.Duration()
}

// SetBufferSize sets the size in bytes of each of a connection's two buffers. It must be called before the first request.
func (c *Client) SetBufferSize(size int) {
	c.transport.WriteBufferSize, c.transport.ReadBufferSize = size, size
}

// SetMaxIdle bounds the number of unused connections. It must be called before the first request.
func (c *Client) SetMaxIdle(count int) {
	c.transport.MaxIdleConns = count
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// maxStaleConns is the number of reused connections in a row that a request may find closed before it fails.
const maxStaleConns = 4

// Send sends a request, and sends it only once unless mayRepeat is set. A request of which no byte was sent on a reused connection,
// because that had been closed, goes on to another connection if its body can be read again. The error wraps ErrNotSent or
// ErrMaybeExecuted, in a daisygap.Error with the address.
func (c *Client) Send(ctx context.Context, r *http.Request, mayRepeat bool) (*http.Response, error) {
	getBody, hasBody := r.GetBody, r.Body != nil && r.Body != http.NoBody
	for try := 1; ; try++ {
		var use connUse
		out := r.WithContext(httptrace.WithClientTrace(ctx, use.trace()))
		if !mayRepeat {
			preventReplay(out)
		}
		res, err := c.transport.RoundTrip(out)
		if err == nil && daisygap.IsFinalStatus(res.StatusCode) {
			return res, nil
		}
		if err == nil {
			use.close()
			_ = res.Body.Close()
			return nil, daisygap.WrapError("send", r.URL.Host, fmt.Errorf("%w: %w %03d", ErrMaybeExecuted, ErrInvalidStatus, res.StatusCode))
		}
		unsent := use.isUnsent() && ctx.Err() == nil
		if unsent && use.reused.Load() && try < maxStaleConns && (!hasBody || getBody != nil) {
			if hasBody {
				if r.Body, err = getBody(); err != nil {
					return nil, daisygap.WrapError("send", r.URL.Host, errors.Join(ErrNotSent, err))
				}
			}
			continue
		}
		class := ErrMaybeExecuted
		if unsent || !use.connected.Load() {
			class = ErrNotSent
		}
		return nil, daisygap.WrapError("send", r.URL.Host, errors.Join(class, err))
	}
}

// Probe opens a connection to an address and closes it.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return daisygap.WrapError("probe", address, err)
	}
	return conn.Close()
}

// Watch opens a connection to an address, calls opened, and waits until the other side ends the connection or sends something, which
// returns nil, or until the context ends.
func (c *Client) Watch(ctx context.Context, address string, opened func()) error {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return daisygap.WrapError("watch", address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	opened()
	_, _ = conn.Read(make([]byte, 1))
	return ctx.Err()
}

// preventReplay prevents net/http from sending a request again after the other side closed a reused connection. The package
// does so by itself for idempotent methods and for every request with an idempotency key, if the request has no body or one
// that can be rewound.
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

// hideHeader changes the name of a header to lower case. The header is still sent, but net/http no longer recognises it as
// an idempotency key, which would permit a replay.
func hideHeader(h http.Header, name string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}

// emptyBody is a body of length 0 that net/http, unlike http.NoBody, doesn't regard as repeatable.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
