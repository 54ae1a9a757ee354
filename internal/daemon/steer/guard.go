package steer

import (
	"context"
	"errors"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

const (
	// guardStartDelay is the time after which a daemon that starts knows the others. Until then it would guard their upstreams as well.
	guardStartDelay = daisygap.Millis(5_000)
	// guardUpdateInterval is the time between two updates of the set of upstreams that this daemon guards.
	guardUpdateInterval = daisygap.Millis(1_000)
	// guardRetryInterval is the mean time between two attempts to connect to an upstream that has ended.
	guardRetryInterval = daisygap.Millis(250)
	// guardCheckInterval is the minimum time between two status checks of a guarded upstream, which may end its idle connections early.
	guardCheckInterval = daisygap.Millis(1_000)
)

var guardEnds = metrics.NewCounter(`daisygap_guard_ends_total`)

// runGuards keeps an idle connection open to each upstream that this daemon guards. Its end shows that the upstream may have ended, also
// when no daemon has another connection there or sends anything.
func (d *Daemon) runGuards() {
	if !d.sleep(guardStartDelay) {
		return
	}
	guards := make(map[string]context.CancelFunc)
	for d.sleep(guardUpdateInterval) {
		wanted := make(map[string]bool)
		for _, address := range d.fleet.GuardedAddresses() {
			wanted[address] = true
			if guards[address] == nil {
				ctx, cancel := context.WithCancel(d.ctx)
				guards[address] = cancel
				d.loops.Go(func() { d.guard(ctx, address) })
			}
		}
		for address, cancel := range guards {
			if !wanted[address] {
				cancel()
				delete(guards, address)
			}
		}
	}
}

// guard keeps a connection to an address open. Each time it ends, or a connection is refused, the status of the upstream there is checked.
func (d *Daemon) guard(ctx context.Context, address string) {
	// ended reports whether a connection has ended, so that each further one may be to another process.
	ended := false
	var checkedAt daisygap.Millis
	for ctx.Err() == nil {
		err := d.Upstream.Watch(ctx, address, func() {
			if now := d.Clock.Now(); ended && ctx.Err() == nil {
				checkedAt = now
				d.fleet.Recheck(address, now)
			}
		})
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			ended = true
			guardEnds.Inc()
			if wait := checkedAt + guardCheckInterval - d.Clock.Now(); checkedAt > 0 && wait > 0 {
				d.sleepOrWake(wait, ctx.Done())
			}
		default:
			if p, known := d.fleet.ProcessAt(address); known && ended && errors.Is(err, syscall.ECONNREFUSED) {
				d.noteRefused(p)
			}
			d.sleepOrWake(jitter(guardRetryInterval), ctx.Done())
		}
	}
}
