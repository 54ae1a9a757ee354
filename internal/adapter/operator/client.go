package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/daisygap/daisygap"
)

// maxResponseBytes limits the size of a response that the client reads.
const maxResponseBytes = 64 << 20

// ErrToken is returned if the daemon rejects the token of a write.
var ErrToken = errors.New("the token isn't the one in the daemon's settings; give it with --token")

// Client is a client of a daemon's operator API. Its errors are those of daisygap.Operations, ErrToken, or a daisygap.Error
// with the operation and the URL.
type Client struct {
	// Base is the URL of the operator API.
	Base  string
	Token string
	HTTP  *http.Client
}

// Status fetches the status of the daemon and of the domains that it knows.
func (c *Client) Status(ctx context.Context) (daisygap.Status, error) {
	var s daisygap.Status
	err := c.get(ctx, "status", nil, &s)
	return s, err
}

// Document fetches the current configuration and its version.
func (c *Client) Document(ctx context.Context) (uint64, json.RawMessage, error) {
	var a configResponse
	err := c.get(ctx, "config", nil, &a)
	return a.Version, a.Document, err
}

// History fetches the patches after a version. The truncated result reports that older patches are no longer kept.
func (c *Client) History(ctx context.Context, since uint64) (patches []daisygap.Patch, truncated bool, err error) {
	var a historyResponse
	err = c.get(ctx, "history", url.Values{"since": {strconv.FormatUint(since, 10)}}, &a)
	return a.Patches, a.Truncated, err
}

// Patch commits a merge patch against a base version and returns the new version.
func (c *Client) Patch(ctx context.Context, base uint64, p daisygap.Patch) (uint64, error) {
	data, err := json.Marshal(patchRequest{Base: base, ID: p.ID, Author: p.Author, Merge: p.Merge})
	if err != nil {
		return 0, err
	}
	var a patchResponse
	err = c.call(ctx, http.MethodPost, "patch", nil, data, &a)
	return a.Version, err
}

// Members fetches the daemons of all domains, and the names of the domains that were unreachable.
func (c *Client) Members(ctx context.Context) ([]daisygap.MemberStatus, []string, error) {
	var a membersResponse
	err := c.get(ctx, "members", nil, &a)
	return a.Members, a.Missing, err
}

// Explain decodes the receipt of a refused request.
func (c *Client) Explain(ctx context.Context, receipt string) (*daisygap.Refusal, error) {
	var r daisygap.Refusal
	if err := c.get(ctx, "explain", url.Values{"receipt": {receipt}}, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// Totals fetches the numbers of refused requests, and the names of what was unreachable.
func (c *Client) Totals(ctx context.Context) ([]daisygap.RefusalTotal, []string, error) {
	var a totalsResponse
	err := c.get(ctx, "refusals", nil, &a)
	return a.Totals, a.Missing, err
}

// Lookup fetches the response that a caller with the given address gets to a look-up of a kind.
func (c *Client) Lookup(ctx context.Context, address, kind string) (json.RawMessage, error) {
	var a json.RawMessage
	err := c.get(ctx, "lookup", url.Values{"caller": {address}, "kind": {kind}}, &a)
	return a, err
}

func (c *Client) get(ctx context.Context, name string, q url.Values, result any) error {
	return c.call(ctx, http.MethodGet, name, q, nil, result)
}

func (c *Client) call(ctx context.Context, method, name string, q url.Values, body []byte, result any) error {
	address := c.Base + "/v1/" + name
	if q != nil {
		address += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return daisygap.WrapError(name, c.Base, err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return daisygap.WrapError(name, c.Base, err)
	}
	defer func() { _ = res.Body.Close() }()
	d := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes))
	if res.StatusCode != http.StatusOK {
		var e errorResponse
		if err := d.Decode(&e); err != nil {
			return daisygap.WrapError(name, c.Base, errors.New(res.Status))
		}
		return e.toError()
	}
	return daisygap.WrapError(name, c.Base, d.Decode(result))
}

// toError returns the error that the response stands for.
func (e *errorResponse) toError() error {
	switch {
	case e.Code == codeStale && e.Stale != nil:
		return e.Stale
	case e.Code == codeField && e.Field != nil:
		return e.Field
	case e.Code == codeNoStore:
		return daisygap.ErrStoreUnreachable
	case e.Code == codeOutcomeUnknown:
		return daisygap.ErrOutcomeUnknown
	case e.Code == codeToken:
		return ErrToken
	}
	return errors.New(e.Text)
}
