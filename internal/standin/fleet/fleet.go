package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	upstreamclient "github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/daemon/entry"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/store"
	"github.com/daisygap/daisygap/internal/standin/upstream"
	"github.com/daisygap/daisygap/platform"
)

// Token is the operators' token of every daemon in a fleet.
const Token = "fleet-token"

const (
	readsPerSec  = 2000
	writesPerSec = 400
)

// Workload is how the upstreams of a group behave.
type Workload struct {
	ServiceTime   daisygap.Millis
	ResponseBytes int
}

// Host names one entry host.
type Host struct {
	Name   string
	Domain string
}

// Fleet is a small deployment; set the exported fields before Run.
type Fleet struct {
	// Document is the configuration; the upstreams' addresses in it are replaced.
	Document  []byte
	Hosts     []Host
	Workloads map[string]Workload
	Timing    entry.Timing
	Linger    daisygap.Millis
	Seed      uint64
	ColdStart daisygap.Millis
	Log       *logrus.Logger

	Clock     *daisygap.Clock
	Store     *store.Server
	Upstreams map[string]*upstream.Server

	mu    sync.Mutex
	nodes map[string]*Node
	cuts  map[string]bool
	links map[string]linkRecord
	// traffic counts control bytes by daemon.
	traffic map[string]*atomic.Int64
	http    *httptest.Server
	peers   []string
	group   sync.WaitGroup
}

// Node is one running daemon.
type Node struct {
	Daemon    *entry.Daemon
	Listeners *entry.Listeners
	Settings  *daisygap.Settings

	client *peer.Client
	carry  *upstreamclient.Client
	to     *upstreamclient.Client
	cancel context.CancelFunc
}

// Run starts everything and returns when the configuration is stored; Ready waits for the daemons.
func (f *Fleet) Run() error {
	f.Clock = &daisygap.Clock{}
	f.nodes = make(map[string]*Node)
	f.cuts = make(map[string]bool)
	f.traffic = make(map[string]*atomic.Int64)
	f.links = newLinkRecords(f.configuration())
	f.Upstreams = make(map[string]*upstream.Server)
	if f.Timing == (entry.Timing{}) {
		f.Timing = entry.DefaultTiming()
	}
	f.Store = &store.Server{
		Memory: store.NewMemory(f.Clock),
		Reads:  rate.NewLimiter(readsPerSec, readsPerSec),
		Writes: rate.NewLimiter(writesPerSec, writesPerSec),
	}
	f.http = httptest.NewServer(f.Store.Handler())
	document, err := f.startUpstreams()
	if err != nil {
		return err
	}
	if err := f.storeFirst(document); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if _, err := f.Start(h); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts a stand-in for each upstream and writes its address into the document.
func (f *Fleet) startUpstreams() ([]byte, error) {
	var c daisygap.Configuration
	if err := json.Unmarshal(f.Document, &c); err != nil {
		return nil, err
	}
	if c.Blocks == nil {
		c.Blocks = make(map[string]string)
	}
	for i, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		w := f.Workloads[u.Group]
		s := &upstream.Server{
			Name: name, Clock: f.Clock, Slots: u.Slots, ServiceTime: max(w.ServiceTime, 1), ResponseBytes: w.ResponseBytes,
			ColdStart: f.ColdStart, RestartDelay: 500, Seed: f.Seed + uint64(i),
		}
		address, err := port.Free()
		if err != nil {
			return nil, err
		}
		if err := s.Run(address); err != nil {
			return nil, err
		}
		u.Address = s.Address()
		c.Upstreams[name] = u
		f.Upstreams[name] = s
	}
	return json.Marshal(c)
}

func (f *Fleet) storeFirst(document []byte) error {
	first, err := json.Marshal(daisygap.Patch{Version: 1, ID: "first", Author: "fleet", Merge: document})
	if err != nil {
		return err
	}
	_, err = f.Store.Memory.Swap(context.Background(), "config/v/000000000001", first, 0, "")
	return err
}

// Start starts one daemon; a host that ran before gets the same addresses.
func (f *Fleet) Start(h Host) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	settings, err := f.settings(h)
	if err != nil {
		return nil, err
	}
	n := &Node{Settings: settings}
	n.client = &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := f.dial(ctx, h.Name, address)
		if err != nil {
			return nil, err
		}
		return counted{Conn: conn, ends: f.ends(h.Name, address)}, nil
	}}
	carryDial := func(ctx context.Context, _, address string) (net.Conn, error) { return f.dial(ctx, h.Name, address) }
	n.carry = upstreamclient.NewClient(nil, carryDial)
	n.to = upstreamclient.NewClient(nil, nil)
	n.Daemon = &entry.Daemon{
		Settings: settings, Clock: f.Clock,
		Store: &platform.Store{Base: f.http.URL, Host: h.Name, HTTP: &http.Client{}},
		Peers: n.client, Upstream: n.to, Forward: n.carry,
		Log:    daisygap.Log{Prefix: h.Name, Out: f.Log},
		Timing: f.Timing, Seed: f.Seed + uint64(len(f.nodes)) + 1,
		OnLinkWrite: func(to string, bytes int) { f.wrote(settings.Region, to, bytes) },
	}
	n.Listeners = &entry.Listeners{Daemon: n.Daemon}
	if err := n.Listeners.Open(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.Daemon.Run(ctx)
	n.Listeners.Run()
	if f.nodes[h.Name] == nil {
		f.peers = append(f.peers, settings.PeerAddress)
	}
	f.nodes[h.Name] = n
	return n, nil
}

// configuration returns the first configuration, which must be sound.
func (f *Fleet) configuration() *daisygap.Configuration {
	var c daisygap.Configuration
	_ = json.Unmarshal(f.Document, &c)
	return &c
}

// settings returns those of a new host, or those of one that ran before with the peers of now.
func (f *Fleet) settings(h Host) (*daisygap.Settings, error) {
	if old := f.nodes[h.Name]; old != nil {
		again := *old.Settings
		again.Peers = slices.Clone(f.peers)
		return &again, nil
	}
	s := &daisygap.Settings{
		Host: h.Name, Domain: h.Domain, Region: f.configuration().Domains[h.Domain].Region,
		StoreAddress: f.http.URL, Peers: slices.Clone(f.peers), Token: Token, LogLevel: "info",
		Linger: f.Linger, TrustedPrefixes: []string{"127.0.0.0/8"},
	}
	for _, address := range []*string{&s.CallerAddress, &s.ForwardAddress, &s.PeerAddress, &s.OperatorAddress} {
		free, err := port.Free()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return s, nil
}

// Node returns a running daemon, or nil.
func (f *Fleet) Node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Nodes returns all daemons in the order of their names.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Node
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		list = append(list, f.nodes[name])
	}
	return list
}

// AwaitReady waits until every daemon has a configuration and a lease, and every domain is known everywhere.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	return Until(limit, func() error {
		for _, n := range f.Nodes() {
			if err := f.ready(n); err != nil {
				return err
			}
		}
		return nil
	})
}

func (f *Fleet) ready(n *Node) error {
	s := n.Daemon.Status()
	if !s.Ready {
		return fmt.Errorf("%s isn't ready: version %d, leased %v, view %+v", s.Host, s.Version, s.Leased, s.View)
	}
	if s.View.Next != nil {
		return fmt.Errorf("%s is in a view change", s.Host)
	}
	expected := make(map[string]int)
	for _, h := range f.Hosts {
		expected[h.Domain]++
	}
	for _, d := range s.Domains {
		if (d.Lost || len(d.Hosts) != expected[d.Domain]) && len(s.Domains) > 0 {
			return fmt.Errorf("%s knows %v in %s (lost: %v)", s.Host, d.Hosts, d.Domain, d.Lost)
		}
	}
	return nil
}

// Until polls a condition until it holds, and returns its last error when the limit has passed.
func Until(limit time.Duration, condition func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Partition separates two daemons from each other, or joins them again.
func (f *Fleet) Partition(a, b string, cut bool) {
	f.mu.Lock()
	f.cuts[a+">"+b] = cut
	f.cuts[b+">"+a] = cut
	nodes := []*Node{f.nodes[a], f.nodes[b]}
	f.mu.Unlock()
	for _, n := range nodes {
		n.client.Close()
		n.carry.Close()
	}
}

var errCut = errors.New("the network is cut")

func (f *Fleet) dial(ctx context.Context, from, address string) (net.Conn, error) {
	f.mu.Lock()
	cut := false
	for name, n := range f.nodes {
		if n.Settings.PeerAddress == address || n.Settings.ForwardAddress == address {
			cut = f.cuts[from+">"+name]
		}
	}
	f.mu.Unlock()
	if cut {
		return nil, errCut
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// counted counts the bytes of a connection between daemons for both of them.
type counted struct {
	net.Conn
	ends [2]*atomic.Int64
}

// Read counts what arrives.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.add(n)
	return n, err
}

// Write counts what leaves.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.add(n)
	return n, err
}

func (c counted) add(n int) {
	for _, end := range c.ends {
		end.Add(int64(n))
	}
}

// ends returns the byte counters of the daemon that dials and of the one at an address.
func (f *Fleet) ends(from, address string) [2]*atomic.Int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := [2]*atomic.Int64{f.counter(from), new(atomic.Int64)}
	for name, n := range f.nodes {
		if n.Settings.PeerAddress == address {
			list[1] = f.counter(name)
		}
	}
	return list
}

// counter returns the byte counter of a daemon; the caller holds the lock.
func (f *Fleet) counter(name string) *atomic.Int64 {
	if f.traffic[name] == nil {
		f.traffic[name] = new(atomic.Int64)
	}
	return f.traffic[name]
}

// ControlBytes returns the control bytes that each daemon has sent and received.
func (f *Fleet) ControlBytes() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make(map[string]int64, len(f.traffic))
	for name, n := range f.traffic {
		list[name] = n.Load()
	}
	return list
}

// Kill ends a daemon at once, as a crash does.
func (f *Fleet) Kill(name string) {
	n := f.Node(name)
	n.cancel()
	n.Listeners.Close()
	n.end()
}

// Stop ends a daemon gracefully and returns the requests that were cut off.
func (f *Fleet) Stop(ctx context.Context, name string) int64 {
	n := f.Node(name)
	n.Daemon.Leave(ctx)
	_ = n.Listeners.Drain(ctx)
	cut := n.Daemon.Finish(ctx)
	n.cancel()
	n.Listeners.Close()
	n.end()
	return cut
}

func (n *Node) end() {
	n.client.Close()
	n.carry.Close()
	n.to.Close()
	n.Daemon.Wait()
}

// Close ends everything.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		f.group.Go(func() {
			n.cancel()
			n.Listeners.Close()
			n.end()
		})
	}
	f.group.Wait()
	for _, u := range f.Upstreams {
		u.Close()
	}
	f.http.CloseClientConnections()
	f.http.Close()
}

// HostsOf names some entry hosts for each domain of a configuration.
func HostsOf(document []byte, perDomain int) []Host {
	var c daisygap.Configuration
	_ = json.Unmarshal(document, &c)
	var hosts []Host
	for _, domain := range slices.Sorted(maps.Keys(c.Domains)) {
		for i := range perDomain {
			hosts = append(hosts, Host{Name: fmt.Sprintf("%s-%c", domain, 'a'+i), Domain: domain})
		}
	}
	return hosts
}
