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

	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	// directoryTries and directoryTimeout are how a caller asks where to connect.
	directoryTries   = 3
	directoryTimeout = time.Second
	// keepAnswer is how long an answer of the directory counts; patient callers keep it three times as long.
	keepAnswer = 2 * time.Second
	// connectTimeout is what callers allow a new connection.
	connectTimeout = time.Second
	// deadline is what callers say that they wait, and overtime how long they really do.
	deadline = 2_500 * time.Millisecond
	overtime = time.Second
	// longest is the service time of requests that are given up on, which lasts well beyond that.
	longest = 1_500 * time.Millisecond
)

// Entry is one daemon as callers find it.
type Entry struct {
	Name   string
	Domain string
	Region string
	// Advertised is the address in the directory's answers, and Caller and Directory those to connect to.
	Advertised string
	Caller     string
	Directory  string
	// Incarnation returns the number of its process.
	Incarnation func() int
}

// Kind is one kind of request.
type Kind struct {
	Method string
	Prefix string
	// Weight is its part of the requests.
	Weight int
	Route  promise.Route
	// Slow tells that its requests take the longest service time, and Leaving that their callers give up early.
	Slow         bool
	CancelsEarly bool
}

// Caller sends one request after the other; set the fields before Run.
type Caller struct {
	Name    string
	Domain  string
	Region  string
	Patient bool
	// MeanInterval is the mean time between two requests.
	MeanInterval time.Duration
	Entries      []Entry
	// Kinds returns the kinds of requests that there are now.
	Kinds   func() []Kind
	Checker *promise.Checker
	Random  *rand.Rand

	client  *upstream.Client
	current *Entry
	named   []string
	asked   time.Time
	avoided map[string]bool
}

var count atomic.Int64

// Run sends requests until the context ends.
func (c *Caller) Run(ctx context.Context) {
	defer c.forget()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if c.connect() {
			c.ask(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.MeanInterval/2 + time.Duration(c.Random.Int64N(int64(c.MeanInterval)))):
		}
	}
}

// resolve asks the directory when the last answer is too old, and leaves a connection that it no longer names.
func (c *Caller) resolve(ctx context.Context) {
	keep := keepAnswer
	if c.Patient {
		keep *= 3
	}
	if time.Since(c.asked) < keep {
		return
	}
	near := slices.Clone(c.Entries)
	c.Random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	slices.SortStableFunc(near, func(a, b Entry) int { return c.distance(a) - c.distance(b) })
	for _, e := range near[:min(len(near), directoryTries)] {
		if list := lookUp(ctx, e.Directory, c.Region, c.Domain); len(list) > 0 {
			c.named, c.asked, c.avoided = list, time.Now(), make(map[string]bool)
			break
		}
	}
	if c.current != nil && !slices.Contains(c.named, c.current.Advertised) {
		c.forget()
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

func lookUp(ctx context.Context, address, region, domain string) []string {
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
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(res.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// connect chooses a daemon for the next connection, unless one is open.
func (c *Caller) connect() bool {
	if c.current != nil {
		return true
	}
	left := slices.DeleteFunc(slices.Clone(c.named), func(a string) bool { return c.avoided[a] })
	if len(left) == 0 {
		c.asked = time.Time{}
		return false
	}
	chosen := left[c.Random.IntN(len(left))]
	for i := range c.Entries {
		if c.Entries[i].Advertised == chosen {
			c.current = &c.Entries[i]
			c.client = upstream.NewClient(nil, (&net.Dialer{Timeout: connectTimeout}).DialContext)
			return true
		}
	}
	return false
}

// forget closes the connection.
func (c *Caller) forget() {
	if c.client != nil {
		c.client.Close()
	}
	c.current, c.client = nil, nil
}

// ask sends one request and tells the ledger what came of it.
func (c *Caller) ask(ctx context.Context) {
	k := c.choose()
	id := fmt.Sprintf("%s-%d", c.Name, count.Add(1))
	object := c.Random.IntN(40)
	path := k.Prefix + strconv.Itoa(object)
	if k.Slow || k.CancelsEarly {
		path += "?ms=" + strconv.FormatInt(longest.Milliseconds(), 10)
	}
	a := promise.Request{ID: id, Path: path, Route: k.Route, Daemon: c.current.Name, Incarnation: c.current.Incarnation(), Sent: time.Now()}
	limit := deadline + overtime
	if k.CancelsEarly {
		limit = time.Duration(100+c.Random.IntN(200)) * time.Millisecond
		a.CancelAt = a.Sent.Add(limit)
	}
	if k.Method == http.MethodPost {
		a.Body = id
	}
	c.Checker.RequestSent(a)
	// A caller ends its requests in its own time, also when the run is over.
	waiting, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	got, again, closing := c.send(waiting, a, k.Method, object)
	got.Ended = time.Now()
	c.Checker.RequestEnded(id, got)
	if !got.Complete {
		c.avoided[c.current.Advertised] = true
	}
	if !got.Complete || closing {
		c.forget()
	}
	time.Sleep(min(again, deadline/3))
}

func (c *Caller) choose() Kind {
	kinds := c.Kinds()
	sum := 0
	for _, k := range kinds {
		sum += k.Weight
	}
	at := c.Random.IntN(sum)
	for _, k := range kinds {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return kinds[0]
}

// send returns what came of a request, when to come back, and whether the daemon closes the connection.
func (c *Caller) send(ctx context.Context, a promise.Request, method string, object int) (got promise.Result, again time.Duration, closing bool) {
	r, err := http.NewRequest(method, "http://"+c.current.Caller+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return got, 0, false
	}
	r.Host = site.Host
	r.Header.Set("Request-Id", a.ID)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Cookie", "Request-Affinity="+strconv.Itoa(object))
	res, err := c.client.Send(ctx, r, false)
	got.Connected = err == nil || !errors.Is(err, upstream.ErrNotSent)
	if err != nil {
		return got, 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	got.Complete, got.Status, got.Body = err == nil, res.StatusCode, string(body)
	got.ID, got.Stamp = res.Header.Get("Request-Id"), res.Header.Get("Response-Stamp")
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		again = time.Duration(seconds * float64(time.Second))
	}
	return got, again, res.Close
}
