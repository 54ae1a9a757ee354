package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/caller"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/configuration"
	"github.com/daisygap/daisygap/internal/policy/membership"
	"github.com/daisygap/daisygap/internal/policy/once"
	"github.com/daisygap/daisygap/internal/policy/quota"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

// Timing holds the intervals and timeouts of the control loops, in milliseconds.
type Timing struct {
	// HeartbeatInterval is the shortest interval between two heartbeats. It grows with the number of members to keep
	// the leaseholder's load constant.
	HeartbeatInterval daisygap.Millis
	// HeartbeatPerMember is the part of the interval that each member of the domain adds.
	HeartbeatPerMember daisygap.Millis
	// StoreLease is the duration of the domain's lease in the store.
	StoreLease daisygap.Millis
	// MemberLease is the duration of a member's lease; it is longer than the take-over of a failed leaseholder.
	MemberLease daisygap.Millis
	// GossipInterval is the shortest interval between two gossip exchanges; each domain adds GossipPerDomain to it.
	GossipInterval  daisygap.Millis
	GossipPerDomain daisygap.Millis
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout daisygap.Millis
	// TotalsInterval is the interval between two writes of refusal totals to the store.
	TotalsInterval daisygap.Millis
}

// DefaultTiming returns the production values.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 500, HeartbeatPerMember: 110, StoreLease: 3_000, MemberLease: 8_000,
		GossipInterval: 1_000, GossipPerDomain: 60, WatchTimeout: 20_000, TotalsInterval: 10_000,
	}
}

// Daemon is the daemon of one entry host; set the exported fields before Run.
type Daemon struct {
	Settings *daisygap.Settings
	Clock    *daisygap.Clock
	Store    daisygap.Store
	Peers    daisygap.Peers
	Upstream *upstream.Client
	Forward  *upstream.Client
	Log      daisygap.Log
	Timing   Timing
	// OnLinkWrite, when set, is called just before each write on a link to another region.
	OnLinkWrite func(region string, bytes int)
	// Seed makes the random choices repeatable in tests; 0 uses a random seed.
	Seed uint64

	incarnation string
	self        daisygap.Host
	reader      caller.Reader
	memory      quota.Bytes
	// maxSends bounds the requests at upstreams and other daemons, so that descriptors are left for other connections. 0 means no bound.
	maxSends      int64
	sendCount     atomic.Int64
	ctx           context.Context
	tasks         sync.WaitGroup
	stopping      atomic.Bool
	drained       atomic.Bool
	inFlight      sync.WaitGroup
	inFlightCount atomic.Int64

	snapshot atomic.Pointer[configuration.Snapshot]
	topology atomic.Pointer[routing.Topology]
	table    atomic.Pointer[routing.Table]
	pools    atomic.Pointer[map[string]*upstream.Pool]

	versions     versions
	members      members
	gossip       gossip
	links        links
	fingerprints fingerprints
	budgets      budgets
	totals       refusalTotals
	loans        loans
	idempotency  idempotencyKeys
	unreachable  unreachableHosts

	replanRequests chan struct{}
	randomMu       sync.Mutex
	random         *rand.Rand
}

// Run starts the control loops; they end when the context does.
func (d *Daemon) Run(ctx context.Context) {
	d.ctx = ctx
	d.incarnation = uuid.NewString()[:incarnationLength]
	d.self = daisygap.Host{Name: d.Settings.Host, CallerAddress: d.Settings.CallerAddress, ForwardAddress: d.Settings.ForwardAddress, PeerAddress: d.Settings.PeerAddress}
	d.reader = caller.Reader{Clock: d.Clock}
	d.memory.Limit = requestMemory()
	for _, t := range d.Settings.TrustedPrefixes {
		if p, err := netip.ParsePrefix(t); err == nil {
			d.reader.TrustedProxies = append(d.reader.TrustedProxies, p)
		}
	}
	seed := d.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	d.random = rand.New(rand.NewPCG(seed, 1))
	d.replanRequests = make(chan struct{}, 1)
	d.members.member = membership.Member{Host: d.Settings.Host, Started: d.Clock.Now()}
	d.members.reports = make(map[string]memberReport)
	d.gossip.records = make(map[string]daisygap.DomainRecord)
	d.gossip.advancedAt = make(map[string]daisygap.Millis)
	d.links.onWrite = d.OnLinkWrite
	d.loans.demand = make(chan string, 16)
	d.totals.counts = make(map[totalKey]int64)
	d.idempotency.keys = once.Deduplicator{Self: d.Settings.Host, Started: d.Clock.Now()}
	d.snapshot.Store(configuration.Empty())
	pools := make(map[string]*upstream.Pool)
	d.pools.Store(&pools)

	d.tasks.Go(d.startConfiguration)
	d.tasks.Go(d.runPlanner)
	d.tasks.Go(d.runMembership)
	d.tasks.Go(d.runGossip)
	d.tasks.Go(d.runLoans)
	d.tasks.Go(d.runTicks)
	d.tasks.Go(d.runWatch)
	d.tasks.Go(d.runTotals)
	d.tasks.Go(d.runHealth)
}

// Wait blocks until all control loops have ended after the context of Run.
func (d *Daemon) Wait() {
	d.tasks.Wait()
}

// Ready reports whether the daemon has a configuration and a valid lease.
func (d *Daemon) Ready() bool {
	return d.snapshot.Load().Version > 0 && d.leaseValid()
}

// Version returns the current configuration version.
func (d *Daemon) Version() uint64 {
	return d.snapshot.Load().Version
}

// config returns the current configuration.
func (d *Daemon) config() *daisygap.Configuration {
	return d.snapshot.Load().Config
}

func (d *Daemon) pool(group string) *upstream.Pool {
	return (*d.pools.Load())[group]
}

// pause sleeps for a duration of wall-clock time, and reports false if the daemon ends first.
func (d *Daemon) pause(duration daisygap.Millis) bool {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// withJitter returns a random duration between 75 % and 125 % of the given one.
func (d *Daemon) withJitter(duration daisygap.Millis) daisygap.Millis {
	d.randomMu.Lock()
	defer d.randomMu.Unlock()
	return duration*3/4 + daisygap.Millis(d.random.Int64N(int64(duration)/2+1))
}

func (d *Daemon) randomIndex(n int) int {
	d.randomMu.Lock()
	defer d.randomMu.Unlock()
	return d.random.IntN(n)
}

// runTicks grants slots and link bandwidth that become available by the passage of time alone.
func (d *Daemon) runTicks() {
	for d.pause(tickInterval) {
		for _, p := range *d.pools.Load() {
			p.Tick()
		}
		d.links.tick(d.Clock.Now())
	}
}

// incarnationLength is long enough to distinguish the processes of one host.
const incarnationLength = 13

const tickInterval = daisygap.Millis(20)

// track counts a request as in flight until the returned function is called.
func (d *Daemon) track() func() {
	d.inFlight.Add(1)
	d.inFlightCount.Add(1)
	return func() {
		d.inFlightCount.Add(-1)
		d.inFlight.Done()
	}
}
