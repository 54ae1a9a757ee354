package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/daemon/steer"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/store"
	"github.com/daisygap/daisygap/platform"
)

// Host is the host name of every route.
const Host = "shop.example"

// Route is one route of the configuration. An empty Timeout means 2000 ms, and fewer than 2 Attempts mean 2.
type Route struct {
	Name     string
	Prefix   string
	Kind     string
	Pool     string
	Timeout  string
	Attempts int
	Homes    []string
	Public   bool
	Priority int
}

// Customer is one customer of the configuration. A nil Priority means that of the route.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
	Rate     float64
	Burst    float64
	Homes    []string
}

// Site is one deployment. Set Regions, Routes, Customers, Log and MirrorDelay before Run, which sets Store and Clock.
type Site struct {
	// Regions is the region of each failure domain.
	Regions map[string]string
	Routes  []Route
	// Customers are written with every configuration. Without any, it has no table of them.
	Customers []Customer
	Log       *logrus.Logger
	// MirrorDelay is how long a daemon that got an update waits until it asks for the next one.
	MirrorDelay time.Duration
	// PeersCut cuts all daemons off from each other.
	PeersCut atomic.Bool
	// AllowanceReports counts the reports that daemons sent to others.
	AllowanceReports atomic.Int64
	// MemoryMB is the memory setting of the daemons.
	MemoryMB int
	Store    *store.Server
	Clock    *daisygap.Clock

	storeServer *httptest.Server
	version     uint64
	daemons     []*Daemon
	servers     []*instance.Server
}

// Daemon is one steering daemon of a site.
type Daemon struct {
	Listeners *steer.Listeners
	Settings  *daisygap.Settings
	// Cancel ends the daemon's control loops.
	Cancel context.CancelFunc
}

// Run starts the store and writes the initial configuration.
func (s *Site) Run() error {
	s.Clock = &daisygap.Clock{}
	s.Store = &store.Server{Memory: store.NewMemory(s.Clock)}
	s.storeServer = httptest.NewServer(s.Store.Handler())
	return s.Configure(s.Routes)
}

// Close stops the daemons, the servers and the store.
func (s *Site) Close() {
	for _, d := range s.daemons {
		d.Stop()
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.storeServer.CloseClientConnections()
	s.storeServer.Close()
}

// URL returns the base URL of the store.
func (s *Site) URL() string {
	return s.storeServer.URL
}

// Configure writes a new version of the configuration with these routes.
func (s *Site) Configure(routes []Route) error {
	s.version += 3
	pools := make(map[string]bool)
	var rows, services [][]any
	for _, r := range routes {
		pools[r.Pool] = true
		rows = append(rows, []any{
			r.Name, Host, r.Prefix, r.Kind, orDefault(r.Timeout, "2000ms"), "300ms", max(r.Priority, 1), nil, max(r.Attempts, 2), true, r.Homes, r.Pool, r.Public,
		})
	}
	for p := range pools {
		services = append(services, []any{p, instance.HealthPath, 390, "h1", false, "3s", 13.0})
	}
	var tenants [][]any
	for _, c := range s.Customers {
		tenants = append(tenants, []any{c.Name, c.Keys, c.Priority, c.Rate, c.Burst, c.Homes})
	}
	return s.Put("op/config", encodeConfiguration(s.version, rows, services, tenants))
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func encodeConfiguration(version uint64, routes, services, tenants [][]any) []byte {
	document := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{
				"name", "host", "prefix", "kind", "timeout", "target_latency", "priority", "traffic_split", "max_attempts",
				"session_affinity", "home_regions", "service", "public",
			},
			"rows": routes,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls", "cold_start", "cold_per_s"},
			"rows":    services,
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	}
	if len(tenants) > 0 {
		document["tenants"] = map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst", "home_regions"}, "rows": tenants,
		}
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// Put writes a key regardless of its revision. An empty value deletes the key.
func (s *Site) Put(key string, value []byte) error {
	ctx := context.Background()
	for {
		e, err := s.Store.Memory.Get(ctx, key)
		if err != nil {
			return err
		}
		_, err = s.Store.Memory.Swap(ctx, key, value, e.Revision, "")
		if !errors.Is(err, daisygap.ErrConflict) {
			return err
		}
	}
}

// StartServer starts a server and registers it in the store.
func (s *Site) StartServer(server *instance.Server) error {
	if err := server.Run(); err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return s.Register(server)
}

// Register writes the current entry of a server to the store.
func (s *Site) Register(server *instance.Server) error {
	return s.Put("servers/"+server.ID, server.Entry())
}

// Start starts a daemon in a failure domain. The peers are the peer addresses of other daemons.
func (s *Site) Start(name, domain string, peers ...string) (*Daemon, error) {
	settings := &daisygap.Settings{
		Host: name, Domain: domain, Region: s.Regions[domain], Peers: peers, StoreAddress: s.storeServer.URL,
		Steering: &daisygap.SteeringSettings{
			Domains: s.Regions, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: "10s", Grace: "6s", MemoryMB: s.MemoryMB,
		},
	}
	for _, address := range []*string{&settings.CallerAddress, &settings.PeerAddress, &settings.Steering.DirectoryAddress, &settings.Steering.ReadyAddress} {
		free, err := port.Free()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	d := &steer.Daemon{
		Settings: settings, Clock: s.Clock,
		Store:    &platform.Store{Base: s.storeServer.URL, Host: name, HTTP: &http.Client{}},
		Peers:    cuttablePeers{&peer.Client{}, s},
		Upstream: upstream.NewClient(nil, upstream.NewDialer(350, 1_000).DialContext),
		Protocol: platform.Protocol{}, StoreSchema: platform.Catalogue{},
		Log: daisygap.Log{Prefix: "steer", Host: name, Out: s.Log},
	}
	listeners := &steer.Listeners{Daemon: d, Others: []steer.Listener{
		{Address: settings.Steering.DirectoryAddress, Handler: platform.DirectoryHandler(d, 2_000)},
		{Address: settings.Steering.ReadyAddress, Handler: platform.ReadyHandler(d)},
	}}
	if err := listeners.Open(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.Run(ctx)
	listeners.Run()
	started := &Daemon{Listeners: listeners, Settings: settings, Cancel: cancel}
	s.daemons = append(s.daemons, started)
	return started, nil
}

// cuttablePeers delays a daemon's requests for updates, as a lack of processor time does, and can be cut.
type cuttablePeers struct {
	daisygap.SteeringPeers
	site *Site
}

var errPeersCut = errors.New("daemons are cut off from each other")

// Mirror fetches an update after the delay.
func (p cuttablePeers) Mirror(ctx context.Context, address string, q daisygap.MirrorQuery) (daisygap.StoreUpdate, error) {
	if p.site.PeersCut.Load() {
		return daisygap.StoreUpdate{}, errPeersCut
	}
	time.Sleep(p.site.MirrorDelay)
	return p.SteeringPeers.Mirror(ctx, address, q)
}

// Gossip exchanges messages unless the daemons are cut off.
func (p cuttablePeers) Gossip(address string, g daisygap.Gossip) (daisygap.Gossip, error) {
	if p.site.PeersCut.Load() {
		return daisygap.Gossip{}, errPeersCut
	}
	return p.SteeringPeers.Gossip(address, g)
}

// Permit asks for a permit unless the daemons are cut off.
func (p cuttablePeers) Permit(ctx context.Context, address string, r daisygap.PermitRequest) (daisygap.PermitReply, error) {
	if p.site.PeersCut.Load() {
		return daisygap.PermitReply{}, errPeersCut
	}
	return p.SteeringPeers.Permit(ctx, address, r)
}

// Allowance reports the use of allowances unless the daemons are cut off.
func (p cuttablePeers) Allowance(ctx context.Context, address string, r daisygap.AllowanceReport) (daisygap.AllowanceReply, error) {
	if p.site.PeersCut.Load() {
		return daisygap.AllowanceReply{}, errPeersCut
	}
	p.site.AllowanceReports.Add(1)
	return p.SteeringPeers.Allowance(ctx, address, r)
}

// Stop stops a daemon abruptly, without draining, and waits for its goroutines.
func (d *Daemon) Stop() {
	d.Cancel()
	d.Listeners.Close()
	d.Listeners.Daemon.Wait()
}

// Await polls a condition every 5 ms and reports whether it held within the limit.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
