package steer

import (
	"encoding/json"
	"errors"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// hintInterval is the time between two looks whether the region's placement hint has to be written. Each write costs a call to
// the store and wakes every watch.
const hintInterval = daisygap.Millis(10_000)

// runHints keeps the region's placement hint in the store. Only the region's first relay writes it.
func (d *Daemon) runHints() {
	var written daisygap.PlacementHint
	for d.sleep(jitter(hintInterval)) {
		if d.stopping.Load() || !d.isFirstRelay() {
			continue
		}
		hint := d.fleet.Hint()
		if !placement.HintChanged(written, hint) {
			continue
		}
		if err := d.writeHint(hint); err != nil {
			d.Log.Event("hint not written", daisygap.Fields{"error": err.Error()})
			continue
		}
		written = hint
	}
}

// isFirstRelay reports whether this daemon is the first relay of its region.
func (d *Daemon) isFirstRelay() bool {
	m := &d.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	return relaysAmong(m.relayCandidates(d.Clock.Now()))[0].Name == m.roster.Self.Peer.Name
}

// writeHint replaces the region's hint. Another daemon's write since the last update is no error: its hint is as good.
func (d *Daemon) writeHint(hint daisygap.PlacementHint) error {
	value, err := json.Marshal(hint)
	if err != nil {
		return err
	}
	key := d.StoreSchema.HintKey(d.Settings.Region)
	_, err = d.Store.Swap(d.ctx, key, value, d.revisionOf(key), "")
	if errors.Is(err, daisygap.ErrConflict) {
		return nil
	}
	return err
}
