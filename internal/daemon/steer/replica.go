package steer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/customer"
	"github.com/daisygap/daisygap/internal/policy/mirror"
	"github.com/daisygap/daisygap/internal/policy/poison"
	"github.com/daisygap/daisygap/internal/policy/route"
)

const (
	// lapseGrace is how long an upstream's entry whose lease may have expired during a store outage stays in force. Live
	// upstreams register again within 2 s of the store's return, which daemons notice some tenths of a second late.
	lapseGrace = daisygap.Millis(1_800)
	// lapseWindow is how long after a store failure a deletion is treated as a possible lease expiry.
	lapseWindow = daisygap.Millis(4_000)
	// bulkLapseCount is the number of entries deleted in one update from which on an unnoticed store outage is assumed, and
	// bulkLapseGrace is how long they stay in force then. It is shorter than lapseGrace because the upstreams may really be
	// leaving, and a leaving upstream must get no new work after 2.5 s.
	bulkLapseCount     = 4
	bulkLapseGrace     = daisygap.Millis(1_200)
	lapseCheckInterval = daisygap.Millis(100)
	// evacuationGrace is how long an evacuation that the store has lost by a restore stays in force. The operator writes it again.
	evacuationGrace = daisygap.Millis(10_000)
	// reappearanceDelay is how long the entry of an upstream that had been removed isn't used if a restore brings it back. Upstreams
	// write their removal again as fast as their registration.
	reappearanceDelay = daisygap.Millis(4_000)
)

var (
	foreignEntries  = metrics.NewCounter(`daisygap_foreign_entries_total`)
	storeRestores   = metrics.NewCounter(`daisygap_store_restores_total`)
	outdatedEntries = metrics.NewCounter(`daisygap_outdated_entries_total`)
	versionGauge    atomicGauge
	revisionGauge   atomicGauge
	eraGauge        atomicGauge
)

// storeReplica is the daemon's replica of the store, with the decoded entries.
type storeReplica struct {
	mu      sync.Mutex
	mirror  mirror.Mirror
	decoded map[string]daisygap.DecodedEntry
	// config is the newest configuration and configEntry its entry. They stay when the store loses them.
	config      *daisygap.SteeringConfig
	configEntry daisygap.StoreEntry
	// newest holds, by upstream ID, the newest entry of the latest process.
	newest map[string]daisygap.Instance
	// lapsed holds the deleted keys whose entries stay in force, and until when.
	lapsed map[string]daisygap.Millis
	// reappeared holds the keys of removed upstreams that a restore of the store brought back, and until when they aren't used.
	reappeared map[string]daisygap.Millis
	// readAt holds the time at which a daemon first read the latest change of a key from the store, for recent changes.
	readAt map[string]daisygap.Millis
	// lastStoreFailure is when this daemon last failed to reach the store, and lastSourceFailure the same for the source of
	// the last update. Only the source's failures count for lapses: this daemon may be cut off while leases are renewed.
	lastStoreFailure  daisygap.Millis
	lastSourceFailure daisygap.Millis
	// advanced is closed when the revision increases or the store is lost.
	advanced chan struct{}
}

// wakeWaiting lets the queries that wait for changes look again; the caller holds the lock.
func (r *storeReplica) wakeWaiting() {
	if r.advanced != nil {
		close(r.advanced)
		r.advanced = nil
	}
}

func (r *storeReplica) noteStoreFailure(now daisygap.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastStoreFailure = now
	r.wakeWaiting()
}

// sourceStore is the source of updates that come from the store itself; other sources are daemons' addresses.
const sourceStore = "store"

// apply merges an update into the replica, puts it in force and returns the number of changed entries.
func (d *Daemon) apply(u daisygap.StoreUpdate, source string) int {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	now := d.Clock.Now()
	switch {
	case source == sourceStore:
		d.replica.lastSourceFailure = d.replica.lastStoreFailure
	case u.StoreErrorAge > 0:
		d.replica.lastSourceFailure = now - u.StoreErrorAge
	default:
		d.replica.lastSourceFailure = 0
	}
	d.dropImplausible(u.Entries)
	before := d.replica.mirror.Revision()
	changed := d.replica.mirror.Apply(u)
	revisionGauge.set(d.replica.mirror.Revision().InEra())
	eraGauge.set(d.replica.mirror.Revision().Era())
	if d.replica.mirror.Revision() > before {
		d.replica.wakeWaiting()
	}
	if len(changed) == 0 {
		return 0
	}
	restored := before > 0 && d.replica.mirror.Revision().Era() > before.Era()
	if restored {
		storeRestores.Inc()
		d.Log.Event("store restored", daisygap.Fields{"revision": d.replica.mirror.Revision(), "before": before, "from": source})
	}
	d.replica.recordReadTimes(changed, now)
	d.markLapses(changed, restored, now)
	for _, e := range changed {
		if restored && d.reappears(e) {
			d.replica.reappeared[e.Key] = now - e.Age + reappearanceDelay
			continue
		}
		d.applyEntry(e, source)
	}
	d.rebuild(now)
	return len(changed)
}

// dropImplausible removes the values of entries that no daemon can use, so that another writer's entries neither fill this daemon's
// memory nor make its updates too large for a message.
func (d *Daemon) dropImplausible(list []daisygap.StoreEntry) {
	for i, e := range list {
		if !e.Deleted && !d.StoreSchema.IsPlausible(e) {
			list[i].Value = nil
		}
	}
}

// recordReadTimes notes when the changes were first read from the store, and forgets old changes.
func (r *storeReplica) recordReadTimes(changed []daisygap.StoreEntry, now daisygap.Millis) {
	if r.readAt == nil {
		r.readAt = make(map[string]daisygap.Millis)
	}
	maps.DeleteFunc(r.readAt, func(_ string, at daisygap.Millis) bool { return now-at > lapseWindow })
	for _, e := range changed {
		r.readAt[e.Key] = now - e.Age
	}
}

// setAges sets how long ago each entry was first read from the store.
func (r *storeReplica) setAges(list []daisygap.StoreEntry, now daisygap.Millis) {
	for i := range list {
		list[i].Age = 0
		if at, recent := r.readAt[list[i].Key]; recent {
			list[i].Age = now - at
		}
	}
}

// applyEntry decodes a changed entry. An entry that can't be decoded is dropped, except that an invalid or deleted configuration leaves
// the previous one in force.
func (d *Daemon) applyEntry(e daisygap.StoreEntry, source string) {
	r := &d.replica
	if r.decoded == nil {
		r.decoded = make(map[string]daisygap.DecodedEntry)
		r.newest = make(map[string]daisygap.Instance)
		r.lapsed = make(map[string]daisygap.Millis)
		r.reappeared = make(map[string]daisygap.Millis)
	}
	delete(r.reappeared, e.Key)
	if e.Deleted {
		if _, lapsed := r.lapsed[e.Key]; !lapsed {
			d.noteProcessEnd(r.decoded[e.Key].Instance, poison.Removed)
			delete(r.decoded, e.Key)
			d.Log.Event("entry ended", daisygap.Fields{"key": e.Key, "revision": e.Revision, "from": source, "age_ms": e.Age})
		}
		d.noteEntryDeleted(e.Key)
		return
	}
	delete(r.lapsed, e.Key)
	decoded, err := d.StoreSchema.Decode(e)
	if err != nil {
		foreignEntries.Inc()
		d.event("foreign entry", "foreign entry", func() daisygap.Fields {
			return daisygap.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()}
		})
		delete(r.decoded, e.Key)
		return
	}
	if d.outdated(decoded) {
		outdatedEntries.Inc()
		d.event("outdated entry", "outdated entry", func() daisygap.Fields {
			f := daisygap.Fields{"key": e.Key, "revision": e.Revision, "from": source}
			if i := decoded.Instance; i != nil {
				f["run"], f["sequence"] = i.StartTime, i.Sequence
			} else {
				f["version"] = decoded.Steering.Version
			}
			return f
		})
		return
	}
	if decoded.Steering != nil {
		decoded.Steering = d.acceptConfiguration(e, decoded.Steering)
	}
	if decoded.Peer != nil {
		d.addContact(*decoded.Peer)
	}
	if i := decoded.Instance; i != nil {
		d.noteReplacedProcesses(e.Key, *i)
	}
	if i := decoded.Instance; i != nil && i.Draining && (r.decoded[e.Key].Instance == nil || !r.decoded[e.Key].Instance.Draining) {
		departuresByStore.Inc()
	}
	r.decoded[e.Key] = decoded
	d.logDecoded(e, decoded, source)
}

// reappears reports whether a restore of the store has brought back the entry of an upstream that was removed before.
func (d *Daemon) reappears(e daisygap.StoreEntry) bool {
	if e.Deleted || d.replica.decoded[e.Key].Instance != nil {
		return false
	}
	decoded, err := d.StoreSchema.Decode(e)
	if err != nil || decoded.Instance == nil {
		return false
	}
	last, known := d.replica.newest[decoded.Instance.ID]
	return known && last.StartTime == decoded.Instance.StartTime && decoded.Instance.Sequence <= last.Sequence
}

// noteProcessEnd records that the store shows the end of a process that hadn't announced its departure.
func (d *Daemon) noteProcessEnd(i *daisygap.Instance, evidence poison.Evidence) {
	if i != nil && !i.Draining {
		d.recordEnd(daisygap.Process{ID: i.ID, StartTime: i.StartTime}, evidence, d.Clock.Now())
	}
}

// noteReplacedProcesses records the end of the processes that had the ID or the address of a process that is new.
func (d *Daemon) noteReplacedProcesses(key string, i daisygap.Instance) {
	old := d.replica.decoded[key].Instance
	if old != nil && old.StartTime == i.StartTime && old.Address == i.Address {
		return
	}
	for _, x := range d.replica.decoded {
		if o := x.Instance; o != nil && (o == old && o.StartTime != i.StartTime || o.Address == i.Address && o.ID != i.ID) {
			d.noteProcessEnd(o, poison.Replaced)
		}
	}
}

// outdated reports whether a configuration has a lower version than the one in force, or an upstream's entry is older than one already
// seen, by process start time and then by sequence.
func (d *Daemon) outdated(decoded daisygap.DecodedEntry) bool {
	if s := decoded.Steering; s != nil {
		old := d.replica.config
		return old != nil && s.Version < old.Version
	}
	if decoded.Instance == nil {
		return false
	}
	i := *decoded.Instance
	last, known := d.replica.newest[i.ID]
	if known && (i.StartTime < last.StartTime || i.StartTime == last.StartTime && i.Sequence < last.Sequence) {
		return true
	}
	d.replica.newest[i.ID] = i
	return false
}

func (d *Daemon) logDecoded(e daisygap.StoreEntry, decoded daisygap.DecodedEntry, source string) {
	fields := daisygap.Fields{"key": e.Key, "revision": e.Revision, "from": source, "age_ms": e.Age}
	switch {
	case decoded.Steering != nil:
		fields["version"], fields["routes"] = decoded.Steering.Version, len(decoded.Steering.Routes)
		d.Log.Event("configuration", fields)
	case decoded.Evacuated != "":
		fields["domain"] = decoded.Evacuated
		d.Log.Event("evacuation", fields)
	case decoded.Hint != nil && decoded.HintRegion == d.Settings.Region:
		d.Log.Event("placement hint", fields)
	case decoded.Instance != nil:
		i := decoded.Instance
		fields["pool"], fields["domain"], fields["draining"], fields["cold_ms"], fields["run"] = i.Pool, i.Domain, i.Draining, i.ColdRemaining, i.StartTime
		d.Log.Event("upstream", fields)
	}
}

// markLapses keeps deleted entries of upstreams in force for a grace period when their leases may have expired only because
// the store was unavailable, or when a restore of the store has lost them. The period starts when a daemon first reads the deletion, so
// that the way to this daemon doesn't add to it.
func (d *Daemon) markLapses(changed []daisygap.StoreEntry, restored bool, now daisygap.Millis) {
	var deleted []daisygap.StoreEntry
	for _, e := range changed {
		if i := d.replica.decoded[e.Key].Instance; e.Deleted && i != nil && !i.Draining {
			deleted = append(deleted, e)
		}
		if e.Deleted && restored && d.replica.decoded[e.Key].Evacuated != "" {
			d.replica.lapsed[e.Key] = now - e.Age + evacuationGrace
		}
	}
	recentFailure := restored || d.replica.lastSourceFailure > 0 && now-d.replica.lastSourceFailure < lapseWindow
	grace := lapseGrace
	switch {
	case recentFailure:
	case len(deleted) >= bulkLapseCount:
		grace = bulkLapseGrace
	default:
		return
	}
	for _, e := range deleted {
		d.replica.lapsed[e.Key] = now - e.Age + grace
	}
}

// runLapseExpiry periodically drops lapsed entries that weren't registered again.
func (d *Daemon) runLapseExpiry() {
	for d.sleep(lapseCheckInterval) {
		d.expireLapsed(d.Clock.Now())
	}
}

// expireLapsed drops the lapsed entries whose grace period is over.
func (d *Daemon) expireLapsed(now daisygap.Millis) {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	changed := false
	for key, until := range d.replica.lapsed {
		if now >= until {
			delete(d.replica.lapsed, key)
			delete(d.replica.decoded, key)
			changed = true
			d.Log.Event("entry ended", daisygap.Fields{"key": key, "from": "lapse"})
		}
	}
	for key, until := range d.replica.reappeared {
		if now >= until {
			d.applyEntry(d.replica.mirror.Entry(key), "reappearance")
			changed = true
		}
	}
	if changed {
		d.rebuild(now)
	}
}

// rebuild puts the decoded entries in force; the caller holds the replica's lock.
func (d *Daemon) rebuild(now daisygap.Millis) {
	steering := d.replica.config
	var instances []daisygap.Instance
	evacuated := make(map[string]bool)
	for _, f := range d.replica.decoded {
		switch {
		case f.Instance != nil:
			instances = append(instances, *f.Instance)
		case f.Evacuated != "":
			evacuated[f.Evacuated] = true
		case f.Hint != nil && f.HintRegion == d.Settings.Region:
			d.fleet.SetHint(*f.Hint)
		}
	}
	if steering == nil || d.snapshot.Load() == nil && d.holdsBack(steering, now) {
		return
	}
	d.fleet.Replace(steering.Pools, instances, evacuated, now)
	old := d.snapshot.Load()
	if old != nil && old.config == steering {
		return
	}
	versionGauge.set(steering.Version)
	d.splitter.Prune(steering.Routes)
	customers := customer.New(steering.Customers)
	d.logSharedKeys(steering.Version, customers.SharedKeys())
	d.snapshot.Store(&snapshot{config: steering, table: route.New(steering.Routes), customers: customers, revision: d.replica.mirror.Revision()})
	d.allowances.wakeUp()
}

// revision returns the store revision of the replica.
func (d *Daemon) revision() daisygap.StoreRevision {
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	return d.replica.mirror.Revision()
}

// ServeMirror returns the replica's changes after a revision to another daemon, and waits up to the given time for the first.
func (d *Daemon) ServeMirror(ctx context.Context, q daisygap.MirrorQuery) daisygap.StoreUpdate {
	if q.InForce {
		return d.entryInForce()
	}
	if q.Wait > 0 {
		d.awaitRevision(ctx, q)
	}
	if ctx.Err() != nil {
		return daisygap.StoreUpdate{}
	}
	d.replica.mu.Lock()
	defer d.replica.mu.Unlock()
	now := d.Clock.Now()
	u := d.replica.mirror.Since(q.After)
	u.StoreLost = d.membership.isStoreLost()
	d.replica.setAges(u.Entries, now)
	if age := now - d.replica.lastSourceFailure; d.replica.lastSourceFailure > 0 && age < lapseWindow {
		u.StoreErrorAge = age + 1
	}
	return u
}

// awaitRevision waits until the replica has the changes that a query asks for, until the wait of the query is over, or until the store
// is lost if the query asks for that.
func (d *Daemon) awaitRevision(ctx context.Context, q daisygap.MirrorQuery) {
	timer := time.NewTimer(min(q.Wait, relayWait).Duration())
	defer timer.Stop()
	for {
		d.replica.mu.Lock()
		if d.replica.mirror.Revision() > q.After || q.FromStore && d.membership.isStoreLost() {
			d.replica.mu.Unlock()
			return
		}
		if d.replica.advanced == nil {
			d.replica.advanced = make(chan struct{})
		}
		advanced := d.replica.advanced
		d.replica.mu.Unlock()
		select {
		case <-advanced:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-d.ctx.Done():
			return
		}
	}
}
