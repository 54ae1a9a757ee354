package fault

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/client"
	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/platform"
)

const (
	// maxWithdrawn is the number of withdrawn keys that callers go on to use.
	maxWithdrawn = 6
	// In a flood, a customer sends minFlood to maxFlood times its usual load, which is usualUse of its rate.
	floodDuration = 6 * time.Second
	minFlood      = 3.0
	maxFlood      = 8.0
	usualUse      = 0.6
	// usualResponse is the usual time from a request to its response.
	usualResponse = 45 * time.Millisecond
	// hostileBodies is the number of bodies that holdBodies sends, each of hostileBytes without its last byte.
	hostileBodies = 24
	hostileBytes  = 128 << 10
)

// The keys of the customers. All customers but metered have no rate; southern is restricted to one region; no customer
// has unknownKey.
var (
	steadyKeys       = []promise.Key{customerKey("steady", 1), customerKey("steady", 2)}
	southernKey      = customerKey("southern", 1)
	meteredKey       = customerKey("metered", 1)
	unknownKey       = promise.Key{Value: promise.KeyPrefix + "unknown"}
	meteredAllowance = promise.Allowance{Rate: 20, Burst: 10}
)

func customerKey(customer string, number int) promise.Key {
	return promise.Key{Value: fmt.Sprintf("%s%s-%d", promise.KeyPrefix, customer, number), Customer: customer}
}

// rotatingKey returns the key of the customer rotating that the configuration of a generation adds.
func rotatingKey(generation int) promise.Key {
	key := customerKey("rotating", generation)
	key.Generation = generation
	return key
}

func rotatingKeys(generations []int) []promise.Key {
	var keys []promise.Key
	for _, g := range generations {
		keys = append(keys, rotatingKey(g))
	}
	return keys
}

// customers returns the customers of a configuration with the temporary keys of the generations.
func customers(generations []int) []site.Customer {
	return []site.Customer{
		{Name: "steady", Keys: values(steadyKeys...)},
		{Name: southernKey.Customer, Keys: values(southernKey), Homes: []string{"south"}},
		{Name: meteredKey.Customer, Keys: values(meteredKey), Rate: meteredAllowance.Rate, Burst: meteredAllowance.Burst},
		{Name: "rotating", Keys: values(rotatingKeys(generations)...)},
	}
}

func values(keys ...promise.Key) []string {
	list := []string{}
	for _, k := range keys {
		list = append(list, k.Value)
	}
	return list
}

// customerRequestKinds returns the kinds of requests whose customers differ from those of the other static kinds.
func customerRequestKinds(read, order promise.Route) []client.Kind {
	open, southernRead, southernOrder := read, read, order
	open.Public, southernRead.HomeRegion, southernOrder.HomeRegion = true, "south", "south"
	none := promise.Key{}
	return []client.Kind{
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 3, Route: read, Keys: []promise.Key{meteredKey}},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 2, Route: order, Keys: []promise.Key{meteredKey}},
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 2, Route: southernRead, Keys: []promise.Key{southernKey}},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 2, Route: southernOrder, Keys: []promise.Key{southernKey}},
		{Method: http.MethodGet, Prefix: "/open/", Weight: 4, Route: open, Keys: []promise.Key{none, unknownKey, steadyKeys[0]}},
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 1, Route: read, Keys: []promise.Key{none, unknownKey}},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 1, Route: order, Keys: []promise.Key{none, unknownKey}},
	}
}

// rotatingRequestKinds returns the kinds of requests with temporary keys in force and withdrawn.
func rotatingRequestKinds(generations []int, withdrawn []promise.Key) []client.Kind {
	read := promise.Route{Pool: "stock", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second}
	kinds := []client.Kind{{Method: http.MethodGet, Prefix: "/reads/", Weight: 6, Route: read, Keys: rotatingKeys(generations)}}
	if len(withdrawn) > 0 {
		kinds = append(kinds, client.Kind{Method: http.MethodGet, Prefix: "/reads/", Weight: 6, Route: read, Keys: withdrawn})
	}
	return kinds
}

// floodByCustomer makes the customer metered send several times its usual load, in one domain or in all.
func (r *Run) floodByCustomer() {
	where := domains
	if r.random.IntN(2) == 0 {
		i := r.random.IntN(len(domains))
		where = domains[i : i+1]
	}
	rate := usualUse * meteredAllowance.Rate * (minFlood + (maxFlood-minFlood)*r.random.Float64())
	r.logf("flood by customer %s in %v with %.0f requests per second for %v", meteredKey.Customer, where, rate, floodDuration)
	kinds := func() []client.Kind {
		var list []client.Kind
		for _, k := range staticRequestKinds() {
			if len(k.Keys) == 1 && k.Keys[0] == meteredKey {
				list = append(list, k)
			}
		}
		return list
	}
	ctx, cancel := context.WithTimeout(context.Background(), floodDuration)
	interval := max(time.Duration(float64(r.Callers)/rate*float64(time.Second))-usualResponse, time.Millisecond)
	group := r.startCallers(ctx, "flood", r.Callers, interval, where, kinds)
	r.group.Go(func() {
		defer cancel()
		group.Wait()
	})
}

// holdBodies sends a crowd of bodies to a daemon that stop short of the end, and keeps the connections open. None of the
// requests may reach a server: the checker doesn't know them.
func (r *Run) holdBodies() {
	h, duration := r.sampleHosts(0)[0], r.randomDuration(2*time.Second, 8*time.Second)
	r.logf("hold %d bodies at %s for %v", hostileBodies, h.Settings.Host, duration)
	for i := range hostileBodies {
		r.group.Go(func() { holdBody(h.callerLink.Address(), i, duration) })
	}
}

// holdBody sends one body without its last byte, and keeps the connection until the daemon closes it or the duration has
// passed. The number selects the route, the key and the framing.
func holdBody(address string, number int, duration time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(duration))
	path, key := []string{"/uploads/1", "/orders/1"}[number%2], []promise.Key{steadyKeys[0], steadyKeys[1], unknownKey}[number%3]
	framing, end := fmt.Sprintf("Content-Length: %d", hostileBytes), ""
	if number%4 > 1 {
		framing, end = "Transfer-Encoding: chunked", fmt.Sprintf("%x;extension=1\r\n", hostileBytes)
	}
	head := make(http.Header)
	platform.WriteCallerHead(head, daisygap.RequestHead{ID: fmt.Sprintf("held-%d", number), Key: daisygap.CustomerKey(key.Value)})
	var request bytes.Buffer
	_, _ = fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, site.Host)
	_ = head.Write(&request)
	_, _ = fmt.Fprintf(&request, "%s\r\n\r\n%s%s", framing, end, strings.Repeat("b", hostileBytes-1))
	if _, err = conn.Write(request.Bytes()); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
