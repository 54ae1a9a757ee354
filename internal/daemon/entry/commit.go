package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/daisygap/daisygap"
)

// settleTries bounds how often a write without an answer is looked up or sent again under its patch ID.
const settleTries = 6

// Commit makes a patch the next version, once for its ID; the error is a Stale, a FieldError, ErrNoStore or ErrOutcomeUnknown.
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
	state := d.state.Load()
	if base != state.Version {
		return 0, d.stale(base)
	}
	p.Version = base + 1
	p.Time = d.Clock.Wall()
	if _, err := state.Apply(p); err != nil {
		return 0, err
	}
	value, err := json.Marshal(p)
	if err != nil {
		return 0, err
	}
	return d.settle(ctx, p, value)
}

// settle creates the key of the new version; when an answer is lost, the key itself tells who won.
func (d *Daemon) settle(ctx context.Context, p daisygap.Patch, value []byte) (uint64, error) {
	key := versionKey(p.Version)
	for range settleTries {
		_, err := d.Store.Swap(ctx, key, value, 0, "")
		if err == nil {
			return d.committed(p)
		}
		held, getErr := d.Store.Get(ctx, key)
		if getErr == nil && held.Revision > 0 {
			var winner daisygap.Patch
			if json.Unmarshal(held.Value, &winner) == nil && winner.ID == p.ID && bytes.Equal(winner.Merge, p.Merge) {
				return d.committed(winner)
			}
			if err := d.catchUp(ctx); err != nil {
				d.Log.With("config").Debugf("catch-up failed: %v", err)
			}
			return 0, d.stale(p.Version - 1)
		}
		if !d.pause(d.jitter(retryMillis)) || ctx.Err() != nil {
			break
		}
	}
	return 0, daisygap.ErrOutcomeUnknown
}

func (d *Daemon) committed(p daisygap.Patch) (uint64, error) {
	d.spreadPatches(d.applyPatches([]daisygap.Patch{p}))
	return p.Version, nil
}

func (d *Daemon) stale(base uint64) error {
	current := d.Version()
	since, _ := d.versions.since(base, current)
	return &daisygap.StaleError{Base: base, Current: current, PatchesSince: since}
}
