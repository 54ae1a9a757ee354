package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/daisygap/daisygap"
)

// maxCommitAttempts bounds how often a write whose response was lost is checked and repeated under the same patch ID.
const maxCommitAttempts = 6

// Commit commits a patch as the next version and returns its number. A patch ID is committed once: a repeated call returns
// the same version. The error is a StaleError, a FieldError, ErrStoreUnreachable or ErrOutcomeUnknown.
func (d *Daemon) Commit(ctx context.Context, base uint64, p daisygap.Patch) (uint64, error) {
	if done, ok := d.versions.byID(p.ID); ok {
		return done.Version, nil
	}
	if err := d.catchUp(ctx); err != nil {
		return 0, daisygap.WrapError("commit", "", errors.Join(daisygap.ErrStoreUnreachable, err))
	}
	if done, ok := d.versions.byID(p.ID); ok {
		return done.Version, nil
	}
	snapshot := d.snapshot.Load()
	if base != snapshot.Version {
		return 0, d.staleError(base)
	}
	p.Version = base + 1
	p.Time = d.Clock.Wall()
	if _, err := snapshot.Apply(p); err != nil {
		return 0, err
	}
	value, err := json.Marshal(p)
	if err != nil {
		return 0, err
	}
	return d.writeVersion(ctx, p, value)
}

// writeVersion creates the key of the new version. If the response is lost, the value under the key shows which patch
// was committed.
func (d *Daemon) writeVersion(ctx context.Context, p daisygap.Patch, value []byte) (uint64, error) {
	key := versionKey(p.Version)
	for range maxCommitAttempts {
		_, err := d.Store.Swap(ctx, key, value, 0, "")
		if err == nil {
			return d.applyCommitted(p)
		}
		held, getErr := d.Store.Get(ctx, key)
		if getErr == nil && held.Revision > 0 {
			var winner daisygap.Patch
			if json.Unmarshal(held.Value, &winner) == nil && winner.ID == p.ID && bytes.Equal(winner.Merge, p.Merge) {
				return d.applyCommitted(winner)
			}
			if err := d.catchUp(ctx); err != nil {
				d.Log.With("config").Debugf("cannot read newer versions from the store: %v", err)
			}
			return 0, d.staleError(p.Version - 1)
		}
		if !d.pause(d.withJitter(storeRetryInterval)) || ctx.Err() != nil {
			break
		}
	}
	return 0, daisygap.ErrOutcomeUnknown
}

func (d *Daemon) applyCommitted(p daisygap.Patch) (uint64, error) {
	d.broadcastPatches(d.applyPatches([]daisygap.Patch{p}))
	return p.Version, nil
}

func (d *Daemon) staleError(base uint64) error {
	current := d.Version()
	since, _ := d.versions.since(base, current)
	return &daisygap.StaleError{Base: base, Current: current, PatchesSince: since}
}
