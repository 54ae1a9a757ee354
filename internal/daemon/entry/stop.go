package entry

import (
	"context"

	"github.com/daisygap/daisygap"
)

// Intervals and timeouts of a planned stop, in milliseconds.
const (
	// leaveMargin is added to the lifetime of cached look-ups and the gossip interval when Settings.Linger is 0.
	leaveMargin       = daisygap.Millis(500)
	idleCheckInterval = daisygap.Millis(20)
	resignTimeout     = daisygap.Millis(3_000)
)

// Leave begins a planned stop: look-ups no longer return this host. It blocks until cached look-ups have expired or the
// context ends.
func (d *Daemon) Leave(ctx context.Context) {
	d.stopping.Store(true)
	d.Log.With("stop").Infof("%s began a planned stop", d.Settings.Host)
	d.heartbeatOnce()
	linger := d.Settings.Linger
	if linger == 0 {
		linger = d.config().Lookup.TTL + d.gossipInterval() + leaveMargin
	}
	waitFor(ctx, linger)
}

// Finish waits until no request is in flight and no slot is lent, and then gives up the daemon's shares and lease. If the
// context ends first, it returns the number of requests in flight.
func (d *Daemon) Finish(ctx context.Context) int64 {
	for !d.idle() {
		for group, p := range *d.pools.Load() {
			if p.LentOut() {
				d.recall(group)
			}
		}
		if !waitFor(ctx, idleCheckInterval) {
			return d.inFlightCount.Load()
		}
	}
	d.drained.Store(true)
	resigning, cancel := context.WithTimeout(ctx, resignTimeout.Duration())
	defer cancel()
	d.resign(resigning)
	d.Log.With("stop").Infof("%s left its domain", d.Settings.Host)
	return 0
}

// idle reports whether no request is in flight and no slot is lent.
func (d *Daemon) idle() bool {
	if d.inFlightCount.Load() > 0 {
		return false
	}
	for _, p := range *d.pools.Load() {
		if p.LentOut() || p.Load().Running > 0 {
			return false
		}
	}
	return true
}

func waitFor(ctx context.Context, timeout daisygap.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	<-ctx.Done()
	return context.Cause(ctx) == context.DeadlineExceeded
}
