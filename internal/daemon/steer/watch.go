package steer

import (
	"context"
	"errors"

	"github.com/daisygap/daisygap"
)

const (
	// watchTimeout is how long one watch waits; a longer one saves calls but hides a connection that went silent for longer.
	watchTimeout = daisygap.Millis(3_000)
	// coalesceDelay is the pause after a watch that brought changes, so that changes in quick succession cost one call.
	coalesceDelay = daisygap.Millis(250)
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = daisygap.Millis(800)
)

var storeReachableGauge atomicGauge

// runWatch keeps the copy up to the store: a few daemons of each region watch it, the others wait at one of them.
func (d *Daemon) runWatch() {
	loaded := false
	for d.ctx.Err() == nil {
		if loaded {
			if address := d.chooseRelay(); address != "" {
				d.watchRelay(address)
				continue
			}
		}
		var err error
		if !loaded {
			err = d.loadStore()
			loaded = err == nil
		} else {
			err = d.watchStore()
		}
		switch {
		case err == nil:
			d.noteStoreState(true, nil)
		case errors.Is(err, daisygap.ErrCompacted):
			loaded = false
		case errors.Is(err, context.Canceled):
		default:
			d.noteStoreState(false, err)
			d.sleep(jitter(storeRetryDelay))
		}
	}
}

// watchContext returns a context for a wait that restartWatch ends.
func (d *Daemon) watchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	d.registration.cancelWatch = cancel
	return ctx, cancel
}

// loadStore reads all entries; pages aren't a snapshot, so the copy is only as new as the first.
func (d *Daemon) loadStore() error {
	var u daisygap.StoreUpdate
	after := ""
	for {
		b, err := d.Store.List(d.ctx, "", after)
		if err != nil {
			return err
		}
		if u.Revision == 0 {
			u.Revision = b.Revision
		}
		u.Entries = append(u.Entries, b.Entries...)
		if !b.More || len(b.Entries) == 0 {
			break
		}
		after = b.Entries[len(b.Entries)-1].Key
	}
	u.Full = true
	d.apply(u, sourceStore)
	return nil
}

func (d *Daemon) watchStore() error {
	ctx, cancel := d.watchContext()
	defer cancel()
	b, err := d.Store.Watch(ctx, "", d.revision(), watchTimeout)
	if err != nil {
		return err
	}
	if d.apply(daisygap.StoreUpdate{Entries: b.Entries, Revision: b.Revision}, sourceStore) > 0 {
		d.sleep(coalesceDelay)
	}
	return nil
}

// restartWatch ends a watch that missed changes which others saw.
func (d *Daemon) restartWatch() {
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	if d.registration.cancelWatch != nil {
		d.registration.cancelWatch()
	}
}

// noteStoreState logs when the store is lost or regained.
func (d *Daemon) noteStoreState(reachable bool, cause error) {
	d.registration.mu.Lock()
	wasReachable := d.registration.storeReachable
	d.registration.storeReachable = reachable
	d.registration.mu.Unlock()
	if !reachable {
		d.replica.mu.Lock()
		d.replica.lastStoreFailure = d.Clock.Now()
		d.replica.mu.Unlock()
	}
	switch {
	case reachable && !wasReachable:
		storeReachableGauge.set(1)
		d.Log.Event("store reached", daisygap.Fields{"revision": d.revision()})
	case !reachable && wasReachable:
		storeReachableGauge.set(0)
		d.Log.Event("store lost", daisygap.Fields{"error": cause.Error(), "revision": d.revision()})
	}
}
