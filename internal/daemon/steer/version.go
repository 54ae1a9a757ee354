package steer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/lastgood"
)

const (
	// maxVersionWait is how long a daemon that starts holds its first configuration back, while it asks others for a newer version. The
	// first round of gossip takes some milliseconds, and 100 ms between regions.
	maxVersionWait = daisygap.Millis(1_000)
	// startContacts is the number of daemons that a starting daemon asks.
	startContacts = 4
	// versionLag is how long a daemon uses an older version than another one before it fetches the newer one from there. The store and the
	// relays usually bring it sooner.
	versionLag = daisygap.Millis(1_000)
	// versionCheckInterval is the time between two comparisons with the versions of other daemons, and versionFetchTimeout bounds a fetch.
	versionCheckInterval = daisygap.Millis(100)
	versionFetchTimeout  = daisygap.Millis(500)
)

var fetchedVersions = metrics.NewCounter(`daisygap_fetched_configurations_total`)

// versions tracks the configuration versions of other daemons. The store may hold an older one than daemons have used, if it was restored
// from a copy.
type versions struct {
	mu sync.Mutex
	// heard is the newest version in another daemon's heartbeat, and behindSince when it was first newer than the own one, or 0.
	heard       uint64
	behindSince daisygap.Millis
	// heldSince is when the first configuration was held back, or 0. asking and asked are set when other daemons are asked for theirs and when
	// all have answered or failed, and released when one has been put in force.
	heldSince daisygap.Millis
	asking    bool
	asked     bool
	released  bool
}

// configVersion returns the version of the configuration in force, or 0.
func (d *Daemon) configVersion() uint64 {
	if s := d.snapshot.Load(); s != nil {
		return s.config.Version
	}
	return 0
}

// noteVersions records the newest configuration version in another daemon's heartbeats.
func (d *Daemon) noteVersions(heartbeats []daisygap.GossipHeartbeat) {
	d.versions.mu.Lock()
	defer d.versions.mu.Unlock()
	for _, h := range heartbeats {
		if h.Name != d.Settings.Host {
			d.versions.heard = max(d.versions.heard, h.ConfigVersion)
		}
	}
}

// acceptConfiguration merges a configuration with the one in force and replaces that; the caller holds the replica's lock.
func (d *Daemon) acceptConfiguration(e daisygap.StoreEntry, c *daisygap.SteeringConfig) *daisygap.SteeringConfig {
	r := &d.replica
	if r.config != nil && r.config.Version == c.Version && bytes.Equal(r.configEntry.Value, e.Value) {
		return r.config
	}
	r.config, r.configEntry = lastgood.Merge(c, r.config), e
	for _, row := range r.config.Dropped {
		metrics.GetOrCreateCounter(`daisygap_dropped_rows_total{table="` + row.Table + `"}`).Inc()
		d.event("row dropped", "row dropped", func() daisygap.Fields {
			f := daisygap.Fields{"version": c.Version, "table": row.Table, "reason": row.Reason, "kept": row.Kept}
			if row.Kept || row.Table != daisygap.TableCustomers {
				// The name of a customer that isn't known may be a key in the wrong column.
				f["name"] = row.Name
			}
			return f
		})
	}
	return r.config
}

// holdsBack reports whether a starting daemon waits for a newer version than its first one; the caller holds the replica's lock. Without
// customers it waits only if a heartbeat contained one.
func (d *Daemon) holdsBack(c *daisygap.SteeringConfig, now daisygap.Millis) bool {
	v := &d.versions
	contacts := d.hasContacts()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.released {
		return false
	}
	if v.heldSince == 0 {
		v.heldSince = max(now, 1)
	}
	if now-v.heldSince < maxVersionWait && (v.heard > c.Version || c.NeedsKeys && contacts && !v.asked) {
		return true
	}
	v.released = true
	return false
}

// hasContacts reports whether the store, the settings or the gossip name other daemons, alive or not.
func (d *Daemon) hasContacts() bool {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	for name := range d.membership.roster.StorePeers() {
		if name != d.Settings.Host {
			return true
		}
	}
	return len(d.Settings.Peers) > 0 || len(d.membership.roster.Known()) > 0
}

// runVersions fetches the configuration of other daemons if it is newer, and puts a first configuration in force that was held back.
func (d *Daemon) runVersions() {
	for d.sleep(versionCheckInterval) {
		now := d.Clock.Now()
		if d.beginAsking() {
			d.loops.Go(d.askVersions)
		}
		if d.isBehind(now) {
			d.fetchConfiguration()
		}
		d.release(now)
	}
}

// beginAsking reports whether the first configuration is held back and no other daemon has been asked yet.
func (d *Daemon) beginAsking() bool {
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heldSince == 0 || v.released || v.asking {
		return false
	}
	v.asking = true
	return true
}

// startTargets picks up to startContacts daemons at random, alive or not.
func (d *Daemon) startTargets() []string {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	own := d.membership.roster.Self.Peer.Address
	targets := slices.Clone(d.Settings.Peers)
	for _, h := range d.membership.roster.Known() {
		targets = append(targets, h.Peer.Address)
	}
	for _, p := range d.membership.roster.StorePeers() {
		targets = append(targets, p.Address)
	}
	slices.Sort(targets)
	targets = slices.DeleteFunc(slices.Compact(targets), func(a string) bool { return a == own })
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), startContacts)]
}

// release puts a configuration in force that is no longer held back.
func (d *Daemon) release(now daisygap.Millis) {
	if d.snapshot.Load() != nil {
		return
	}
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	d.rebuild(now)
}

// askVersions exchanges heartbeats with a few daemons at once, and notes when all have answered or failed.
func (d *Daemon) askVersions() {
	var group sync.WaitGroup
	for _, address := range d.startTargets() {
		group.Go(func() { d.exchangeGossip(address) })
	}
	group.Wait()
	d.versions.mu.Lock()
	defer d.versions.mu.Unlock()
	d.versions.asked = true
}

// isBehind reports whether another daemon uses a newer version, and has for longer than versionLag if this one has started.
func (d *Daemon) isBehind(now daisygap.Millis) bool {
	own := d.configVersion()
	v := &d.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heard <= own {
		v.behindSince = 0
		return false
	}
	if v.behindSince == 0 {
		v.behindSince = max(now, 1)
	}
	if own == 0 {
		return v.heldSince > 0
	}
	if now-v.behindSince < versionLag {
		return false
	}
	v.behindSince = now
	return true
}

// fetchConfiguration fetches the configuration in force at a live daemon that has a newer one.
func (d *Daemon) fetchConfiguration() {
	own := d.configVersion()
	now := d.Clock.Now()
	var ahead []daisygap.GossipHeartbeat
	d.membership.mu.Lock()
	for _, h := range d.membership.roster.Alive(now) {
		if h.ConfigVersion > own {
			ahead = append(ahead, h)
		}
	}
	d.membership.mu.Unlock()
	if len(ahead) == 0 {
		return
	}
	address := ahead[rand.IntN(len(ahead))].Peer.Address
	ctx, cancel := context.WithTimeout(d.ctx, versionFetchTimeout.Duration())
	defer cancel()
	u, err := d.Peers.Mirror(ctx, address, daisygap.MirrorQuery{InForce: true})
	if err != nil {
		d.event("configuration not fetched", "configuration not fetched", func() daisygap.Fields {
			return daisygap.Fields{"peer": address, "error": err.Error()}
		})
		return
	}
	d.applyFetched(u.Entries, address)
}

// applyFetched puts the configuration among the entries of another daemon in force, if it is newer.
func (d *Daemon) applyFetched(entries []daisygap.StoreEntry, address string) {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	for _, e := range entries {
		decoded, err := d.StoreSchema.Decode(e)
		if err != nil || decoded.Steering == nil || d.outdated(decoded) {
			continue
		}
		if c := d.replica.config; c != nil && c.Version == decoded.Steering.Version {
			continue
		}
		fetchedVersions.Inc()
		d.applyEntry(e, address)
		d.rebuild(d.Clock.Now())
	}
}

// entryInForce returns the entry of the configuration in force, which the store may have lost.
func (d *Daemon) entryInForce() daisygap.StoreUpdate {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	if d.replica.config == nil {
		return daisygap.StoreUpdate{}
	}
	return daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{d.replica.configEntry}}
}
