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

// watchState is the state of the loop that keeps the replica up to date.
type watchState struct {
	// loaded reports whether the replica leads on to the store's changes.
	loaded bool
	// source is the source of the last update, as in log lines.
	source string
	// probeAt is when a daemon that has lost the store probes it next.
	probeAt daisygap.Millis
}

// runWatch keeps the replica up to date. A few daemons of each region watch the store and relay its changes to the others.
func (d *Daemon) runWatch() {
	var w watchState
	for d.ctx.Err() == nil {
		wait := watchTimeout
		if w.loaded || d.revision() > 0 && d.membership.isStoreLost() {
			var followed bool
			if wait, followed = d.followRelay(&w); followed {
				continue
			}
		}
		var err error
		if !w.loaded {
			err = d.loadStore()
			w.loaded = err == nil
		} else {
			err = d.watchStore(wait)
		}
		switch {
		case err == nil:
			d.noteStoreState(true, nil)
		case errors.Is(err, daisygap.ErrCompacted):
			w.loaded = false
		case errors.Is(err, context.Canceled):
		default:
			d.noteStoreState(false, err)
			w.probeAt = d.Clock.Now() + jitter(storeProbeInterval)
			// After a timeout only the connection may be silent, and the call has taken long enough.
			if timedOut := w.loaded && errors.Is(err, context.DeadlineExceeded); !timedOut && wait != storeProbeWait {
				d.sleep(jitter(storeRetryDelay))
			}
		}
	}
}

// followRelay waits for changes at the relay of this daemon. It returns false and how long to watch the store instead if there is none,
// or if it is time to probe the store.
func (d *Daemon) followRelay(w *watchState) (wait daisygap.Millis, followed bool) {
	relay, displaced := d.chooseRelay()
	w.source = d.noteSource(w.source, relay)
	if relay.Peer == nil {
		return watchTimeout, false
	}
	poll := relayWait
	if displaced {
		poll = min(poll, w.probeAt-d.Clock.Now())
	}
	if poll <= 0 {
		return storeProbeWait, false
	}
	// A relay's updates lead on from any revision, so the next watch can as well.
	w.loaded = d.watchRelay(relay, poll) || w.loaded
	return 0, true
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

// watchStore waits up to the given time for changes in the store and applies them.
func (d *Daemon) watchStore(wait daisygap.Millis) error {
	ctx, cancel := d.watchContext()
	defer cancel()
	b, err := d.Store.Watch(ctx, "", d.revision(), wait)
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
