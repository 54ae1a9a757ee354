package steer

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

const (
	// permitTimeout covers the opening of a connection to another region and a call there.
	permitTimeout = daisygap.Millis(250)
	// arbiterBackoff is how long no permits are requested of an arbiter that didn't respond.
	arbiterBackoff = daisygap.Millis(1_000)
	// allowanceInterval is the time between two rounds of renewals.
	allowanceInterval = daisygap.Millis(400)
)

var (
	permitsGranted = metrics.NewCounter(`daisygap_permits_total{result="granted"}`)
	permitsRefused = metrics.NewCounter(`daisygap_permits_total{result="refused"}`)
	permitsFailed  = metrics.NewCounter(`daisygap_permits_total{result="failed"}`)
	limitsByAnswer = metrics.NewCounter(`daisygap_upstream_limits_total{source="answer"}`)
	limitedGauge   atomicGauge
	lentGauge      atomicGauge
	limitsByPeer   = metrics.NewCounter(`daisygap_upstream_limits_total{source="peer"}`)
)

// obtainPermit gets the permit that a chosen upstream needs from its arbiter. Without a permit the choice is taken back and it
// returns false.
func (e *exchange) obtainPermit(pool *placement.Pool, c placement.Choice) bool {
	e.permitRequests++
	reply := e.d.requestPermit(e.ctx, pool, c.Upstream, true, e.route.Priority)
	if !reply.Granted {
		permitsRefused.Inc()
		pool.RefusePermit(c, reply.Wait, e.d.Clock.Now())
		return false
	}
	permitsGranted.Inc()
	return true
}

// runRenewals periodically renews the rates that arbiters lent to this daemon.
func (d *Daemon) runRenewals() {
	for d.sleep(jitter(allowanceInterval)) {
		for _, pool := range d.fleet.Pools() {
			for _, u := range pool.Renewals(d.Clock.Now()) {
				if !d.renewals.start(u.ID) {
					continue
				}
				d.loops.Go(func() {
					defer d.renewals.end(u.ID)
					d.requestPermit(d.ctx, pool, u, false, 0)
				})
			}
		}
	}
}

// requestPermit asks an upstream's arbiter for a permit, if a request waits for one, and for the rate that this daemon may use next.
func (d *Daemon) requestPermit(ctx context.Context, pool *placement.Pool, u *placement.Upstream, waiting bool, priority int) daisygap.PermitReply {
	now := d.Clock.Now()
	request := pool.PermitRequest(u, waiting, priority, now)
	request.From = d.Settings.Host
	arbiter, known := d.fleet.Arbiter(u)
	reply, ok := daisygap.PermitReply{Wait: arbiterBackoff}, false
	switch {
	case !known:
	case arbiter.Name == d.Settings.Host:
		reply, ok = d.ServePermit(request), true
	default:
		reply, ok = d.callArbiter(ctx, arbiter, request)
	}
	if ok {
		pool.SetAllowance(u, reply, now, d.Clock.Now())
	}
	return reply
}

// callArbiter asks another daemon for permits. One that doesn't respond isn't asked again for a while, and false is returned.
func (d *Daemon) callArbiter(ctx context.Context, arbiter daisygap.Peer, r daisygap.PermitRequest) (daisygap.PermitReply, bool) {
	now := d.Clock.Now()
	if until := d.membership.arbiterBackoffEnd(arbiter.Address); now < until {
		return daisygap.PermitReply{Wait: until - now}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
	defer cancel()
	reply, err := d.Peers.Permit(callCtx, arbiter.Address, r)
	if err != nil {
		permitsFailed.Inc()
		if ctx.Err() == nil {
			d.membership.backOffArbiter(arbiter.Address, d.Clock.Now()+arbiterBackoff)
			d.event("arbiter failed", "arbiter failed", func() daisygap.Fields {
				return daisygap.Fields{"peer": arbiter.Address, "error": err.Error()}
			})
		}
		return daisygap.PermitReply{Wait: arbiterBackoff}, false
	}
	if reply.Report != nil {
		d.mergeRates([]daisygap.RateReport{*reply.Report}, arbiter.Address)
	}
	return reply, true
}

// renewals holds the upstreams whose allowance is being renewed.
type renewals struct {
	mu      sync.Mutex
	running map[string]bool
}

// start reports whether no renewal was running for an upstream, and marks it as running.
func (r *renewals) start(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] {
		return false
	}
	if r.running == nil {
		r.running = make(map[string]bool)
	}
	r.running[id] = true
	return true
}

func (r *renewals) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// ServePermit grants or refuses another daemon a permit.
func (d *Daemon) ServePermit(r daisygap.PermitRequest) daisygap.PermitReply {
	reply, change := d.fleet.ServePermit(r, d.Clock.Now())
	if change != nil {
		d.logRateChange(*change, "peer", "")
	}
	return reply
}

func (d *Daemon) mergeRates(list []daisygap.RateReport, source string) {
	for _, c := range d.fleet.MergeRates(list, d.Clock.Now()) {
		d.logRateChange(c, source, "")
	}
}

// logRateChange logs that the rate which an upstream takes from all daemons together began, changed or ended. The ID is that of the
// request whose response says so, if this daemon sent it.
func (d *Daemon) logRateChange(c placement.RateChange, source, id string) {
	if source == sourceAnswer {
		limitsByAnswer.Inc()
	} else {
		limitsByPeer.Inc()
	}
	name := "upstream limit"
	if !c.Named {
		name = "upstream limit ended"
	}
	d.event(name, name, func() daisygap.Fields {
		f := daisygap.Fields{"upstream": c.Upstream, "run": c.StartTime, "from": source, "age_ms": c.Age}
		if id != "" {
			f["id"] = id
		}
		if c.Named {
			f["rate"] = c.Rate
		}
		return f
	})
}

// arbiterBackoffEnd returns the time until which a daemon isn't asked for permits.
func (m *membership) arbiterBackoffEnd(address string) daisygap.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arbiterBackoff[address]
}

func (m *membership) backOffArbiter(address string, until daisygap.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.arbiterBackoff == nil {
		m.arbiterBackoff = make(map[string]daisygap.Millis)
	}
	m.arbiterBackoff[address] = until
}

// updateArbiters passes the daemons that may grant permits to the fleet; the caller holds the lock.
func (d *Daemon) updateArbiters(alive []daisygap.GossipHeartbeat) {
	var list []daisygap.Peer
	if d.Ready() {
		list = append(list, *d.membership.roster.Self.Peer)
	}
	for _, h := range alive {
		if h.Ready && !h.Leaving {
			list = append(list, *h.Peer)
		}
	}
	known := 1 + len(d.membership.roster.Staying())
	d.fleet.SetArbiters(list, min(1, float64(1+len(alive))/float64(known)))
}
