package fault

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/soak/link"
	"github.com/daisygap/daisygap/internal/soak/process"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/client"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// The deployment has two domains in each of three regions, and servers of both pools in every domain.
var (
	domains = []string{"n-1", "n-2", "s-1", "s-2", "w-1", "w-2"}
	regions = map[string]string{"n-1": "north", "n-2": "north", "s-1": "south", "s-2": "south", "w-1": "west", "w-2": "west"}
	pools   = []string{"stock", "desk"}
)

const (
	// serversPerPool is the number of servers of each pool in each domain.
	serversPerPool = 2
	slots          = 6
	serviceTime    = daisygap.Millis(40)
	coldPeriod     = daisygap.Millis(3_000)
	// coldRate is the request rate, per second, of a cold server. It equals the one in the configuration that package site
	// writes.
	coldRate    = 13
	retryRatio  = 0.2
	retrySlack  = 60
	gracePeriod = 6 * time.Second
)

// host is one daemon with the proxies that its connections pass.
type host struct {
	*process.Daemon
	// callerLink carries connections from callers, peerLink those from other daemons, and storeLink those to the store.
	callerLink *link.Proxy
	peerLink   *link.Proxy
	storeLink  *link.Proxy
	domain     string
}

// server is a simulated server with the proxy that daemons reach it by, and its record in the checker.
type server struct {
	*instance.Server
	tracked *promise.Server
	link    *link.Proxy
}

// deployment holds the store, the servers and the daemons of one run.
type deployment struct {
	site    *site.Site
	checker *promise.Checker
	hosts   []*host

	mu      sync.Mutex
	servers []*server
	// removed holds the servers that crashed or were drained; the checks at the end of the run include their requests.
	removed     []*server
	serverCount int
	// staticRoutes are the routes of every configuration. generations are the numbers of the temporary routes in the
	// current configuration, the newest last. Each new configuration adds one and removes older ones.
	staticRoutes []site.Route
	generations  []int
	// withdrawn holds the latest keys that were withdrawn, which callers go on to use.
	withdrawn    []promise.Key
	requestKinds []client.Kind
}

// staticRoutes are the routes that every configuration has.
var staticRoutes = []site.Route{
	{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "stock", Timeout: "2000ms"},
	{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Pool: "desk", Timeout: "2000ms"},
	{Name: "files", Prefix: "/files/", Kind: "download", Pool: "stock", Timeout: "2000ms"},
	{Name: "brief", Prefix: "/brief/", Kind: "safe", Pool: "stock", Timeout: "400ms"},
	{Name: "home", Prefix: "/home/", Kind: "safe", Pool: "stock", Timeout: "2000ms", Homes: []string{"south"}},
	{Name: "uploads", Prefix: "/uploads/", Kind: "upload", Pool: "desk", Timeout: "2000ms"},
	{Name: "open", Prefix: "/open/", Kind: "safe", Pool: "stock", Timeout: "2000ms", Public: true},
}

// staticRequestKinds returns the kinds of requests to the static routes.
func staticRequestKinds() []client.Kind {
	read := promise.Route{Pool: "stock", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second}
	order := promise.Route{Pool: "desk", Attempts: 2, Timeout: 2 * time.Second}
	brief, home := read, read
	brief.Timeout, home.HomeRegion = 400*time.Millisecond, "south"
	kinds := []client.Kind{
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 30, Route: read},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 35, Route: order},
		{Method: http.MethodGet, Prefix: "/files/", Weight: 10, Route: read},
		{Method: http.MethodGet, Prefix: "/home/", Weight: 8, Route: home},
		{Method: http.MethodGet, Prefix: "/brief/", Weight: 2, Route: brief, Slow: true},
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 3, Route: read, CancelsEarly: true},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 2, Route: order, CancelsEarly: true},
		{Method: http.MethodPost, Prefix: "/uploads/", Weight: 4, Route: order, Upload: true},
	}
	for i := range kinds {
		kinds[i].Keys = steadyKeys
	}
	return append(kinds, customerRequestKinds(read, order)...)
}

// startDeployment starts the store, the servers and the daemons.
func startDeployment(binary, folder string, daemons int) (*deployment, error) {
	d := &deployment{
		site: &site.Site{Regions: regions, Routes: staticRoutes, Customers: customers(nil)},
		checker: &promise.Checker{
			Faults: &promise.FaultHistory{}, RetryRatio: retryRatio, RetrySlack: retrySlack,
			NeedsKeys: true, Allowances: map[string]promise.Allowance{meteredKey.Customer: meteredAllowance},
		},
		staticRoutes: staticRoutes, requestKinds: staticRequestKinds(),
	}
	if err := d.site.Run(); err != nil {
		return nil, err
	}
	for _, domain := range domains {
		for _, pool := range pools {
			for range serversPerPool {
				if _, err := d.startServer(pool, domain, "", 0, nil); err != nil {
					return nil, err
				}
			}
		}
	}
	for i := range daemons {
		if err := d.addHost(i, binary, folder); err != nil {
			return nil, err
		}
	}
	for _, h := range d.hosts {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addHost creates a daemon and its links, without starting it. Its seed peers are the first three daemons.
func (d *deployment) addHost(index int, binary, folder string) error {
	h := &host{domain: domains[index%len(domains)]}
	s := daisygap.Settings{
		Host: fmt.Sprintf("host-%d", index), Domain: h.domain, Region: regions[h.domain], LogLevel: "info",
		Steering: &daisygap.SteeringSettings{
			Domains: regions, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: "10s", Grace: "6s",
		},
	}
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.Steering.DirectoryAddress, &s.Steering.ReadyAddress, &s.Steering.MetricsAddress} {
		unused, err := port.Free()
		if err != nil {
			return err
		}
		*address = unused
	}
	storeURL, err := url.Parse(d.site.URL())
	if err != nil {
		return err
	}
	for _, l := range []struct {
		proxy  **link.Proxy
		target string
	}{{&h.callerLink, s.CallerAddress}, {&h.peerLink, s.PeerAddress}, {&h.storeLink, storeURL.Host}} {
		if *l.proxy, err = link.Open(l.target); err != nil {
			return err
		}
	}
	s.StoreAddress, s.Steering.AdvertiseAddress = "http://"+h.storeLink.Address(), h.peerLink.Address()
	for _, seed := range d.hosts[:min(len(d.hosts), 3)] {
		s.Peers = append(s.Peers, seed.Settings.Steering.AdvertiseAddress)
	}
	h.Daemon = &process.Daemon{Binary: binary, Folder: folder, Settings: s, OnCrash: func(state *os.ProcessState) {
		d.checker.ProcessEnded(s.Host, state.String())
	}}
	d.hosts = append(d.hosts, h)
	return nil
}

// entries returns the daemons with the addresses that callers use.
func (d *deployment) entries() []client.Entry {
	var list []client.Entry
	for _, h := range d.hosts {
		list = append(list, client.Entry{
			Name: h.Settings.Host, Domain: h.domain, Region: regions[h.domain], Advertised: h.Settings.CallerAddress,
			Caller: h.callerLink.Address(), Directory: h.Settings.Steering.DirectoryAddress, Incarnation: h.Incarnation,
		})
	}
	return list
}

// serverPause is the pause that a server asks for when it rejects a request.
const serverPause = 1500 * time.Millisecond

// startServer starts and registers a server. An empty id gives it a new name. With a proxy it takes over the address of
// the proxy, without one it gets a new address.
func (d *deployment) startServer(pool, domain, id string, coldStart daisygap.Millis, proxy *link.Proxy) (*server, error) {
	d.mu.Lock()
	d.serverCount++
	if id == "" {
		id = fmt.Sprintf("server-%d", d.serverCount)
	}
	d.mu.Unlock()
	tracked := &promise.Server{
		ID: id, Pool: pool, Domain: domain, Region: regions[domain],
		ColdUntil: time.Now().Add(coldStart.Duration()), ColdRequestRate: coldRate,
		Pause: serverPause,
	}
	s := &server{tracked: tracked, link: proxy, Server: &instance.Server{
		ID: id, Pool: pool, Domain: domain, Slots: slots, ServiceTime: serviceTime, ColdStart: coldStart,
		RetryAfter: strconv.FormatFloat(serverPause.Seconds(), 'f', 1, 64),
		OnArrival:  func(a instance.Arrival) { d.checker.RequestArrived(tracked, a) },
	}}
	if err := s.Run(); err != nil {
		return nil, err
	}
	if s.link == nil {
		var err error
		if s.link, err = link.Open(s.Address()); err != nil {
			return nil, err
		}
	}
	s.link.SetTarget(s.Address())
	s.Advertised = s.link.Address()
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	return s, d.register(s)
}

func serverKey(s *server) string {
	return "servers/" + s.ID
}

func (d *deployment) register(s *server) error {
	return d.site.Put(serverKey(s), s.Entry())
}

// removeServer excludes a server from further faults. It reports false when another fault has removed the server
// before.
func (d *deployment) removeServer(s *server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.servers, s)
	if i < 0 {
		return false
	}
	d.servers = slices.Delete(d.servers, i, i+1)
	d.removed = append(d.removed, s)
	return true
}

// randomServer returns a random server that hasn't been removed.
func (d *deployment) randomServer(random *rand.Rand) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[random.IntN(len(d.servers))]
}

// configure writes a configuration with the route and the key of a new generation and those of the previous one, without
// older ones.
func (d *deployment) configure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := 1
	if n := len(d.generations); n > 0 {
		next = d.generations[n-1] + 1
	}
	removed := d.generations[:max(0, len(d.generations)-1)]
	kept := append(slices.Clone(d.generations[len(removed):]), next)
	routes := slices.Clone(d.staticRoutes)
	kinds := staticRequestKinds()
	for _, g := range kept {
		prefix := fmt.Sprintf("/generation-%d/", g)
		routes = append(routes, site.Route{Name: fmt.Sprintf("generation-%d", g), Prefix: prefix, Kind: "safe", Pool: "stock", Timeout: "2000ms"})
		kinds = append(kinds, generationRequestKind(prefix, g))
	}
	d.site.Customers = customers(kept)
	if err := d.site.Configure(routes); err != nil {
		return err
	}
	d.checker.RouteAdded()
	for _, g := range removed {
		d.checker.RouteRemoved(g)
		// Callers go on with requests to the removed route until the next configuration, to check that it is refused.
		kinds = append(kinds, generationRequestKind(fmt.Sprintf("/generation-%d/", g), g))
		d.withdrawn = append(d.withdrawn, rotatingKey(g))
	}
	d.withdrawn = d.withdrawn[max(0, len(d.withdrawn)-maxWithdrawn):]
	kinds = append(kinds, rotatingRequestKinds(kept, slices.Clone(d.withdrawn))...)
	d.generations, d.requestKinds = kept, kinds
	return nil
}

func generationRequestKind(prefix string, generation int) client.Kind {
	return client.Kind{
		Method: http.MethodGet, Prefix: prefix, Weight: 5, Keys: steadyKeys,
		Route: promise.Route{Pool: "stock", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Generation: generation},
	}
}

func (d *deployment) currentRequestKinds() []client.Kind {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestKinds
}

// serverRuns returns the requests that each server executed, by server ID.
func (d *deployment) serverRuns() map[string][]instance.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := make(map[string][]instance.Run)
	for _, s := range slices.Concat(d.servers, d.removed) {
		runs[s.ID] = append(runs[s.ID], s.Runs()...)
	}
	return runs
}

// close stops all daemons, proxies, servers and the store.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.Kill()
		h.callerLink.Close()
		h.peerLink.Close()
		h.storeLink.Close()
	}
	d.mu.Lock()
	for _, s := range slices.Concat(d.servers, d.removed) {
		s.link.Close()
		s.Close()
	}
	d.mu.Unlock()
	d.site.Close()
}
