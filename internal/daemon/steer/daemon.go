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
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/route"
)

// Daemon is one entry host on the platform; set the fields before Run.
type Daemon struct {
	Settings  *daisygap.Settings
	Clock     *daisygap.Clock
	Store     daisygap.Store
	Peers     daisygap.SteeringPeers
	Upstream  *upstream.Client
	Protocol  daisygap.Protocol
	Catalogue daisygap.StoreSchema
	Log       daisygap.Log

	ctx           context.Context
	loops         sync.WaitGroup
	inFlight      sync.WaitGroup
	inFlightCount atomic.Int64
	stopping      atomic.Bool

	snapshot atomic.Pointer[snapshot]
	fleet    placement.Fleet
	splitter route.Splitter

	replica      storeReplica
	membership   membership
	budgets      retryBudgets
	crashes      crashReports
	registration registration
	events       eventLimits
}

// snapshot is what the request path reads; it doesn't change once it is set.
type snapshot struct {
	config   *daisygap.SteeringConfig
	table    *route.Table
	revision uint64
}

// Run starts the control parts; they end when the context does.
func (d *Daemon) Run(ctx context.Context) {
	d.ctx = ctx
	s := d.Settings
	address := s.PeerAddress
	if s.Steering.AdvertiseAddress != "" {
		address = s.Steering.AdvertiseAddress
	}
	d.fleet = placement.Fleet{Name: s.Host, Region: s.Region, Domain: s.Domain, Regions: s.Steering.Domains}
	d.membership.roster.Self = daisygap.GossipHeartbeat{
		Name: s.Host,
		Peer: &daisygap.Peer{
			Name: s.Host, Domain: s.Domain, Region: s.Region, CallerAddress: s.CallerAddress, Address: address,
			Incarnation: strconv.FormatUint(rand.Uint64(), 36),
		},
		StartTime: int64(d.Clock.Wall()),
	}
	d.registration.wake = make(chan struct{}, 1)
	d.budgets.ratio, d.budgets.slack = s.Steering.RetryRatio, s.Steering.RetrySlack
	// The settings were checked when they were read; without a window there is no slack.
	d.budgets.window, _ = s.Steering.RetryWindow.Millis()
	d.updateDaemonNames()
	d.Log.Event("start", daisygap.Fields{"host": s.Host, "domain": s.Domain, "region": s.Region, "run": d.membership.roster.Self.Peer.Incarnation})
	for _, part := range []func(){d.runWatch, d.runCatchUp, d.runRegister, d.runGossip, d.runLapseExpiry, d.runPoolTicks} {
		d.loops.Go(part)
	}
}

// Wait returns when all control parts have ended after the context of Run.
func (d *Daemon) Wait() {
	d.loops.Wait()
}

// Ready tells whether the daemon takes callers.
func (d *Daemon) Ready() bool {
	return d.snapshot.Load() != nil && !d.stopping.Load()
}

// Leave takes the daemon out of the look-ups: its peers are told at once, and its entry in the store ends.
func (d *Daemon) Leave() {
	d.stopping.Store(true)
	d.Log.Event("stop", daisygap.Fields{"in_flight": d.inFlightCount.Load()})
	d.loops.Go(d.announceLeave)
}

// AwaitDrain waits for the requests in flight, and returns how many were left when the context ended.
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

// sleep waits for a span, and reports false when the daemon ends.
func (d *Daemon) sleep(span daisygap.Millis) bool {
	return d.sleepOrWake(span, nil)
}

// sleepOrWake waits for a span or until it is woken, and reports false when the daemon ends.
func (d *Daemon) sleepOrWake(span daisygap.Millis, wake <-chan struct{}) bool {
	timer := time.NewTimer(span.Duration())
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

// jitter returns a span between three quarters and five quarters of the given one.
func jitter(span daisygap.Millis) daisygap.Millis {
	return span*3/4 + daisygap.Millis(rand.Int64N(int64(span)/2+1))
}

// runPoolTicks adjusts the regions' shares, and counts the daemons that share limits.
func (d *Daemon) runPoolTicks() {
	for d.sleep(placement.TickInterval) {
		now := d.Clock.Now()
		for _, p := range d.fleet.Pools() {
			p.Tick(now)
		}
		d.updateDaemonNames()
	}
}
