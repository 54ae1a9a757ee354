package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	// directoryAttempts is the number of directories that a caller queries in one resolution.
	directoryAttempts = 3
	directoryTimeout  = time.Second
	// resolutionTTL is how long a caller uses a directory's response; patient callers use it three times as long.
	resolutionTTL  = 2 * time.Second
	connectTimeout = time.Second
	// requestDeadline is the deadline that callers send with a request. They wait for the response graceAfterDeadline
	// longer.
	requestDeadline    = 2_500 * time.Millisecond
	graceAfterDeadline = time.Second
	// longServiceTime is the service time of slow requests and of those that are canceled early. It is far above the
	// 100 to 300 ms after which the latter are canceled.
	longServiceTime = 1_500 * time.Millisecond
	// meanUploadBytes and maxUploadBytes are the mean and the maximum size of the body of an upload.
	meanUploadBytes = 60 << 10
	maxUploadBytes  = 360 << 10
	// forgedCustomer is the name in the header Tenant that every fourth request bears, which daemons must remove.
	forgedCustomer = "forged"
)

// Entry is one daemon that callers can connect to.
type Entry struct {
	Name   string
	Domain string
	Region string
	// Advertised is the address in the directory's responses. Caller and Directory are the addresses to connect to.
	Advertised string
	Caller     string
	Directory  string
	// Incarnation returns the incarnation number of the daemon's current process.
	Incarnation func() int
}

// Kind is one kind of request.
type Kind struct {
	Method string
	Prefix string
	// Weight is the relative share of this kind in the requests.
	Weight int
	Route  promise.Route
	// Keys are the keys of the requests; each request carries one of them. Without any, requests carry no key.
	Keys []promise.Key
	// Upload marks kinds whose requests have large bodies.
	Upload bool
	// Slow marks kinds whose requests take longServiceTime to run.
	Slow bool
	// CancelsEarly marks kinds whose requests take longServiceTime and are canceled after 100 to 300 ms.
	CancelsEarly bool
}

// Caller sends one request at a time. Set the exported fields before Run.
type Caller struct {
	Name   string
	Domain string
	Region string
	// Patient callers cache the directory's response three times as long as others.
	Patient bool
	// MeanInterval is the mean pause between two requests.
	MeanInterval time.Duration
	Entries      []Entry
	// Kinds returns the kinds of requests that can be sent now.
	Kinds   func() []Kind
	Checker *promise.Checker
	Random  *rand.Rand

	// client holds the connection to entry; both are nil while disconnected.
	client *upstream.Client
	entry  *Entry
	// addresses is the directory's latest response, and failed those of them that didn't return a complete response
	// since.
	addresses  []string
	resolvedAt time.Time
	failed     map[string]bool
}

// requestCount makes the request IDs of all callers of the process unique.
var requestCount atomic.Int64

// Run sends requests until the context ends.
func (c *Caller) Run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if c.selectEntry() {
			c.sendRequest(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.MeanInterval/2 + time.Duration(c.Random.Int64N(int64(c.MeanInterval)))):
		}
	}
}

// resolve queries the directories, nearest first, if the cached response has expired. It disconnects from a daemon that
// is no longer among the addresses.
func (c *Caller) resolve(ctx context.Context) {
	ttl := resolutionTTL
	if c.Patient {
		ttl *= 3
	}
	if time.Since(c.resolvedAt) < ttl {
		return
	}
	entries := slices.Clone(c.Entries)
	c.Random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b Entry) int { return c.distance(a) - c.distance(b) })
	for _, e := range entries[:min(len(entries), directoryAttempts)] {
		if addresses := queryDirectory(ctx, e.Directory, c.Region, c.Domain); len(addresses) > 0 {
			c.addresses, c.resolvedAt, c.failed = addresses, time.Now(), make(map[string]bool)
			break
		}
	}
	if c.entry != nil && !slices.Contains(c.addresses, c.entry.Advertised) {
		c.disconnect()
	}
}

func (c *Caller) distance(e Entry) int {
	switch {
	case e.Domain == c.Domain:
		return 0
	case e.Region == c.Region:
		return 1
	}
	return 2
}

func queryDirectory(ctx context.Context, address, region, domain string) []string {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	q := url.Values{"name": {site.Host}, "region": {region}, "zone": {domain}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolution?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var resolution struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(res.Body).Decode(&resolution) != nil {
		return nil
	}
	return resolution.Addresses
}

// selectEntry picks a random daemon for the next connection, unless one is open, and reports whether there is a daemon
// to send to. If all addresses have failed, the next call of resolve queries the directory again.
func (c *Caller) selectEntry() bool {
	if c.entry != nil {
		return true
	}
	candidates := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.failed[a] })
	if len(candidates) == 0 {
		c.resolvedAt = time.Time{}
		return false
	}
	chosen := candidates[c.Random.IntN(len(candidates))]
	for i := range c.Entries {
		if c.Entries[i].Advertised == chosen {
			c.entry = &c.Entries[i]
			c.client = upstream.NewClient(nil, (&net.Dialer{Timeout: connectTimeout}).DialContext)
			return true
		}
	}
	return false
}

func (c *Caller) disconnect() {
	if c.client != nil {
		c.client.Close()
	}
	c.entry, c.client = nil, nil
}

// sendRequest sends one request and reports it and its outcome to the checker. It disconnects after an incomplete
// response, and then pauses as long as Retry-After asks, up to a third of the deadline.
func (c *Caller) sendRequest(ctx context.Context) {
	k := c.chooseKind()
	id := fmt.Sprintf("%s-%d", c.Name, requestCount.Add(1))
	object := c.Random.IntN(40)
	path := k.Prefix + strconv.Itoa(object)
	if k.Slow || k.CancelsEarly {
		path += "?ms=" + strconv.FormatInt(longServiceTime.Milliseconds(), 10)
	}
	request := promise.Request{ID: id, Path: path, Route: k.Route, Daemon: c.entry.Name, Incarnation: c.entry.Incarnation(), Sent: time.Now()}
	timeout := requestDeadline + graceAfterDeadline
	if k.CancelsEarly {
		timeout = time.Duration(100+c.Random.IntN(200)) * time.Millisecond
		request.CancelAt = request.Sent.Add(timeout)
	}
	if k.Method == http.MethodPost {
		request.Body = id
	}
	if k.Upload {
		request.Body += strings.Repeat("u", min(maxUploadBytes-len(id), int(meanUploadBytes*c.Random.ExpFloat64())))
	}
	if len(k.Keys) > 0 {
		request.Key = k.Keys[c.Random.IntN(len(k.Keys))]
	}
	c.Checker.RequestSent(request)
	// The end of the run doesn't cancel requests in flight: they end at their own time-out.
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	result, retryAfter, closing := c.send(requestCtx, request, k.Method, object)
	result.Ended = time.Now()
	c.Checker.RequestEnded(id, result)
	if !result.Complete {
		c.failed[c.entry.Advertised] = true
	}
	if !result.Complete || closing {
		c.disconnect()
	}
	time.Sleep(min(retryAfter, requestDeadline/3))
}

func (c *Caller) chooseKind() Kind {
	kinds := c.Kinds()
	total := 0
	for _, k := range kinds {
		total += k.Weight
	}
	pick := c.Random.IntN(total)
	for _, k := range kinds {
		if pick -= k.Weight; pick < 0 {
			return k
		}
	}
	return kinds[0]
}

// send sends a request and returns its result, the pause of the Retry-After header, and whether the daemon closes the
// connection.
func (c *Caller) send(ctx context.Context, request promise.Request, method string, object int) (result promise.Result, retryAfter time.Duration, closing bool) {
	r, err := http.NewRequest(method, "http://"+c.entry.Caller+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return result, 0, false
	}
	r.Host = site.Host
	r.Header.Set("Request-Id", request.ID)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	r.Header.Set("Cookie", "Request-Affinity="+strconv.Itoa(object))
	if request.Key.Value != "" {
		r.Header.Set("Authorization", "Bearer "+request.Key.Value)
	}
	if c.Random.IntN(4) == 0 {
		r.Header.Set("Tenant", forgedCustomer)
	}
	res, err := c.client.Send(ctx, r, false)
	result.Connected = err == nil || !errors.Is(err, upstream.ErrNotSent)
	result.InvalidStatus = errors.Is(err, upstream.ErrInvalidStatus)
	if err != nil {
		return result, 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	result.Complete, result.Status, result.Body = err == nil, res.StatusCode, string(body)
	result.ID, result.Stamp = res.Header.Get("Request-Id"), res.Header.Get("Response-Stamp")
	result.Reason = res.Header.Get(daisygap.HeaderReason)
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result, retryAfter, res.Close
}
