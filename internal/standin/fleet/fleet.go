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

// Token is the operator token of every daemon in a fleet.
const Token = "fleet-token"

// The rate limits of the simulated store.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 400
)

// Workload describes the requests that the upstreams of a group run.
type Workload struct {
	ServiceTime   daisygap.Millis
	ResponseBytes int
}

// Host identifies one entry host and its failure domain.
type Host struct {
	Name   string
	Domain string
}

// Fleet is a small deployment. Set the exported fields before Run, except Clock, Store and Upstreams, which Run sets.
type Fleet struct {
	// Document is the initial configuration. Run replaces the upstreams' addresses in it.
	Document  []byte
	Hosts     []Host
	Workloads map[string]Workload
	// Timing is the timing of the daemons. The zero value means entry.DefaultTiming.
	Timing entry.Timing
	// Linger is the Linger setting of every daemon.
	Linger daisygap.Millis
	Seed   uint64
	// ColdStart is the ColdStart of every upstream.
	ColdStart daisygap.Millis
	Log       *logrus.Logger

	Clock     *daisygap.Clock
	Store     *store.Server
	Upstreams map[string]*upstream.Server

	mu    sync.Mutex
	nodes map[string]*Node
	// partitions is keyed by "from>to", and true while the first host can't connect to the second.
	partitions map[string]bool
	linkWrites map[string]linkRecord
	// controlBytes counts the bytes of control traffic by daemon.
	controlBytes map[string]*atomic.Int64
	storeServer  *httptest.Server
	// peerAddresses are the peer addresses of all hosts that were started so far.
	peerAddresses []string
	wg            sync.WaitGroup
}

// Node is one running daemon.
type Node struct {
	Daemon    *entry.Daemon
	Listeners *entry.Listeners
	Settings  *daisygap.Settings

	peerClient     *peer.Client
	forwardClient  *upstreamclient.Client
	upstreamClient *upstreamclient.Client
	cancel         context.CancelFunc
}

// Run stores the configuration and starts the upstreams and the daemons. It doesn't wait until the daemons are ready;
// AwaitReady does.
func (f *Fleet) Run() error {
	f.Clock = &daisygap.Clock{}
	f.nodes = make(map[string]*Node)
	f.partitions = make(map[string]bool)
	f.controlBytes = make(map[string]*atomic.Int64)
	f.linkWrites = newLinkRecords(f.configuration())
	f.Upstreams = make(map[string]*upstream.Server)
	if f.Timing == (entry.Timing{}) {
		f.Timing = entry.DefaultTiming()
	}
	f.Store = &store.Server{
		Memory: store.NewMemory(f.Clock),
		Reads:  rate.NewLimiter(storeReadsPerSecond, storeReadsPerSecond),
		Writes: rate.NewLimiter(storeWritesPerSecond, storeWritesPerSecond),
	}
	f.storeServer = httptest.NewServer(f.Store.Handler())
	document, err := f.startUpstreams()
	if err != nil {
		return err
	}
	if err := f.storeInitialConfiguration(document); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if _, err := f.Start(h); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts a simulated server for each upstream and returns the configuration with their addresses.
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

func (f *Fleet) storeInitialConfiguration(document []byte) error {
	first, err := json.Marshal(daisygap.Patch{Version: 1, ID: "first", Author: "fleet", Merge: document})
	if err != nil {
		return err
	}
	_, err = f.Store.Memory.Swap(context.Background(), "config/v/000000000001", first, 0, "")
	return err
}

// Start starts one daemon. A host that ran before keeps its addresses.
func (f *Fleet) Start(h Host) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	settings, err := f.settingsFor(h)
	if err != nil {
		return nil, err
	}
	n := &Node{Settings: settings}
	n.peerClient = &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := f.dial(ctx, h.Name, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, counters: f.byteCounters(h.Name, address)}, nil
	}}
	forwardDial := func(ctx context.Context, _, address string) (net.Conn, error) { return f.dial(ctx, h.Name, address) }
	n.forwardClient = upstreamclient.NewClient(nil, forwardDial)
	n.upstreamClient = upstreamclient.NewClient(nil, nil)
	n.Daemon = &entry.Daemon{
		Settings: settings, Clock: f.Clock,
		Store: &platform.Store{Base: f.storeServer.URL, Host: h.Name, HTTP: &http.Client{}},
		Peers: n.peerClient, Upstream: n.upstreamClient, Forward: n.forwardClient,
		Log:    daisygap.Log{Prefix: h.Name, Out: f.Log},
		Timing: f.Timing, Seed: f.Seed + uint64(len(f.nodes)) + 1,
		OnLinkWrite: func(to string, bytes int) { f.recordLinkWrite(settings.Region, to, bytes) },
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
		f.peerAddresses = append(f.peerAddresses, settings.PeerAddress)
	}
	f.nodes[h.Name] = n
	return n, nil
}

// configuration returns the initial configuration, which must be valid.
func (f *Fleet) configuration() *daisygap.Configuration {
	var c daisygap.Configuration
	_ = json.Unmarshal(f.Document, &c)
	return &c
}

// settingsFor returns the settings of a host: new ones on its first start, and later the same ones with the current
// peers.
func (f *Fleet) settingsFor(h Host) (*daisygap.Settings, error) {
	if old := f.nodes[h.Name]; old != nil {
		restarted := *old.Settings
		restarted.Peers = slices.Clone(f.peerAddresses)
		return &restarted, nil
	}
	s := &daisygap.Settings{
		Host: h.Name, Domain: h.Domain, Region: f.configuration().Domains[h.Domain].Region,
		StoreAddress: f.storeServer.URL, Peers: slices.Clone(f.peerAddresses), Token: Token, LogLevel: "info",
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

// Node returns the daemon that was started last on a host, or nil.
func (f *Fleet) Node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Nodes returns the daemons of all hosts, sorted by host name.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*Node
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		nodes = append(nodes, f.nodes[name])
	}
	return nodes
}

// AwaitReady waits until every daemon is ready, has no pending view change and knows all hosts of every failure domain.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	return Until(limit, func() error {
		for _, n := range f.Nodes() {
			if err := f.checkReady(n); err != nil {
				return err
			}
		}
		return nil
	})
}

func (f *Fleet) checkReady(n *Node) error {
	s := n.Daemon.Status()
	if !s.Ready {
		return fmt.Errorf("%s is not ready: configuration version %d, leased %v, view %+v", s.Host, s.Version, s.Leased, s.View)
	}
	if s.View.Next != nil {
		return fmt.Errorf("%s has a pending view change", s.Host)
	}
	expected := make(map[string]int)
	for _, h := range f.Hosts {
		expected[h.Domain]++
	}
	for _, d := range s.Domains {
		if (d.Lost || len(d.Hosts) != expected[d.Domain]) && len(s.Domains) > 0 {
			return fmt.Errorf("%s knows hosts %v in domain %s (lost: %v)", s.Host, d.Hosts, d.Domain, d.Lost)
		}
	}
	return nil
}

// Until polls a condition every 10 ms until it returns nil, and returns its last error once the limit has passed.
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

// Partition starts or ends a network partition between two daemons, and closes the connections of both to all peers.
func (f *Fleet) Partition(a, b string, partitioned bool) {
	f.mu.Lock()
	f.partitions[a+">"+b] = partitioned
	f.partitions[b+">"+a] = partitioned
	nodes := []*Node{f.nodes[a], f.nodes[b]}
	f.mu.Unlock()
	for _, n := range nodes {
		n.peerClient.Close()
		n.forwardClient.Close()
	}
}

var errPartitioned = errors.New("hosts are partitioned")

// dial connects to a peer or forward address, unless a partition separates the two hosts.
func (f *Fleet) dial(ctx context.Context, from, address string) (net.Conn, error) {
	f.mu.Lock()
	partitioned := false
	for name, n := range f.nodes {
		if n.Settings.PeerAddress == address || n.Settings.ForwardAddress == address {
			partitioned = f.partitions[from+">"+name]
		}
	}
	f.mu.Unlock()
	if partitioned {
		return nil, errPartitioned
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// countingConn counts the bytes of a control connection between two daemons in the counters of both.
type countingConn struct {
	net.Conn
	counters [2]*atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.add(n)
	return n, err
}

func (c countingConn) add(n int) {
	for _, end := range c.counters {
		end.Add(int64(n))
	}
}

// byteCounters returns the byte counters of the dialing daemon and of the daemon at the peer address.
func (f *Fleet) byteCounters(from, address string) [2]*atomic.Int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	counters := [2]*atomic.Int64{f.byteCounter(from), new(atomic.Int64)}
	for name, n := range f.nodes {
		if n.Settings.PeerAddress == address {
			counters[1] = f.byteCounter(name)
		}
	}
	return counters
}

// byteCounter returns the byte counter of a daemon. The caller must hold f.mu.
func (f *Fleet) byteCounter(name string) *atomic.Int64 {
	if f.controlBytes[name] == nil {
		f.controlBytes[name] = new(atomic.Int64)
	}
	return f.controlBytes[name]
}

// ControlBytes returns the bytes of control traffic that each daemon has sent and received.
func (f *Fleet) ControlBytes() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	bytes := make(map[string]int64, len(f.controlBytes))
	for name, n := range f.controlBytes {
		bytes[name] = n.Load()
	}
	return bytes
}

// Kill stops a daemon abruptly, as a crash does.
func (f *Fleet) Kill(name string) {
	n := f.Node(name)
	n.cancel()
	n.Listeners.Close()
	n.closeClients()
}

// Stop stops a daemon gracefully and returns the number of requests that were canceled.
func (f *Fleet) Stop(ctx context.Context, name string) int64 {
	n := f.Node(name)
	n.Daemon.Leave(ctx)
	_ = n.Listeners.Drain(ctx)
	canceled := n.Daemon.Finish(ctx)
	n.cancel()
	n.Listeners.Close()
	n.closeClients()
	return canceled
}

// closeClients closes the outgoing connections and waits until the daemon has stopped.
func (n *Node) closeClients() {
	n.peerClient.Close()
	n.forwardClient.Close()
	n.upstreamClient.Close()
	n.Daemon.Wait()
}

// Close stops the daemons, the upstreams and the store.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		f.wg.Go(func() {
			n.cancel()
			n.Listeners.Close()
			n.closeClients()
		})
	}
	f.wg.Wait()
	for _, u := range f.Upstreams {
		u.Close()
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
}

// HostsOf returns perDomain entry hosts for each failure domain of a configuration, named after their domain.
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
