package steer

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/mirror"
	"github.com/daisygap/daisygap/internal/policy/route"
)

const (
	// lapseGrace is how long an upstream's entry that lapsed with the store's outage still counts: living ones are back within two seconds
	// of its return, which is noticed some tenths of a second late.
	lapseGrace = daisygap.Millis(1_800)
	// lapseNear is how long after trouble with the store a deletion may be a lapse.
	lapseNear = daisygap.Millis(4_000)
	// lapseMany is the number of entries that end together when an outage went unnoticed here, and doubtGrace how long they count then;
	// they may as well be of upstreams that leave, which get no new work after 2.5 s.
	lapseMany  = 4
	doubtGrace = daisygap.Millis(1_200)
	// lapseSpan is the time between two looks for lapsed entries.
	lapseSpan = daisygap.Millis(100)
)

var (
	foreignEntries = metrics.NewCounter(`daisygap_foreign_entries_total`)
	versionGauge   atomicGauge
	revisionGauge  atomicGauge
)

// storeCopy is the daemon's copy of the store and what was decoded of it.
type storeCopy struct {
	mu     sync.Mutex
	mirror mirror.Mirror
	facts  map[string]daisygap.DecodedEntry
	// newest holds for each upstream the newest entry seen of its latest process.
	newest map[string]daisygap.Instance
	// lapsed holds entries that ended with the store's outage, and until when they count.
	lapsed map[string]daisygap.Millis
	// storeTrouble is when the store last failed here, and trouble the same where the last update came from: only there may entries have
	// lapsed with the store.
	storeTrouble daisygap.Millis
	trouble      daisygap.Millis
	// grown is closed when the revision grows.
	grown chan struct{}
}

// fromStore names the store as the source of an update; others are daemons' addresses.
const fromStore = "store"

// apply takes an update of the copy in and puts what it says in force.
func (d *Daemon) apply(u daisygap.StoreUpdate, from string) int {
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	now := d.Clock.Now()
	switch {
	case from == fromStore:
		d.copy.trouble = d.copy.storeTrouble
	case u.StoreErrorAge > 0:
		d.copy.trouble = now - u.StoreErrorAge
	default:
		d.copy.trouble = 0
	}
	before := d.copy.mirror.Revision()
	changed := d.copy.mirror.Apply(u)
	revisionGauge.set(d.copy.mirror.Revision())
	if d.copy.mirror.Revision() > before && d.copy.grown != nil {
		close(d.copy.grown)
		d.copy.grown = nil
	}
	if len(changed) == 0 {
		return 0
	}
	d.noteLapses(changed, now)
	for _, e := range changed {
		d.decode(e, from)
	}
	d.rebuild(now)
	return len(changed)
}

// decode keeps what an entry says; one that can't be read says nothing.
func (d *Daemon) decode(e daisygap.StoreEntry, from string) {
	c := &d.copy
	if c.facts == nil {
		c.facts = make(map[string]daisygap.DecodedEntry)
		c.newest = make(map[string]daisygap.Instance)
		c.lapsed = make(map[string]daisygap.Millis)
	}
	if e.Deleted {
		if _, lapsed := c.lapsed[e.Key]; !lapsed {
			delete(c.facts, e.Key)
			d.Log.Event("entry ended", daisygap.Fields{"key": e.Key, "revision": e.Revision, "from": from})
		}
		d.notePeerEnded(e.Key)
		return
	}
	delete(c.lapsed, e.Key)
	fact, err := d.Catalogue.Decode(e)
	if err != nil {
		foreignEntries.Inc()
		d.event("foreign entry", "foreign entry", func() daisygap.Fields {
			return daisygap.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()}
		})
		if fact.Steering == nil && c.facts[e.Key].Steering != nil {
			return
		}
		delete(c.facts, e.Key)
		return
	}
	if i := fact.Instance; i != nil && d.outdated(*i) {
		return
	}
	if fact.Peer != nil {
		d.notePeer(*fact.Peer)
	}
	c.facts[e.Key] = fact
	d.logFact(e, fact, from)
}

// outdated tells whether an entry is of an earlier process than one already seen, or older than it.
func (d *Daemon) outdated(i daisygap.Instance) bool {
	last, known := d.copy.newest[i.ID]
	if known && (i.StartTime < last.StartTime || i.StartTime == last.StartTime && i.Sequence < last.Sequence) {
		return true
	}
	d.copy.newest[i.ID] = i
	return false
}

func (d *Daemon) logFact(e daisygap.StoreEntry, f daisygap.DecodedEntry, from string) {
	fields := daisygap.Fields{"key": e.Key, "revision": e.Revision, "from": from}
	switch {
	case f.Steering != nil:
		fields["version"], fields["routes"] = f.Steering.Version, len(f.Steering.Routes)
		d.Log.Event("configuration", fields)
	case f.Evacuated != "":
		fields["domain"] = f.Evacuated
		d.Log.Event("evacuation", fields)
	case f.Instance != nil:
		fields["pool"], fields["domain"], fields["draining"], fields["cold_ms"] = f.Instance.Pool, f.Instance.Domain, f.Instance.Draining, f.Instance.ColdRemaining
		d.Log.Event("upstream", fields)
	}
}

// noteLapses marks the upstreams' entries that may have lapsed only because the store was away.
func (d *Daemon) noteLapses(changed []daisygap.StoreEntry, now daisygap.Millis) {
	var ended []string
	for _, e := range changed {
		if i := d.copy.facts[e.Key].Instance; e.Deleted && i != nil && !i.Draining {
			ended = append(ended, e.Key)
		}
	}
	near := d.copy.trouble > 0 && now-d.copy.trouble < lapseNear
	grace := lapseGrace
	switch {
	case near:
	case len(ended) >= lapseMany:
		grace = doubtGrace
	default:
		return
	}
	for _, key := range ended {
		d.copy.lapsed[key] = now + grace
	}
}

// runLapses drops entries that lapsed while the store was away and didn't come back.
func (d *Daemon) runLapses() {
	for d.pause(lapseSpan) {
		d.expireLapsed(d.Clock.Now())
	}
}

// expireLapsed drops the entries that didn't come back in time.
func (d *Daemon) expireLapsed(now daisygap.Millis) {
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	ended := false
	for key, until := range d.copy.lapsed {
		if now >= until {
			delete(d.copy.lapsed, key)
			delete(d.copy.facts, key)
			ended = true
			d.Log.Event("entry ended", daisygap.Fields{"key": key, "from": "lapse"})
		}
	}
	if ended {
		d.rebuild(now)
	}
}

// rebuild puts the decoded entries in force; the caller holds the copy's lock.
func (d *Daemon) rebuild(now daisygap.Millis) {
	var steering *daisygap.SteeringConfig
	var instances []daisygap.Instance
	evacuated := make(map[string]bool)
	for _, f := range d.copy.facts {
		switch {
		case f.Steering != nil:
			steering = f.Steering
		case f.Instance != nil:
			instances = append(instances, *f.Instance)
		case f.Evacuated != "":
			evacuated[f.Evacuated] = true
		}
	}
	if steering == nil {
		return
	}
	d.fleet.Replace(steering.Pools, instances, evacuated, now)
	old := d.view.Load()
	if old != nil && old.steering == steering {
		return
	}
	versionGauge.set(steering.Version)
	d.splitter.Prune(steering.Routes)
	d.view.Store(&view{steering: steering, table: route.New(steering.Routes), revision: d.copy.mirror.Revision()})
}

// revision returns the store revision that the copy is up to.
func (d *Daemon) revision() uint64 {
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	return d.copy.mirror.Revision()
}

// ServeMirror hands the copy's changes after a revision to another daemon, and waits up to a span for the first.
func (d *Daemon) ServeMirror(after uint64, wait daisygap.Millis) daisygap.StoreUpdate {
	if wait > 0 {
		d.awaitRevision(after, min(wait, relaySpan))
	}
	d.copy.mu.Lock()
	defer d.copy.mu.Unlock()
	u := d.copy.mirror.Since(after)
	if age := d.Clock.Now() - d.copy.trouble; d.copy.trouble > 0 && age < lapseNear {
		u.StoreErrorAge = age + 1
	}
	return u
}

// awaitRevision waits until the copy is newer than a revision, or for a span.
func (d *Daemon) awaitRevision(after uint64, span daisygap.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	for {
		d.copy.mu.Lock()
		if d.copy.mirror.Revision() > after {
			d.copy.mu.Unlock()
			return
		}
		if d.copy.grown == nil {
			d.copy.grown = make(chan struct{})
		}
		grown := d.copy.grown
		d.copy.mu.Unlock()
		select {
		case <-grown:
		case <-timer.C:
			return
		case <-d.ctx.Done():
			return
		}
	}
}
