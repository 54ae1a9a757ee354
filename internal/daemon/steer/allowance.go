package steer

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/allowance"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

const (
	// allowanceTick is the time between two looks for due reports, and idleAllowanceTick the same if no customer has a rate.
	allowanceTick     = daisygap.Millis(50)
	idleAllowanceTick = daisygap.Millis(250)
	// allowanceMembersInterval is the time between two updates of the daemons that relay and coordinate.
	allowanceMembersInterval = daisygap.Millis(400)
	// allowanceStorePeriod is how long after its start a daemon counts those in the store as known although it had no contact to them. It is
	// the time after which gossip forgets a daemon. A daemon that starts while it is cut off would use the whole of each rate otherwise.
	allowanceStorePeriod = daisygap.Millis(60_000)
)

var (
	allowanceAdmitted = metrics.NewCounter(`daisygap_allowance_requests_total{result="admitted"}`)
	allowanceRefused  = metrics.NewCounter(`daisygap_allowance_requests_total{result="refused"}`)
	allowanceReturned = metrics.NewCounter(`daisygap_allowance_requests_total{result="returned"}`)
	allowanceAnswered = metrics.NewCounter(`daisygap_allowance_reports_total{result="answered"}`)
	allowanceFailed   = metrics.NewCounter(`daisygap_allowance_reports_total{result="failed"}`)
	allowanceReceived = metrics.NewCounter(`daisygap_allowance_reports_total{result="received"}`)
	limitedCustomers  atomicGauge
	equalSharesGauge  atomicGauge
)

func init() {
	metrics.NewGauge(`daisygap_limited_customers`, limitedCustomers.get)
	metrics.NewGauge(`daisygap_allowance_equal_shares`, equalSharesGauge.get)
}

// allowances is what a daemon needs to keep the customers' allowances together with the others.
type allowances struct {
	limiter      allowance.Limiter
	relay        allowance.Relay
	ledger       allowance.Ledger
	coordinators allowance.Coordinators
	wake         chan struct{}
}

// takeAllowance takes a token from the allowance of the request's customer. It refuses the request if there is none, and returns false
// then.
func (e *exchange) takeAllowance() bool {
	if e.customer == nil || e.customer.Rate <= 0 {
		return true
	}
	e.tokenAt = e.d.Clock.Now()
	admitted, wait, urgent := e.d.allowances.limiter.Take(e.customer, e.tokenAt)
	if urgent {
		e.d.allowances.wakeUp()
	}
	if !admitted {
		allowanceRefused.Inc()
		e.refuse(http.StatusTooManyRequests, daisygap.ReasonOverAllowance, placement.Choice{RetryAfter: wait})
		return false
	}
	allowanceAdmitted.Inc()
	e.hasToken = true
	return true
}

// returnUnusedAllowance returns the token of a request that has not reached an upstream.
func (e *exchange) returnUnusedAllowance() {
	if e.hasToken && e.reached == 0 {
		allowanceReturned.Inc()
		e.d.allowances.limiter.Return(e.customer, e.tokenAt, e.d.Clock.Now())
	}
}

// wakeUp lets the loop look for due reports at once.
func (a *allowances) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// runAllowances sends the reports that are due. Without customers that have a rate, this daemon reports nothing, but serves the reports of
// others whose configuration has some.
func (d *Daemon) runAllowances() {
	a := &d.allowances
	var config *daisygap.SteeringConfig
	var membersAt daisygap.Millis
	active, interval := false, idleAllowanceTick
	for d.sleepOrWake(interval, a.wake) {
		now := d.Clock.Now()
		if s := d.snapshot.Load(); s != nil && s.config != config {
			config = s.config
			a.ledger.SetCustomers(config.Customers)
			if hasRates := hasRates(config.Customers); hasRates != active {
				active = hasRates
				if active {
					a.limiter.Start(now)
				} else {
					a.limiter.Stop()
					limitedCustomers.set(0)
					equalSharesGauge.set(0)
				}
				membersAt = 0
			}
		}
		due := a.relay.Due(now)
		if interval = allowanceTick; !active && len(due) == 0 {
			interval = idleAllowanceTick
			continue
		}
		if membersAt == 0 || now-membersAt >= allowanceMembersInterval {
			membersAt = now
			d.updateAllowanceMembers(now)
		}
		if active {
			d.reportUse(now)
		}
		for _, k := range due {
			d.reportSlot(k, now)
		}
		d.logAllowances(now)
	}
}

func hasRates(list []daisygap.Customer) bool {
	for i := range list {
		if list[i].Rate > 0 {
			return true
		}
	}
	return false
}

// updateAllowanceMembers passes the live and the known daemons to the parts that divide the allowances among them.
func (d *Daemon) updateAllowanceMembers(now daisygap.Millis) {
	d.membership.mu.Lock()
	var peers []daisygap.Peer
	if d.Ready() {
		peers = append(peers, *d.membership.roster.Self.Peer)
	}
	for _, h := range d.membership.roster.Alive(now) {
		if h.Ready && !h.Leaving {
			peers = append(peers, *h.Peer)
		}
	}
	known := len(d.knownDaemons(now, allowanceStorePeriod))
	d.membership.mu.Unlock()
	a := &d.allowances
	a.limiter.SetDaemons(known)
	a.relay.SetDaemons(known)
	a.ledger.SetDaemons(known)
	a.coordinators.SetPeers(peers, now)
}

// reportUse reports this daemon's use to its relay if that is due.
func (d *Daemon) reportUse(now daisygap.Millis) {
	l := &d.allowances.limiter
	r, group, due := l.Report(now)
	if !due {
		return
	}
	d.sendReport(r, allowance.SlotKey{Slot: group, Slots: r.Slots}, func(reply daisygap.AllowanceReply) { l.Answered(r, reply) }, l.Failed)
}

// reportSlot reports the use of this daemon's group to the coordinator of a slot.
func (d *Daemon) reportSlot(k allowance.SlotKey, now daisygap.Millis) {
	relay := &d.allowances.relay
	if r, ok := relay.Report(k, now); ok {
		d.sendReport(r, k, func(reply daisygap.AllowanceReply) { relay.Answered(r, reply, d.Clock.Now()) }, func() { relay.Failed(r) })
	}
}

// sendReport sends a report without waiting for the reply, unless the receiver is this daemon.
func (d *Daemon) sendReport(r daisygap.AllowanceReport, k allowance.SlotKey, answered func(daisygap.AllowanceReply), failed func()) {
	to, known := d.allowances.coordinators.Of(k)
	switch {
	case !known:
		failed()
	case to.Name == d.Settings.Host:
		answered(d.ServeAllowance(r))
	default:
		d.loops.Go(func() {
			reply, err := d.callCoordinator(to.Address, r)
			if err == nil {
				allowanceAnswered.Inc()
				d.allowances.coordinators.Answered(to.Address)
				answered(reply)
				return
			}
			if d.ctx.Err() != nil {
				return
			}
			allowanceFailed.Inc()
			d.allowances.coordinators.Failed(to.Address, !errors.Is(err, errLateReply), d.Clock.Now())
			failed()
			d.allowances.wakeUp()
			d.event("allowance report failed", "allowance report failed", func() daisygap.Fields {
				return daisygap.Fields{"peer": to.Address, "slot": k.Slot, "error": err.Error()}
			})
		})
	}
}

// errLateReply is the error of a report whose reply is late.
var errLateReply = errors.New("no reply in time")

// callCoordinator sends a report and waits up to allowance.CallTimeout for the reply. The call itself ends later, since the end of a call
// by its timeout closes the connection, which other calls use as well.
func (d *Daemon) callCoordinator(address string, r daisygap.AllowanceReport) (daisygap.AllowanceReply, error) {
	type result struct {
		reply daisygap.AllowanceReply
		err   error
	}
	done := make(chan result, 1)
	ctx, cancel := context.WithCancel(d.ctx)
	d.loops.Go(func() {
		defer cancel()
		reply, err := d.Peers.Allowance(ctx, address, r)
		done <- result{reply, err}
	})
	timer := time.NewTimer(allowance.CallTimeout.Duration())
	defer timer.Stop()
	select {
	case res := <-done:
		return res.reply, res.err
	case <-timer.C:
		return daisygap.AllowanceReply{}, errLateReply
	}
}

// ServeAllowance counts the report of a daemon, as its relay, or that of a relay, as the coordinator of a slot.
func (d *Daemon) ServeAllowance(r daisygap.AllowanceReport) daisygap.AllowanceReply {
	a, now := &d.allowances, d.Clock.Now()
	allowanceReceived.Inc()
	if !allowance.IsValid(r) {
		return daisygap.AllowanceReply{Full: true}
	}
	if r.Heard > 0 {
		return a.ledger.Report(r, now)
	}
	a.relay.Add(r, now)
	// The slots of this daemon need no message, so that the reply already has their new limits.
	for i := range r.Slots {
		k := allowance.SlotKey{Slot: i, Slots: r.Slots}
		if to, known := a.coordinators.Of(k); known && to.Name == d.Settings.Host {
			d.reportSlot(k, now)
		}
	}
	a.wakeUp()
	return a.relay.Reply(r, now)
}

// logAllowances logs the customers that became limited or open, and updates the gauges.
func (d *Daemon) logAllowances(now daisygap.Millis) {
	for _, c := range d.allowances.ledger.TakeChanges() {
		name := "customer open"
		if c.Limited {
			name = "customer limited"
		}
		d.event(name, name, func() daisygap.Fields {
			return daisygap.Fields{"customer": c.Customer, "rate": c.Rate, "demand": math.Round(c.Demand*10) / 10, "tokens": math.Round(c.Level*10) / 10}
		})
	}
	limited, silent := d.allowances.limiter.State(now)
	limitedCustomers.set(uint64(limited))
	equalSharesGauge.set(0)
	if silent {
		equalSharesGauge.set(1)
	}
}
