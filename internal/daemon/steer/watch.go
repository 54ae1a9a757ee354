package steer

import (
	"context"
	"errors"

	"github.com/daisygap/daisygap"
)

const (
	// watchTimeout is how long one watch waits. A longer timeout saves calls but delays the detection of a silent connection,
	// which takes the timeout of a call more.
	watchTimeout = daisygap.Millis(1_500)
	// coalesceDelay is the pause after a watch that returned changes, so that changes in quick succession cost one call.
	coalesceDelay = daisygap.Millis(250)
	// storeRetryDelay is the mean delay before a failed call to the store is retried.
	storeRetryDelay = daisygap.Millis(800)
)

var storeReachableGauge atomicGauge

// runWatch keeps the replica up to date. A few daemons of each region watch the store and relay its changes to the others.
func (d *Daemon) runWatch() {
	loaded := false
	var source string
	for d.ctx.Err() == nil {
		if loaded || d.revision() > 0 && d.membership.isStoreLost() {
			relay, ok := d.chooseRelay()
			source = d.noteSource(source, relay)
			if ok {
				// A relay's updates lead on from any revision, so the next watch can as well.
				loaded = d.watchRelay(relay) || loaded
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
		case loaded && errors.Is(err, context.DeadlineExceeded):
			// Only this connection may be silent, and the watch has taken long enough.
			d.noteStoreState(false, err)
		default:
			d.noteStoreState(false, err)
			d.sleep(jitter(storeRetryDelay))
		}
	}
}

// noteSource logs a change of the source of this daemon's updates, which is a relay or, if its heartbeat is empty, the store. It returns
// the source in the form that log lines use.
func (d *Daemon) noteSource(last string, relay daisygap.GossipHeartbeat) string {
	source := sourceStore
	if relay.Peer != nil {
		source = relay.Peer.Address
	}
	if source != last {
		d.event("update source", "update source", func() daisygap.Fields {
			return daisygap.Fields{"from": source, "before": last, "revision": d.revision()}
		})
	}
	return source
}

// watchContext returns a context for a watch that restartWatch can cancel.
func (d *Daemon) watchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	d.registration.cancelWatch = cancel
	return ctx, cancel
}

// loadStore reads all entries. It returns ErrRestored if the store began another era between two pages. The pages are not a consistent snapshot, so the replica takes the revision of the first page.
// The watch then starts there and returns the changes that were made while the later pages were read.
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
		if b.Revision.Era() != u.Revision.Era() {
			return daisygap.ErrRestored
		}
		u.Entries = append(u.Entries, b.Entries...)
		if !b.More || len(b.Entries) == 0 {
			break
		}
		after = b.Entries[len(b.Entries)-1].Key
	}
	u.Full = true
	d.apply(u, sourceStore)
	d.updateDaemonNames()
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

// restartWatch cancels the pending watch, which missed changes that other daemons received.
func (d *Daemon) restartWatch() {
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	if d.registration.cancelWatch != nil {
		d.registration.cancelWatch()
	}
}

// noteStoreState records whether the store is reachable, tells daemons that wait for changes here when it no longer is, and logs each
// change.
func (d *Daemon) noteStoreState(reachable bool, cause error) {
	d.registration.mu.Lock()
	wasReachable := d.registration.storeReachable
	d.registration.storeReachable = reachable
	d.registration.mu.Unlock()
	d.membership.setStoreLost(!reachable)
	if !reachable {
		d.replica.noteStoreFailure(d.Clock.Now())
	}
	switch {
	case reachable && !wasReachable:
		// This daemon may be a relay again, for which others stop watching the store.
		d.restartWatch()
		storeReachableGauge.set(1)
		d.Log.Event("store reached", daisygap.Fields{"revision": d.revision()})
	case !reachable && wasReachable:
		storeReachableGauge.set(0)
		d.Log.Event("store lost", daisygap.Fields{"error": cause.Error(), "revision": d.revision()})
	}
}
