package entry

import (
	"context"

	"github.com/daisygap/daisygap"
)

// Spans of a planned stop.
const (
	leaveMargin       = daisygap.Millis(500)
	idleCheckInterval = daisygap.Millis(20)
	resignTimeout     = daisygap.Millis(3_000)
)

// Leave begins a planned stop: look-ups no longer name this host. It returns when cached answers have aged, or when the context ends.
func (d *Daemon) Leave(ctx context.Context) {
	d.stopping.Store(true)
	d.Log.With("stop").Infof("%s is leaving", d.Settings.Host)
	d.heartbeatOnce()
	span := d.Settings.Linger
	if span == 0 {
		span = d.config().Lookup.TTL + d.gossipInterval() + leaveMargin
	}
	waitFor(ctx, span)
}

// Finish hands the daemon's shares back when nothing runs on them any more; it returns the requests still in flight if the context ends first.
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
	d.Log.With("stop").Infof("%s has left", d.Settings.Host)
	return 0
}

// idle tells that no request is in flight and no slot is lent.
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

func waitFor(ctx context.Context, span daisygap.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	<-ctx.Done()
	return context.Cause(ctx) == context.DeadlineExceeded
}
