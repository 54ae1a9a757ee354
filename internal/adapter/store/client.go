package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

const (
	callTimeout = daisygap.Millis(2_000)
	maxAnswer   = 32 << 20
)

// Client implements daisygap.Store; set the fields before the first call.
type Client struct {
	// Base is the service's URL.
	Base string
	// Host is this daemon's name, sent along for the service's own logs.
	Host string
	HTTP *http.Client
}

var _ daisygap.Store = (*Client)(nil)

type swapRequest struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease,omitempty"`
}

type leaseRequest struct {
	Lease  string          `json:"lease,omitempty"`
	Length daisygap.Millis `json:"length,omitempty"`
}

// Get returns the entry of a key; a missing key has revision 0.
func (c *Client) Get(ctx context.Context, key string) (daisygap.Entry, error) {
	var e daisygap.Entry
	err := c.call(ctx, callTimeout, "get", url.Values{"key": {key}}, nil, &e)
	return e, err
}

// List returns the entries after a key under a prefix, in key order, up to a limit.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (daisygap.Batch, error) {
	var b daisygap.Batch
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, callTimeout, "list", q, nil, &b)
	return b, err
}

// Swap writes a key if its revision is the expected one; any error but ErrConflict leaves the outcome unknown.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expect uint64, lease string) (daisygap.Entry, error) {
	var e daisygap.Entry
	err := c.call(ctx, callTimeout, "swap", nil, swapRequest{Key: key, Value: value, Expect: expect, Lease: lease}, &e)
	return e, err
}

// Grant opens a lease of a length in milliseconds and returns its name.
func (c *Client) Grant(ctx context.Context, length daisygap.Millis) (string, error) {
	var l leaseRequest
	err := c.call(ctx, callTimeout, "grant", nil, leaseRequest{Length: length}, &l)
	return l.Lease, err
}

// Renew extends a lease, or returns ErrLapsed.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.call(ctx, callTimeout, "renew", nil, leaseRequest{Lease: lease}, nil)
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.call(ctx, callTimeout, "revoke", nil, leaseRequest{Lease: lease}, nil)
}

// Watch returns changes under a prefix after a revision, waiting up to a span for the first.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait daisygap.Millis) (daisygap.Batch, error) {
	var b daisygap.Batch
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {strconv.FormatInt(int64(wait), 10)},
	}
	err := c.call(ctx, wait+callTimeout, "watch", q, nil, &b)
	return b, err
}

// call sends one request; a body makes it a POST.
func (c *Client) call(ctx context.Context, timeout daisygap.Millis, name string, query url.Values, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_store_calls_total{call=%q}`, name)).Inc()
	req, err := c.request(ctx, name, query, body)
	if err != nil {
		return daisygap.Fail("store "+name, c.Base, err)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_store_errors_total{call=%q}`, name)).Inc()
		return daisygap.Fail("store "+name, c.Base, err)
	}
	defer func() { _ = res.Body.Close() }()
	return daisygap.Fail("store "+name, c.Base, c.read(res, into))
}

func (c *Client) request(ctx context.Context, name string, query url.Values, body any) (*http.Request, error) {
	address := c.Base + "/v1/" + name
	if query != nil {
		address += "?" + query.Encode()
	}
	method := http.MethodGet
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		method = http.MethodPost
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, address, payload)
	if err != nil {
		return nil, err
	}
	req.Header.Set(daisygap.HeaderHost, c.Host)
	return req, nil
}

func (c *Client) read(res *http.Response, into any) error {
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return daisygap.ErrConflict
	case http.StatusGone:
		return daisygap.ErrLapsed
	default:
		return fmt.Errorf("status %d", res.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(into)
}
