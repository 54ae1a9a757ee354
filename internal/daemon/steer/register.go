package steer

import (
	"context"
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

const (
	// leaseDuration is the length of the lease of a daemon's entry, and renewSpan the time between two renewals; others learn of a death by gossip.
	leaseDuration = daisygap.Millis(40_000)
	renewInterval = daisygap.Millis(12_000)
)

// registration is the daemon's own entry in the store.
type registration struct {
	mu    sync.Mutex
	lease string
	// deleted tells that the entry ended though the lease seemed to live; ended wakes the registration then.
	deleted bool
	wake    chan struct{}
	// cancelWatch ends the watch that is waiting.
	cancelWatch    context.CancelFunc
	storeReachable bool
}

// runRegister keeps the daemon's own entry, by which others find it.
func (d *Daemon) runRegister() {
	for d.ctx.Err() == nil && !d.stopping.Load() {
		if err := d.register(); err != nil {
			d.noteStoreState(false, err)
			d.sleep(jitter(storeRetryDelay))
			continue
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
	}
	return d.writeEntry(lease)
}

// forgetLease makes the next registration take a new lease.
func (d *Daemon) forgetLease() {
	d.registration.mu.Lock()
	defer d.registration.mu.Unlock()
	d.registration.lease = ""
}

// writeEntry puts the daemon's entry under a lease; an earlier lease that still lives is used again.
func (d *Daemon) writeEntry(lease string) error {
	key := d.Catalogue.PeerKey(d.Settings.Host)
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

// revisionOf returns the revision of a key in the copy, or 0.
func (d *Daemon) revisionOf(key string) uint64 {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	return d.replica.mirror.Entry(key).Revision
}

// noteEntryDeleted has the own entry written again when it was taken away.
func (d *Daemon) noteEntryDeleted(key string) {
	if key != d.Catalogue.PeerKey(d.Settings.Host) {
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

// revokeLease ends the daemon's entry.
func (d *Daemon) revokeLease() {
	d.registration.mu.Lock()
	lease := d.registration.lease
	d.registration.mu.Unlock()
	if lease == "" {
		return
	}
	if err := d.Store.Revoke(d.ctx, lease); err != nil {
		d.Log.Event("lease kept", daisygap.Fields{"error": err.Error()})
	}
}
