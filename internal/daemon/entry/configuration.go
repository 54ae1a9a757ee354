package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

const (
	versionPrefix = "config/v/"
	snapshotKey   = "config/snapshot"
	// History that a daemon keeps to send deltas to others.
	maxRecent      = 1024
	maxRecentBytes = 2 << 20
	// Deltas larger than this are fetched as a snapshot.
	maxDeltaBytes      = 1 << 20
	storeRetryInterval = daisygap.Millis(500)
	minStartRetry      = daisygap.Millis(50)
	maxStartRetry      = daisygap.Millis(2_000)
)

func versionKey(version uint64) string {
	return fmt.Sprintf("%s%012d", versionPrefix, version)
}

func partKey(slot, part int) string {
	return fmt.Sprintf("config/part/%d/%04d", slot, part)
}

// manifest names the newest snapshot in the store; two slots take turns, so that one is always whole.
type manifest struct {
	Version uint64 `json:"version"`
	Parts   int    `json:"parts"`
	Slot    int    `json:"slot"`
}

// versions keeps the recent patches and orders the changes of the state.
type versions struct {
	mu          sync.Mutex
	recent      []daisygap.Patch
	recentBytes int
	// snapshotParts is the encoded snapshot of version partOf, kept while others fetch it.
	snapshotParts   [][]byte
	snapshotVersion uint64
	snapshotUsedAt  daisygap.Millis
}

// applyPatches moves the state forward over the patches that follow it, and returns those that were new here.
func (d *Daemon) applyPatches(patches []daisygap.Patch) []daisygap.Patch {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	before := d.snapshot.Load()
	snapshot := before
	var fresh []daisygap.Patch
	for _, p := range patches {
		if p.Version != snapshot.Version+1 {
			continue
		}
		next, err := snapshot.Apply(p)
		if err != nil {
			d.Log.With("config").Warnf("version %d can't be applied: %v", p.Version, err)
			break
		}
		snapshot = next
		v.appendRecent(p)
		fresh = append(fresh, p)
	}
	if len(fresh) > 0 {
		d.snapshot.Store(snapshot)
		d.Log.With("config").Debugf("version %d is in force", snapshot.Version)
		d.updateDerived(before, snapshot)
	}
	return fresh
}

// updateDerived brings what is derived from the configuration up to date; a change of client blocks alone needs no new plan.
func (d *Daemon) updateDerived(before, snapshot *configuration.Snapshot) {
	table := d.table.Load()
	if table == nil || !snapshot.EqualExceptBlocks(before) {
		d.replan()
		return
	}
	d.table.Store(table.WithSnapshot(snapshot))
}

// adopt takes in a whole version from a snapshot; a lower one than the own is ignored.
func (d *Daemon) adopt(snapshot *configuration.Snapshot) {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot.Version <= d.snapshot.Load().Version {
		return
	}
	v.recent, v.recentBytes = nil, 0
	d.snapshot.Store(snapshot)
	d.Log.With("config").Infof("version %d is in force, from a snapshot", snapshot.Version)
	d.replan()
}

func (v *versions) appendRecent(p daisygap.Patch) {
	v.recent = append(v.recent, p)
	v.recentBytes += len(p.Merge)
	for len(v.recent) > maxRecent || (v.recentBytes > maxRecentBytes && len(v.recent) > 1) {
		v.recentBytes -= len(v.recent[0].Merge)
		v.recent = v.recent[1:]
	}
}

// since returns the patches after a version; far tells that they no longer reach back so far, or are too many for one message.
func (v *versions) since(version, current uint64) (patches []daisygap.Patch, tooOld bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version >= current {
		return nil, false
	}
	if len(v.recent) == 0 || v.recent[0].Version > version+1 {
		return nil, true
	}
	size := 0
	for _, p := range v.recent {
		if p.Version <= version {
			continue
		}
		size += len(p.Merge)
		if size > maxDeltaBytes && len(patches) > 0 {
			break
		}
		patches = append(patches, p)
	}
	return patches, false
}

// byID returns the committed patch with an ID, if it is recent.
func (v *versions) byID(id string) (daisygap.Patch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.recent {
		if p.ID == id {
			return p, true
		}
	}
	return daisygap.Patch{}, false
}

// startConfiguration gets the first version: from other daemons, which spares the store, else from the store.
func (d *Daemon) startConfiguration() {
	span := minStartRetry
	for d.Version() == 0 {
		for _, address := range d.Settings.Peers {
			if address != d.Settings.PeerAddress {
				d.syncWith(address)
			}
			if d.Version() > 0 {
				return
			}
		}
		if err := d.catchUp(d.ctx); err != nil {
			d.Log.With("config").Debugf("the store gave no configuration: %v", err)
		}
		if d.Version() > 0 || !d.pause(d.withJitter(span)) {
			return
		}
		span = min(2*span, maxStartRetry)
	}
}

// catchUp reads from the store what is newer than the state here.
func (d *Daemon) catchUp(ctx context.Context) error {
	_, err := d.readVersions(ctx)
	return err
}

// readVersions applies the versions in the store after the own one and returns the store's revision.
func (d *Daemon) readVersions(ctx context.Context) (uint64, error) {
	for {
		batch, err := d.Store.List(ctx, versionPrefix, versionKey(d.Version()))
		if err != nil {
			return 0, err
		}
		patches, err := decodePatches(batch.Entries)
		if err != nil {
			return 0, err
		}
		if len(patches) > 0 && patches[0].Version > d.Version()+1 {
			if err := d.readSnapshot(ctx); err != nil {
				return 0, err
			}
			continue
		}
		d.broadcastPatches(d.applyPatches(patches))
		if !batch.More {
			return batch.Revision, nil
		}
	}
}

func decodePatches(entries []daisygap.StoreEntry) ([]daisygap.Patch, error) {
	var patches []daisygap.Patch
	for _, e := range entries {
		if e.Deleted {
			continue
		}
		var p daisygap.Patch
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return nil, daisygap.WrapError("read version", e.Key, err)
		}
		patches = append(patches, p)
	}
	return patches, nil
}

// readSnapshot adopts the snapshot in the store.
func (d *Daemon) readSnapshot(ctx context.Context) error {
	entry, err := d.Store.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var m manifest
	if entry.Revision == 0 || json.Unmarshal(entry.Value, &m) != nil {
		return daisygap.WrapError("read snapshot", snapshotKey, fmt.Errorf("the key holds no manifest"))
	}
	parts := make([][]byte, m.Parts)
	for i := range parts {
		e, err := d.Store.Get(ctx, partKey(m.Slot, i))
		if err != nil {
			return err
		}
		parts[i] = e.Value
	}
	snapshot, err := configuration.Decode(m.Version, parts)
	if err != nil {
		return daisygap.WrapError("read snapshot", snapshotKey, err)
	}
	d.adopt(snapshot)
	return nil
}

// writeSnapshot stores the current version in the slot that isn't in use, and trims the versions before the last one.
func (d *Daemon) writeSnapshot(ctx context.Context) error {
	snapshot := d.snapshot.Load()
	entry, err := d.Store.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var last manifest
	if entry.Revision > 0 {
		if err := json.Unmarshal(entry.Value, &last); err != nil {
			return err
		}
	}
	if last.Version >= snapshot.Version {
		return nil
	}
	parts := configuration.Encode(snapshot)
	next := manifest{Version: snapshot.Version, Parts: len(parts), Slot: 1 - last.Slot}
	for i, part := range parts {
		if err := d.overwrite(ctx, partKey(next.Slot, i), part); err != nil {
			return err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := d.Store.Swap(ctx, snapshotKey, value, entry.Revision, ""); err != nil {
		return err
	}
	d.Log.With("config").Infof("snapshot %d is stored in %d parts", next.Version, next.Parts)
	return d.trimVersions(ctx, last.Version)
}

func (d *Daemon) overwrite(ctx context.Context, key string, value []byte) error {
	e, err := d.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = d.Store.Swap(ctx, key, value, e.Revision, "")
	return err
}

// trimVersions deletes versions up to the snapshot before the last, slowly enough to leave the store's writes to others.
func (d *Daemon) trimVersions(ctx context.Context, upTo uint64) error {
	batch, err := d.Store.List(ctx, versionPrefix, "")
	if err != nil {
		return err
	}
	for _, e := range batch.Entries {
		if e.Key > versionKey(upTo) {
			return nil
		}
		if _, err := d.Store.Swap(ctx, e.Key, nil, e.Revision, ""); err != nil {
			return err
		}
		if !d.pause(trimInterval) {
			return nil
		}
	}
	return nil
}

const trimInterval = daisygap.Millis(50)

// runWatch follows the store's versions while this daemon holds its domain's lease.
func (d *Daemon) runWatch() {
	for d.ctx.Err() == nil {
		if !d.holdsStoreLease() {
			d.pause(d.withJitter(storeRetryInterval))
			continue
		}
		revision, err := d.readVersions(d.ctx)
		if err == nil {
			err = d.watch(revision)
		}
		if err != nil {
			d.Log.With("config").Debugf("the watch ended: %v", err)
			d.pause(d.withJitter(2 * storeRetryInterval))
		}
	}
}

func (d *Daemon) watch(revision uint64) error {
	for d.holdsStoreLease() {
		batch, err := d.Store.Watch(d.ctx, versionPrefix, revision, d.Timing.WatchTimeout)
		if err != nil {
			return err
		}
		patches, err := decodePatches(batch.Entries)
		if err != nil {
			return err
		}
		before := d.Version()
		d.broadcastPatches(d.applyPatches(patches))
		if len(patches) > 0 && patches[len(patches)-1].Version > d.Version() {
			return fmt.Errorf("version %d arrived before version %d", patches[0].Version, d.Version()+1)
		}
		revision = max(revision, batch.Revision)
		d.maybeSnapshot(before, d.Version())
	}
	return nil
}

// maybeSnapshot writes a snapshot when a multiple of SnapshotEvery was passed; the domains take turns.
func (d *Daemon) maybeSnapshot(before, after uint64) {
	turn := after / configuration.SnapshotInterval
	if turn == before/configuration.SnapshotInterval {
		return
	}
	if int(turn)%max(len(d.config().Domains), 1) != d.domainIndex() {
		return
	}
	if err := d.writeSnapshot(d.ctx); err != nil {
		d.Log.With("config").Warnf("the snapshot wasn't stored: %v", err)
	}
}

// domainIndex returns the place of the own domain among all, in order of names.
func (d *Daemon) domainIndex() int {
	place := 0
	for name := range d.config().Domains {
		if name < d.Settings.Domain {
			place++
		}
	}
	return place
}

// snapshotPart returns a piece of a snapshot of the current version for another daemon.
func (d *Daemon) snapshotPart(version uint64, n int) (daisygap.SnapshotPart, error) {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snapshotParts == nil || v.snapshotVersion != version {
		snapshot := d.snapshot.Load()
		v.snapshotParts, v.snapshotVersion = configuration.Encode(snapshot), snapshot.Version
	}
	v.snapshotUsedAt = d.Clock.Now()
	if n < 0 || n >= len(v.snapshotParts) {
		return daisygap.SnapshotPart{}, fmt.Errorf("part %d of %d", n, len(v.snapshotParts))
	}
	return daisygap.SnapshotPart{Version: v.snapshotVersion, Count: len(v.snapshotParts), Data: v.snapshotParts[n]}, nil
}

// dropIdleSnapshot frees the encoded snapshot when nobody fetches it any more.
func (d *Daemon) dropIdleSnapshot() {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Clock.Now()-v.snapshotUsedAt > snapshotIdleTimeout {
		v.snapshotParts = nil
	}
}

const snapshotIdleTimeout = daisygap.Millis(20_000)

// fetchSnapshot adopts a whole version from another daemon.
func (d *Daemon) fetchSnapshot(address string) error {
	first, err := d.Peers.SnapshotPart(d.ctx, address, 0, 0)
	if err != nil {
		return err
	}
	parts := [][]byte{first.Data}
	for i := 1; i < first.Count; i++ {
		p, err := d.Peers.SnapshotPart(d.ctx, address, first.Version, i)
		if err != nil {
			return err
		}
		if p.Version != first.Version {
			return fmt.Errorf("the snapshot changed from %d to %d", first.Version, p.Version)
		}
		parts = append(parts, p.Data)
	}
	snapshot, err := configuration.Decode(first.Version, parts)
	if err != nil {
		return daisygap.WrapError("read snapshot", address, err)
	}
	d.adopt(snapshot)
	return nil
}
