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
	// Limits of the recent patches that a daemon keeps to send deltas to others.
	maxRecent      = 1024
	maxRecentBytes = 2 << 20
	// maxDeltaBytes bounds the patches in one delta; the rest follow in the next exchange.
	maxDeltaBytes      = 1 << 20
	storeRetryInterval = daisygap.Millis(500)
	// The backoff between attempts to load the first version starts at minStartRetry and doubles up to maxStartRetry.
	minStartRetry = daisygap.Millis(50)
	maxStartRetry = daisygap.Millis(2_000)
)

func versionKey(version uint64) string {
	return fmt.Sprintf("%s%012d", versionPrefix, version)
}

func partKey(slot, part int) string {
	return fmt.Sprintf("config/part/%d/%04d", slot, part)
}

// manifest describes the newest snapshot in the store. Snapshots are written to two slots in turn, so that one of them
// is always complete.
type manifest struct {
	Version uint64 `json:"version"`
	Parts   int    `json:"parts"`
	Slot    int    `json:"slot"`
}

// versions keeps the recent patches. Its lock serializes changes of the daemon's configuration.
type versions struct {
	mu          sync.Mutex
	recent      []daisygap.Patch
	recentBytes int
	// snapshotParts is the encoded snapshot of snapshotVersion, cached while other daemons fetch it.
	snapshotParts   [][]byte
	snapshotVersion uint64
	snapshotUsedAt  daisygap.Millis
}

// applyPatches applies the patches that directly follow the current version, and returns those that were applied.
func (d *Daemon) applyPatches(patches []daisygap.Patch) []daisygap.Patch {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	before := d.snapshot.Load()
	snapshot := before
	var applied []daisygap.Patch
	for _, p := range patches {
		if p.Version != snapshot.Version+1 {
			continue
		}
		next, err := snapshot.Apply(p)
		if err != nil {
			d.Log.With("config").Warnf("cannot apply configuration version %d: %v", p.Version, err)
			break
		}
		snapshot = next
		v.appendRecent(p)
		applied = append(applied, p)
	}
	if len(applied) > 0 {
		d.snapshot.Store(snapshot)
		d.Log.With("config").Debugf("applied configuration version %d", snapshot.Version)
		d.updateDerived(before, snapshot)
	}
	return applied
}

// updateDerived updates what is computed from the configuration. If only client blocks changed, the look-up table is
// patched and no replan is needed.
func (d *Daemon) updateDerived(before, snapshot *configuration.Snapshot) {
	table := d.table.Load()
	if table == nil || !snapshot.EqualExceptBlocks(before) {
		d.replan()
		return
	}
	d.table.Store(table.WithSnapshot(snapshot))
}

// adopt makes a decoded snapshot the current configuration, unless the current version is the same or newer.
func (d *Daemon) adopt(snapshot *configuration.Snapshot) {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot.Version <= d.snapshot.Load().Version {
		return
	}
	v.recent, v.recentBytes = nil, 0
	d.snapshot.Store(snapshot)
	d.Log.With("config").Infof("loaded configuration version %d from a snapshot", snapshot.Version)
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

// since returns the patches after a version. It reports tooOld if the recent patches don't reach back to that version;
// then a snapshot has to be fetched. A list larger than maxDeltaBytes is cut short.
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

// byID returns the committed patch with an ID if it is among the recent ones.
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

// startConfiguration loads the first version. It asks other daemons before the store, to save store reads.
func (d *Daemon) startConfiguration() {
	delay := minStartRetry
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
			d.Log.With("config").Debugf("cannot load configuration from the store: %v", err)
		}
		if d.Version() > 0 || !d.pause(d.withJitter(delay)) {
			return
		}
		delay = min(2*delay, maxStartRetry)
	}
}

// catchUp applies the versions in the store that are newer than the current one.
func (d *Daemon) catchUp(ctx context.Context) error {
	_, err := d.readVersions(ctx)
	return err
}

// readVersions applies the versions in the store that are newer than the current one, and returns the store's revision.
func (d *Daemon) readVersions(ctx context.Context) (daisygap.StoreRevision, error) {
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
		return daisygap.WrapError("read snapshot", snapshotKey, fmt.Errorf("no valid snapshot manifest"))
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

// writeSnapshot stores the current version in the unused slot, and deletes the versions up to the previous snapshot.
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
	d.Log.With("config").Infof("stored configuration snapshot %d in %d parts", next.Version, next.Parts)
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

// trimVersions deletes the versions up to the given one. It pauses between deletions to leave store writes to others.
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

// runWatch watches the store for new versions while this daemon holds its domain's store lease.
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
			d.Log.With("config").Debugf("watch on configuration versions ended: %v", err)
			d.pause(d.withJitter(2 * storeRetryInterval))
		}
	}
}

func (d *Daemon) watch(revision daisygap.StoreRevision) error {
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
			return fmt.Errorf("gap in watched versions: got %d, want %d", patches[0].Version, d.Version()+1)
		}
		revision = max(revision, batch.Revision)
		d.maybeSnapshot(before, d.Version())
	}
	return nil
}

// maybeSnapshot writes a snapshot when the version passed a multiple of SnapshotInterval. The domains take turns, so that
// one domain writes each snapshot.
func (d *Daemon) maybeSnapshot(before, after uint64) {
	turn := after / configuration.SnapshotInterval
	if turn == before/configuration.SnapshotInterval {
		return
	}
	if int(turn)%max(len(d.config().Domains), 1) != d.domainIndex() {
		return
	}
	if err := d.writeSnapshot(d.ctx); err != nil {
		d.Log.With("config").Warnf("cannot store configuration snapshot: %v", err)
	}
}

// domainIndex returns the index of the local domain among all domains in order of their names.
func (d *Daemon) domainIndex() int {
	index := 0
	for name := range d.config().Domains {
		if name < d.Settings.Domain {
			index++
		}
	}
	return index
}

// snapshotPart returns one part of a snapshot for another daemon. If the given version isn't cached, it encodes the
// current one.
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
		return daisygap.SnapshotPart{}, fmt.Errorf("snapshot part %d out of range, have %d", n, len(v.snapshotParts))
	}
	return daisygap.SnapshotPart{Version: v.snapshotVersion, Count: len(v.snapshotParts), Data: v.snapshotParts[n]}, nil
}

// dropIdleSnapshot frees the encoded snapshot when no daemon has fetched it for snapshotIdleTimeout.
func (d *Daemon) dropIdleSnapshot() {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Clock.Now()-v.snapshotUsedAt > snapshotIdleTimeout {
		v.snapshotParts = nil
	}
}

const snapshotIdleTimeout = daisygap.Millis(20_000)

// fetchSnapshot fetches a snapshot from another daemon and adopts it.
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
			return fmt.Errorf("snapshot changed from version %d to %d during the transfer", first.Version, p.Version)
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
