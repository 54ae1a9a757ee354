package steer

import (
	"context"
	"errors"

	"github.com/daisygap/daisygap"
)

const (
	// watchSpan is how long one watch waits; a longer one saves calls but hides a connection that went silent for longer.
	watchSpan = daisygap.Millis(3_000)
	// gatherSpan is the pause after a watch that brought changes, so that changes in quick succession cost one call.
	gatherSpan = daisygap.Millis(250)
	// retrySpan is the pause after a failed call to the store.
	retrySpan = daisygap.Millis(800)
)

var storeReachable atomicGauge

// runWatch keeps the copy up to the store: a few daemons of each region watch it, the others wait at one of them.
func (d *Daemon) runWatch() {
	loaded := false
	for d.ctx.Err() == nil {
		if loaded {
			if address := d.relay(); address != "" {
				d.followRelay(address)
				continue
			}
		}
		var err error
		if !loaded {
			err = d.load()
			loaded = err == nil
		} else {
			err = d.watch()
		}
		switch {
		case err == nil:
			d.noteStore(true, nil)
		case errors.Is(err, daisygap.ErrCompacted):
			loaded = false
		case errors.Is(err, context.Canceled):
		default:
			d.noteStore(false, err)
			d.pause(jitter(retrySpan))
		}
	}
}

// watching returns a context for a wait that restartWatch ends.
func (d *Daemon) watching() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	d.lease.restart = cancel
	return ctx, cancel
}

// load reads all entries; pages aren't a snapshot, so the copy is only as new as the first.
func (d *Daemon) load() error {
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
	d.apply(u, fromStore)
	return nil
}

func (d *Daemon) watch() error {
	ctx, cancel := d.watching()
	defer cancel()
	b, err := d.Store.Watch(ctx, "", d.revision(), watchSpan)
	if err != nil {
		return err
	}
	if d.apply(daisygap.StoreUpdate{Entries: b.Entries, Revision: b.Revision}, fromStore) > 0 {
		d.pause(gatherSpan)
	}
	return nil
}

// restartWatch ends a watch that missed changes which others saw.
func (d *Daemon) restartWatch() {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	if d.lease.restart != nil {
		d.lease.restart()
	}
}

// noteStore logs when the store is lost or regained.
func (d *Daemon) noteStore(reached bool, cause error) {
	d.lease.mu.Lock()
	was := d.lease.reached
	d.lease.reached = reached
	d.lease.mu.Unlock()
	if !reached {
		d.copy.mu.Lock()
		d.copy.storeTrouble = d.Clock.Now()
		d.copy.mu.Unlock()
	}
	switch {
	case reached && !was:
		storeReachable.set(1)
		d.Log.Event("store reached", daisygap.Fields{"revision": d.revision()})
	case !reached && was:
		storeReachable.set(0)
		d.Log.Event("store lost", daisygap.Fields{"error": cause.Error(), "revision": d.revision()})
	}
}
