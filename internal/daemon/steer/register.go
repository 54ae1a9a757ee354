package steer

import (
	"context"
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

const (
	// leaseDuration is the duration of the lease of a daemon's entry, and renewInterval the time between two renewals. The lease
	// may be long because other daemons detect a failure by gossip.
	leaseDuration = daisygap.Millis(40_000)
	renewInterval = daisygap.Millis(12_000)
)

// registration is the state of the daemon's own entry in the store, and of its access to the store.
type registration struct {
	mu    sync.Mutex
	lease string
	// deleted reports that the entry was deleted while the lease still seemed valid; wake then triggers a new registration.
	deleted bool
	wake    chan struct{}
	// cancelWatch cancels the pending watch.
	cancelWatch    context.CancelFunc
	storeReachable bool
}

// runRegister keeps the daemon's entry in the store, by which other daemons find it.
func (d *Daemon) runRegister() {
	for d.ctx.Err() == nil && !d.stopping.Load() {
		if err := d.register(); err != nil {
			d.noteStoreState(false, err)
			d.sleep(jitter(storeRetryDelay))
			continue
		}
		if d.membership.isStoreLost() {
			// A daemon that follows a relay makes no other calls by which it would find out.
			d.noteStoreState(true, nil)
		}
		d.sleepOrWake(renewInterval, d.registration.wake)
	}
}

func (d *Daemon) register() error {
	d.registration.mu.Lock()
	lease, deleted := d.registration.lease, d.registration.deleted
	d.registration.mu.Unlock()
	if lease != "" && !deleted {
		err := d.Store.Renew(d.ctx, lease)
		if !errors.Is(err, daisygap.ErrLeaseExpired) {
			return err
		}
		metrics.GetOrCreateCounter(`daisygap_lapses_total`).Inc()
		d.Log.Event("lease lapsed", daisygap.Fields{"lease": lease})
		d.forgetLease()
		lease = ""
	}
	err := d.writeEntry(lease)
	if lease != "" && errors.Is(err, daisygap.ErrLeaseExpired) {
		return d.writeEntry("")
	}
	return err
}

// forgetLease makes the next registration request a new lease.
func (d *Daemon) forgetLease() {
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	d.registration.lease = ""
}

// writeEntry writes the daemon's entry under the given lease, or under a new one if lease is empty. A lease that is still
// valid is reused when only the entry was deleted.
func (d *Daemon) writeEntry(lease string) error {
	key := d.StoreSchema.PeerKey(d.Settings.Host)
	if lease == "" {
		var err error
		if lease, err = d.Store.Grant(d.ctx, leaseDuration); err != nil {
			return err
		}
		d.registration.mu.Lock()
		d.registration.lease = lease
		d.registration.mu.Unlock()
	}
	value, err := encodePeer(*d.membership.self().Peer)
	if err != nil {
		return err
	}
	_, err = d.Store.Swap(d.ctx, key, value, d.revisionOf(key), lease)
	if errors.Is(err, daisygap.ErrConflict) {
		current, err := d.Store.Get(d.ctx, key)
		if err != nil {
			return err
		}
		if _, err := d.Store.Swap(d.ctx, key, value, current.Revision, lease); err != nil {
			return err
		}
	}
	switch {
	case errors.Is(err, daisygap.ErrLeaseExpired):
		d.forgetLease()
	case err == nil || errors.Is(err, daisygap.ErrConflict):
		d.registration.mu.Lock()
		d.registration.deleted = false
		d.registration.mu.Unlock()
		return nil
	}
	return err
}

// revisionOf returns the revision of a key in the replica, or 0.
func (d *Daemon) revisionOf(key string) daisygap.StoreRevision {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	return d.replica.mirror.Entry(key).Revision
}

// noteEntryDeleted triggers a new registration when the deleted key is the daemon's own.
func (d *Daemon) noteEntryDeleted(key string) {
	if key != d.StoreSchema.PeerKey(d.Settings.Host) {
		return
	}
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	d.registration.deleted = true
	select {
	case d.registration.wake <- struct{}{}:
	default:
	}
}

// revokeLease revokes the lease of the daemon's entry, which deletes the entry.
func (d *Daemon) revokeLease() {
	d.registration.mu.Lock()
	lease := d.registration.lease
	d.registration.mu.Unlock()
	if lease == "" {
		return
	}
	if err := d.Store.Revoke(d.ctx, lease); err != nil {
		d.Log.Event("lease not revoked", daisygap.Fields{"error": err.Error()})
	}
}
