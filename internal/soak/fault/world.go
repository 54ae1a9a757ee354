package fault

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
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

// The deployment: two domains in each of three regions, with servers of two pools.
var (
	domains = []string{"n-1", "n-2", "s-1", "s-2", "w-1", "w-2"}
	regions = map[string]string{"n-1": "north", "n-2": "north", "s-1": "south", "s-2": "south", "w-1": "west", "w-2": "west"}
	pools   = []string{"stock", "desk"}
)

const (
	serversEach = 2
	slots       = 6
	serviceTime = daisygap.Millis(40)
	coldSpan    = daisygap.Millis(3_000)
	// coldRate is what the site's configuration says of its pools.
	coldRate   = 13
	retryRatio = 0.2
	retrySlack = 60
	grace      = 6 * time.Second
)

// host is one daemon with the links to it and from it.
type host struct {
	*process.Daemon
	// callers, peers and store are the links from callers, from other daemons, and to the store.
	callers *link.Proxy
	peers   *link.Proxy
	store   *link.Proxy
	domain  string
}

// server is one server, with the link to it.
type server struct {
	*instance.Server
	known *promise.Server
	link  *link.Proxy
}

// world is the deployment of one run.
type world struct {
	site   *site.Site
	ledger *promise.Checker
	hosts  []*host

	mu      sync.Mutex
	servers []*server
	// past are the servers that ended, for the sums at the end.
	past   []*server
	serial int
	// routes are the lasting ones; generations are the numbers of those that come and go, the newest last.
	routes      []site.Route
	generations []int
	kinds       []client.Kind
}

// lastingRoutes are the routes that every configuration has.
var lastingRoutes = []site.Route{
	{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "stock", Timeout: "2000ms"},
	{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Pool: "desk", Timeout: "2000ms"},
	{Name: "files", Prefix: "/files/", Kind: "download", Pool: "stock", Timeout: "2000ms"},
	{Name: "brief", Prefix: "/brief/", Kind: "safe", Pool: "stock", Timeout: "400ms"},
	{Name: "home", Prefix: "/home/", Kind: "safe", Pool: "stock", Timeout: "2000ms", Homes: []string{"south"}},
}

// lastingKinds are the requests on them.
func lastingKinds() []client.Kind {
	read := promise.Route{Pool: "stock", Repeat: true, Attempts: 2, Timeout: 2 * time.Second}
	order := promise.Route{Pool: "desk", Attempts: 2, Timeout: 2 * time.Second}
	brief, home := read, read
	brief.Timeout, home.Home = 400*time.Millisecond, "south"
	return []client.Kind{
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 30, Route: read},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 35, Route: order},
		{Method: http.MethodGet, Prefix: "/files/", Weight: 10, Route: read},
		{Method: http.MethodGet, Prefix: "/home/", Weight: 8, Route: home},
		{Method: http.MethodGet, Prefix: "/brief/", Weight: 2, Route: brief, Slow: true},
		{Method: http.MethodGet, Prefix: "/reads/", Weight: 3, Route: read, CancelsEarly: true},
		{Method: http.MethodPost, Prefix: "/orders/", Weight: 2, Route: order, CancelsEarly: true},
	}
}

// build starts the store, the servers and the daemons.
func build(binary, folder string, daemons int) (*world, error) {
	w := &world{
		site:   &site.Site{Regions: regions, Routes: lastingRoutes},
		ledger: &promise.Checker{Faults: &promise.FaultHistory{}, RetryRatio: retryRatio, RetrySlack: retrySlack},
		routes: lastingRoutes, kinds: lastingKinds(),
	}
	if err := w.site.Run(); err != nil {
		return nil, err
	}
	for _, domain := range domains {
		for _, pool := range pools {
			for range serversEach {
				if _, err := w.startServer(pool, domain, "", 0, nil); err != nil {
					return nil, err
				}
			}
		}
	}
	for i := range daemons {
		if err := w.addHost(i, binary, folder); err != nil {
			return nil, err
		}
	}
	for _, h := range w.hosts {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// addHost makes a daemon with its links; its seeds are the first three.
func (w *world) addHost(number int, binary, folder string) error {
	h := &host{domain: domains[number%len(domains)]}
	s := daisygap.Settings{
		Host: fmt.Sprintf("host-%d", number), Domain: h.domain, Region: regions[h.domain], LogLevel: "info",
		Steering: &daisygap.SteeringSettings{
			Domains: regions, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: "10s", Grace: "6s",
		},
	}
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.Steering.DirectoryAddress, &s.Steering.ReadyAddress, &s.Steering.MetricsAddress} {
		free, err := port.FreeAt(port.UniqueIP())
		if err != nil {
			return err
		}
		*address = free
	}
	at, err := url.Parse(w.site.URL())
	if err != nil {
		return err
	}
	for _, l := range []struct {
		proxy  **link.Proxy
		target string
	}{{&h.callers, s.CallerAddress}, {&h.peers, s.PeerAddress}, {&h.store, at.Host}} {
		if *l.proxy, err = link.Open(l.target); err != nil {
			return err
		}
	}
	s.StoreAddress, s.Steering.AdvertiseAddress = "http://"+h.store.Address(), h.peers.Address()
	for _, o := range w.hosts[:min(len(w.hosts), 3)] {
		s.Peers = append(s.Peers, o.Settings.Steering.AdvertiseAddress)
	}
	h.Daemon = &process.Daemon{Binary: binary, Folder: folder, Settings: s}
	w.hosts = append(w.hosts, h)
	return nil
}

// entries are the daemons as callers find them.
func (w *world) entries() []client.Entry {
	var list []client.Entry
	for _, h := range w.hosts {
		list = append(list, client.Entry{
			Name: h.Settings.Host, Domain: h.domain, Region: regions[h.domain], Advertised: h.Settings.CallerAddress,
			Caller: h.callers.Address(), Directory: h.Settings.Steering.DirectoryAddress, Incarnation: h.Incarnation,
		})
	}
	return list
}

// startServer starts and registers a server under a new name or the one given, at the address of a link or a new one.
func (w *world) startServer(pool, domain, id string, cold daisygap.Millis, at *link.Proxy) (*server, error) {
	w.mu.Lock()
	w.serial++
	if id == "" {
		id = fmt.Sprintf("server-%d", w.serial)
	}
	w.mu.Unlock()
	known := &promise.Server{
		ID: id, Pool: pool, Domain: domain, Region: regions[domain],
		ColdUntil: time.Now().Add(cold.Duration()), ColdRate: coldRate,
	}
	s := &server{known: known, link: at, Server: &instance.Server{
		ID: id, Pool: pool, Domain: domain, Slots: slots, ServiceTime: serviceTime, ColdStart: cold,
		OnArrival: func(a instance.Arrival) { w.ledger.RequestArrived(known, a) },
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
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, w.register(s)
}

func serverKey(s *server) string {
	return "servers/" + s.ID
}

func (w *world) register(s *server) error {
	return w.site.Put(serverKey(s), s.Entry())
}

// take removes a server from those that faults may choose.
func (w *world) take(s *server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.servers, s)
	if i < 0 {
		return false
	}
	w.servers = slices.Delete(w.servers, i, i+1)
	w.past = append(w.past, s)
	return true
}

// pick returns a server by chance.
func (w *world) pick(random *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[random.IntN(len(w.servers))]
}

// configure writes a configuration with a new generation beside the last one, and drops older ones.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := 1
	if n := len(w.generations); n > 0 {
		next = w.generations[n-1] + 1
	}
	dropped := w.generations[:max(0, len(w.generations)-1)]
	kept := append(slices.Clone(w.generations[len(dropped):]), next)
	routes := slices.Clone(w.routes)
	kinds := lastingKinds()
	for _, g := range kept {
		prefix := fmt.Sprintf("/generation-%d/", g)
		routes = append(routes, site.Route{Name: fmt.Sprintf("generation-%d", g), Prefix: prefix, Kind: "safe", Pool: "stock", Timeout: "2000ms"})
		kinds = append(kinds, generationKind(prefix, g))
	}
	if err := w.site.Configure(routes); err != nil {
		return err
	}
	w.ledger.RouteAdded()
	for _, g := range dropped {
		w.ledger.RouteRemoved(g)
		// Callers ask for it a little longer, to see that it is gone.
		kinds = append(kinds, generationKind(fmt.Sprintf("/generation-%d/", g), g))
	}
	w.generations, w.kinds = kept, kinds
	return nil
}

func generationKind(prefix string, number int) client.Kind {
	return client.Kind{
		Method: http.MethodGet, Prefix: prefix, Weight: 5,
		Route: promise.Route{Pool: "stock", Repeat: true, Attempts: 2, Timeout: 2 * time.Second, Generation: number},
	}
}

func (w *world) currentKinds() []client.Kind {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds
}

// runs returns what each server ran.
func (w *world) runs() map[string][]instance.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string][]instance.Run)
	for _, s := range slices.Concat(w.servers, w.past) {
		all[s.ID] = append(all[s.ID], s.Runs()...)
	}
	return all
}

// close ends everything that the run started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.Kill()
		h.callers.Close()
		h.peers.Close()
		h.store.Close()
	}
	w.mu.Lock()
	for _, s := range slices.Concat(w.servers, w.past) {
		s.link.Close()
		s.Close()
	}
	w.mu.Unlock()
	w.site.Close()
}
