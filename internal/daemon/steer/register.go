package steer

import (
	"context"
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

const (
	// leaseSpan is the length of the lease of a daemon's entry, and renewSpan the time between two renewals; others learn of a death by gossip.
	leaseSpan = daisygap.Millis(40_000)
	renewSpan = daisygap.Millis(12_000)
)

// registration is the daemon's own entry in the store.
type registration struct {
	mu   sync.Mutex
	name string
	// lost tells that the entry ended though the lease seemed to live; ended wakes the registration then.
	lost  bool
	ended chan struct{}
	// restart ends the watch that is waiting.
	restart context.CancelFunc
	reached bool
}

// runRegister keeps the daemon's own entry, by which others find it.
func (d *Daemon) runRegister() {
	for d.ctx.Err() == nil && !d.stopping.Load() {
		if err := d.register(); err != nil {
			d.noteStore(false, err)
			d.pause(jitter(retrySpan))
			continue
		}
		d.pauseUntil(renewSpan, d.lease.ended)
	}
}

func (d *Daemon) register() error {
	d.lease.mu.Lock()
	name, lost := d.lease.name, d.lease.lost
	d.lease.mu.Unlock()
	if name != "" && !lost {
		err := d.Store.Renew(d.ctx, name)
		if !errors.Is(err, daisygap.ErrLeaseExpired) {
			return err
		}
		metrics.GetOrCreateCounter(`daisygap_lapses_total`).Inc()
		d.Log.Event("lease lapsed", daisygap.Fields{"lease": name})
		d.forgetLease()
	}
	return d.writeEntry(name)
}

// forgetLease makes the next registration take a new lease.
func (d *Daemon) forgetLease() {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	d.lease.name = ""
}

// writeEntry puts the daemon's entry under a lease; an earlier lease that still lives is used again.
func (d *Daemon) writeEntry(lease string) error {
	key := d.Catalogue.PeerKey(d.Settings.Host)
	if lease == "" {
		var err error
		if lease, err = d.Store.Grant(d.ctx, leaseSpan); err != nil {
			return err
		}
		d.lease.mu.Lock()
		d.lease.name = lease
		d.lease.mu.Unlock()
	}
	value, err := encodePeer(*d.members.self().Peer)
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
		d.lease.mu.Lock()
		d.lease.lost = false
		d.lease.mu.Unlock()
		return nil
	}
	return err
}

// revisionOf returns the revision of a key in the copy, or 0.
func (d *Daemon) revisionOf(key string) uint64 {
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	return d.copy.mirror.Entry(key).Revision
}

// notePeerEnded has the own entry written again when it was taken away.
func (d *Daemon) notePeerEnded(key string) {
	if key != d.Catalogue.PeerKey(d.Settings.Host) {
		return
	}
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	d.lease.lost = true
	select {
	case d.lease.ended <- struct{}{}:
	default:
	}
}

// endLease ends the daemon's entry.
func (d *Daemon) endLease() {
	d.lease.mu.Lock()
	name := d.lease.name
	d.lease.mu.Unlock()
	if name == "" {
		return
	}
	if err := d.Store.Revoke(d.ctx, name); err != nil {
		d.Log.Event("lease kept", daisygap.Fields{"error": err.Error()})
	}
}
