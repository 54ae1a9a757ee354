package steer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/customer"
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/quota"
	"github.com/daisygap/daisygap/internal/policy/route"
)

// Daemon is one entry host on the platform. Set the exported fields before Run.
type Daemon struct {
	Settings    *daisygap.Settings
	Clock       *daisygap.Clock
	Store       daisygap.Store
	Peers       daisygap.SteeringPeers
	Upstream    *upstream.Client
	Protocol    daisygap.Protocol
	StoreSchema daisygap.StoreSchema
	Log         daisygap.Log

	ctx           context.Context
	loops         sync.WaitGroup
	inFlight      sync.WaitGroup
	inFlightCount atomic.Int64
	stopping      atomic.Bool
	// stopTime is the time by which the requests of a stopping daemon must be answered, and answerCtx ends then.
	stopTime     atomic.Int64
	answerCtx    context.Context
	cancelAnswer context.CancelFunc

	snapshot atomic.Pointer[snapshot]
	fleet    placement.Fleet
	// startedAt is when Run was called.
	startedAt daisygap.Millis
	splitter  route.Splitter

	memory quota.Bytes
	// maxForwards bounds the requests at upstreams, so that descriptors are left for other connections. 0 means no bound.
	maxForwards  int64
	forwardCount atomic.Int64
	replica      storeReplica
	membership   membership
	budgets      retryBudgets
	crashes      crashes
	registration registration
	events       eventLimits
	renewals     renewals
	versions     versions
	allowances   allowances
}

// snapshot is the immutable configuration that the request path reads.
type snapshot struct {
	config    *daisygap.SteeringConfig
	table     *route.Table
	customers *customer.Table
	revision  daisygap.StoreRevision
}

// Run starts the control loops, which end when the context does.
func (d *Daemon) Run(ctx context.Context) {
	d.ctx = ctx
	d.answerCtx, d.cancelAnswer = context.WithCancel(ctx)
	s := d.Settings
	address := s.PeerAddress
	if s.Steering.AdvertiseAddress != "" {
		address = s.Steering.AdvertiseAddress
	}
	d.fleet = placement.Fleet{Name: s.Host, Region: s.Region, Domain: s.Domain, Regions: s.Steering.Domains, Check: d.startStatusCheck}
	d.membership.roster.Self = daisygap.GossipHeartbeat{
		Name: s.Host,
		Peer: &daisygap.Peer{
			Name: s.Host, Domain: s.Domain, Region: s.Region, CallerAddress: s.CallerAddress, Address: address,
			Incarnation: strconv.FormatUint(rand.Uint64(), 36),
		},
		StartTime: int64(d.Clock.Wall()),
	}
	d.memory.Limit = memoryBudget(s.Steering.MemoryMB)
	d.registration.wake = make(chan struct{}, 1)
	d.crashes.wake = make(chan struct{}, 1)
	d.allowances.wake = make(chan struct{}, 1)
	d.crashes.tracker.Host = s.Host + "." + d.membership.roster.Self.Peer.Incarnation
	d.budgets.ratio, d.budgets.slack = s.Steering.RetryRatio, s.Steering.RetrySlack
	// The error is ignored: the settings were validated when they were loaded, and without a window there is no slack.
	d.budgets.window, _ = s.Steering.RetryWindow.Millis()
	d.Upstream.OnEarlyEnd = d.noteEarlyEnd
	d.allowances.limiter.Name, d.allowances.relay.Name = s.Host, s.Host
	d.startedAt = d.Clock.Now()
	d.updateDaemonNames()
	d.Log.Event("start", daisygap.Fields{"host": s.Host, "domain": s.Domain, "region": s.Region, "run": d.membership.roster.Self.Peer.Incarnation})
	for _, loop := range []func(){d.runWatch, d.runCatchUp, d.runRegister, d.runGossip, d.runLapseExpiry, d.runPoolTicks, d.runHints, d.runRenewals, d.runNewsPush, d.runGuards, d.runVersions, d.runAllowances} {
		d.loops.Go(loop)
	}
}

// Wait blocks until all control loops have ended after the context of Run.
func (d *Daemon) Wait() {
	d.loops.Wait()
}

// Ready reports whether the daemon accepts requests of callers.
func (d *Daemon) Ready() bool {
	return d.snapshot.Load() != nil && !d.stopping.Load()
}

// Leave removes the daemon from look-ups: it notifies its peers at once and deletes its entry in the store. From now on it takes only
// requests that can end by the given time, at which those in flight are given up and answered.
func (d *Daemon) Leave(by daisygap.Millis) {
	d.stopTime.Store(int64(by))
	d.stopping.Store(true)
	time.AfterFunc((by - d.Clock.Now()).Duration(), d.cancelAnswer)
	d.Log.Event("stop", daisygap.Fields{"in_flight": d.inFlightCount.Load()})
	d.loops.Go(d.announceLeave)
}

// AwaitDrain waits for the requests in flight, and returns how many of them remain when the context ends.
func (d *Daemon) AwaitDrain(ctx context.Context) int64 {
	done := make(chan struct{})
	go func() {
		d.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return d.inFlightCount.Load()
}

// sleep waits for the given time, and returns false when the daemon ends.
func (d *Daemon) sleep(duration daisygap.Millis) bool {
	return d.sleepOrWake(duration, nil)
}

// sleepOrWake waits for the given time or until wake receives, and returns false when the daemon ends.
func (d *Daemon) sleepOrWake(duration daisygap.Millis, wake <-chan struct{}) bool {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// jitter returns a random duration between 3/4 and 5/4 of the given one.
func jitter(duration daisygap.Millis) daisygap.Millis {
	return duration*3/4 + daisygap.Millis(rand.Int64N(int64(duration)/2+1))
}

// runPoolTicks periodically adjusts the regions' shares of each pool and updates the set of live daemons.
func (d *Daemon) runPoolTicks() {
	for d.sleep(placement.TickInterval) {
		now := d.Clock.Now()
		for _, p := range d.fleet.Pools() {
			p.Tick(now)
			for _, id := range p.EndedPauses(now) {
				d.event("upstream pause ended", "upstream pause ended", func() daisygap.Fields { return daisygap.Fields{"upstream": id} })
			}
		}
		d.reportSpeeds(d.fleet.Pools())
		d.updateDaemonNames()
		limited, lent := d.fleet.Limits(now)
		limitedGauge.set(uint64(limited))
		lentGauge.set(uint64(lent))
	}
}
