package entry

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

const (
	// treeWidth is the number of daemons that each one passes a push on to.
	treeWidth = 4
	// Exchanges without a sign of life after which a domain counts as lost.
	lostAfter = 8
	// Part of a domain's slots by which its load must change to be told.
	loadStep = 0.1
	// A domain shares no more hosts than this in its record.
	maxHosts = 64
)

// gossip is what this daemon knows of all domains.
type gossip struct {
	mu       sync.Mutex
	records  map[string]daisygap.Record
	advanced map[string]daisygap.Millis
	lost     map[string]bool
	dirty    bool
	given    daisygap.Millis
}

func (g *gossip) get(domain string) (daisygap.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[domain]
	return r, ok
}

// hostsSuffix marks the key of a domain's record of hosts, beside that of its loads.
const hostsSuffix = "#hosts"

// snapshot returns a record for each domain with its hosts and loads, and with those of lost domains marked.
func (g *gossip) snapshot() map[string]daisygap.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make(map[string]daisygap.Record, len(g.records)/2)
	for key, r := range g.records {
		if strings.HasSuffix(key, hostsSuffix) {
			continue
		}
		r.Hosts = g.records[key+hostsSuffix].Hosts
		r.Lost = g.lost[key]
		records[key] = r
	}
	return records
}

// hostsOf returns the hosts of a domain.
func (g *gossip) hostsOf(domain string) []daisygap.Host {
	r, _ := g.get(domain + hostsSuffix)
	return r.Hosts
}

// sum is equal on two daemons that hold the same records.
func (g *gossip) sum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for name, r := range g.records {
		h := xxhash.Sum64String(name) ^ r.Seq
		sum ^= h * 0x9e3779b97f4a7c15
	}
	// JSON numbers of other decoders keep 53 bits.
	return sum >> 11
}

// digest returns what this daemon has; with the numbers of all records only when the other side asked for them.
func (g *gossip) digest(version uint64, full bool) daisygap.Digest {
	sum := g.sum()
	g.mu.Lock()
	defer g.mu.Unlock()
	digest := daisygap.Digest{Version: version, Sum: sum, Beats: make(map[string]uint64, len(g.records)/2)}
	if full {
		digest.Seqs = make(map[string]uint64, len(g.records))
	}
	for key, r := range g.records {
		if r.Beat > 0 {
			digest.Beats[key] = r.Beat
		}
		if full {
			digest.Seqs[key] = r.Seq
		}
	}
	return digest
}

// merge keeps the newer records and returns those that were new here.
func (g *gossip) merge(own string, records []daisygap.Record, now daisygap.Millis) []daisygap.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []daisygap.Record
	for _, r := range records {
		old, known := g.records[r.Domain]
		if known && r.Seq <= old.Seq {
			continue
		}
		if name := strings.TrimSuffix(r.Domain, hostsSuffix); name != own {
			g.advanced[name] = now
		}
		r.Beat = max(r.Beat, old.Beat)
		g.records[r.Domain] = r
		fresh = append(fresh, r)
	}
	return fresh
}

// hear notes signs of life of domains.
func (g *gossip) hear(beats map[string]uint64, now daisygap.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, beat := range beats {
		r, ok := g.records[name]
		if !ok || beat <= r.Beat {
			continue
		}
		r.Beat = beat
		g.records[name] = r
		g.advanced[name] = now
	}
}

// newerBeats returns the signs of life that the other side hasn't heard.
func (g *gossip) newerBeats(heard map[string]uint64) map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	beats := make(map[string]uint64)
	for key, r := range g.records {
		if r.Beat > heard[key] {
			beats[key] = r.Beat
		}
	}
	return beats
}

// newer returns the records that the other side lacks, and the keys of which it has newer ones.
func (g *gossip) newer(seqs map[string]uint64) (records []daisygap.Record, want []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, r := range g.records {
		switch seq := seqs[key]; {
		case r.Seq > seq:
			records = append(records, r)
		case r.Seq < seq:
			want = append(want, key)
		}
	}
	for key := range seqs {
		if _, ok := g.records[key]; !ok {
			want = append(want, key)
		}
	}
	return records, want
}

// findLost returns whether the set of lost domains changed.
func (g *gossip) findLost(own string, limit, now daisygap.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := make(map[string]bool)
	for name := range g.records {
		if name != own && !strings.HasSuffix(name, hostsSuffix) && now-g.advanced[name] > limit {
			lost[name] = true
		}
	}
	changed := !maps.Equal(lost, g.lost)
	g.lost = lost
	return changed
}

func (g *gossip) lostDomains() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.lost))
}

// setLost takes in the leaseholder's view of which domains are lost.
func (g *gossip) setLost(names []string, changed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := make(map[string]bool, len(names))
	for _, name := range names {
		lost[name] = true
	}
	if !maps.Equal(lost, g.lost) {
		g.lost = lost
		changed()
	}
}

// gossipChanged makes the next own record go out even if the load is the same.
func (d *Daemon) gossipChanged() {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	d.gossip.dirty = true
}

// gossipSpan grows with the domains, so that each daemon's bytes stay level.
func (d *Daemon) gossipSpan() daisygap.Millis {
	n := daisygap.Millis(len(d.config().Domains))
	return max(d.Timing.Gossip, n*d.Timing.GossipPerDomain)
}

// runGossip tells other domains about this one, and learns from them, while this daemon is the leaseholder.
func (d *Daemon) runGossip() {
	for d.pause(d.jitter(d.gossipSpan())) {
		if !d.IsHolder() {
			continue
		}
		d.updateRecord()
		if address, ok := d.otherDomain(); ok {
			d.syncWith(address)
		}
		if d.gossip.findLost(d.Settings.Domain, lostAfter*d.gossipSpan(), d.Clock.Now()) {
			d.Log.With("gossip").Infof("lost domains: %v", d.gossip.lostDomains())
			d.replan()
		}
	}
}

// updateRecord makes the own domain's records from the members' heartbeats, and spreads those that changed enough.
func (d *Daemon) updateRecord() {
	alive := d.alive()
	loads, loadsChanged := d.updateLoads(alive)
	hosts, hostsChanged := d.updateHosts(alive)
	var push daisygap.Push
	if loadsChanged {
		push.Records = append(push.Records, loads)
	}
	if hostsChanged {
		push.Records = append(push.Records, hosts)
	}
	if len(push.Records) > 0 {
		d.replan()
		d.spread(push)
	}
}

func (d *Daemon) updateLoads(alive []contact) (daisygap.Record, bool) {
	epoch := d.epoch()
	c := d.config()
	now := d.Clock.Now()
	g := &d.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.records[d.Settings.Domain]
	next := daisygap.Record{
		Domain: d.Settings.Domain,
		Holder: d.self.Peer,
		Seq:    old.Seq,
		Beat:   max(old.Beat+1, epoch<<32),
		Groups: make(map[string]daisygap.Load),
		Prints: d.prints.ownBlocked(now),
	}
	for name := range c.Groups {
		next.Groups[name] = sumLoads(alive, name)
	}
	step := c.Lookup.Step * float64(min(now-g.given, 2*d.gossipSpan())) / 1000
	g.given = now
	next.Give = gives(c, d.Settings.Domain, old, next, step)
	changed := g.dirty || old.Seq>>32 != epoch || changedEnough(old, next)
	if changed {
		next.Seq = max(old.Seq+1, epoch<<32)
	} else {
		next.Groups, next.Give = old.Groups, old.Give
	}
	g.dirty = false
	g.records[d.Settings.Domain] = next
	return next, changed
}

// gives moves the parts that the domain gives away by a step.
func gives(c *daisygap.Configuration, domain string, old, next daisygap.Record, step float64) map[string]float64 {
	drained := c.DomainDrained(domain)
	list := make(map[string]float64)
	for name, load := range next.Groups {
		if load.Slots == 0 && !drained && old.Groups[name].Slots == 0 {
			continue
		}
		if give := routing.NextGive(old.Give[name], load, drained, step); give > 0 {
			list[name] = give
		}
	}
	return list
}

func (d *Daemon) updateHosts(alive []contact) (daisygap.Record, bool) {
	epoch := d.epoch()
	g := &d.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	key := d.Settings.Domain + hostsSuffix
	old := g.records[key]
	next := daisygap.Record{Domain: key, Seq: old.Seq}
	for _, m := range alive[:min(len(alive), maxHosts)] {
		next.Hosts = append(next.Hosts, m.host)
	}
	changed := old.Seq>>32 != epoch || !slices.Equal(old.Hosts, next.Hosts)
	if changed {
		next.Seq = max(old.Seq+1, epoch<<32)
	}
	g.records[key] = next
	return next, changed
}

func (d *Daemon) epoch() uint64 {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.member.View().Epoch
}

func sumLoads(list []contact, group string) daisygap.Load {
	var sum daisygap.Load
	for _, c := range list {
		l := c.loads[group]
		sum.Slots += l.Slots
		sum.Running += l.Running
		sum.Waiting += l.Waiting
	}
	return sum
}

// changedEnough spares messages about small changes of load.
func changedEnough(old, next daisygap.Record) bool {
	if old.Holder != next.Holder || !maps.Equal(old.Give, next.Give) || !slices.Equal(old.Prints, next.Prints) {
		return true
	}
	for name, load := range next.Groups {
		before := old.Groups[name]
		if before.Slots != load.Slots {
			return true
		}
		limit := loadStep * float64(load.Slots)
		if math.Abs(float64(load.Running-before.Running)) > limit || math.Abs(float64(load.Waiting-before.Waiting)) > limit {
			return true
		}
	}
	return false
}

// otherDomain picks the daemon to exchange with: another domain's leaseholder, now and then any daemon there, or one from the settings.
func (d *Daemon) otherDomain() (string, bool) {
	var list []string
	anyHost := d.pick(8) == 0
	records := d.gossip.snapshot()
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name]
		switch {
		case name == d.Settings.Domain:
		case (anyHost || r.Lost) && len(r.Hosts) > 0:
			list = append(list, r.Hosts[d.pick(len(r.Hosts))].Peer)
		default:
			list = append(list, r.Holder)
		}
	}
	if len(list) < 2 || anyHost {
		for _, p := range d.Settings.Peers {
			if p != d.Settings.Peer {
				list = append(list, p)
			}
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[d.pick(len(list))], true
}

// syncWith exchanges what is newer on either side with another daemon.
func (d *Daemon) syncWith(address string) {
	delta, err := d.Peers.Sync(d.ctx, address, d.gossip.digest(d.Version(), false))
	if err == nil && delta.Again {
		delta, err = d.Peers.Sync(d.ctx, address, d.gossip.digest(d.Version(), true))
	}
	if err != nil {
		d.Log.With("gossip").Debugf("exchange failed: %v", err)
		return
	}
	now := d.Clock.Now()
	d.gossip.hear(delta.Beats, now)
	d.takeRecords(delta.Records)
	if delta.Far {
		if err := d.fetchSnapshot(address); err != nil {
			d.Log.With("config").Warnf("no snapshot from %s: %v", address, err)
		}
	}
	d.spreadPatches(d.applyPatches(delta.Patches))
	d.answerWants(address, delta)
}

// answerWants sends the records and patches that the other side lacks.
func (d *Daemon) answerWants(address string, delta daisygap.Delta) {
	var push daisygap.Push
	for _, name := range delta.Want {
		if r, ok := d.gossip.get(name); ok {
			push.Records = append(push.Records, r)
		}
	}
	if delta.Version < d.Version() {
		push.Patches, _ = d.versions.since(delta.Version, d.Version())
	}
	if len(push.Records)+len(push.Patches) == 0 {
		return
	}
	if err := d.Peers.Push(d.ctx, address, push); err != nil {
		d.Log.With("gossip").Debugf("push failed: %v", err)
	}
}

// takeRecords merges records and passes new ones on inside the domain.
func (d *Daemon) takeRecords(records []daisygap.Record) {
	now := d.Clock.Now()
	fresh := d.gossip.merge(d.Settings.Domain, records, now)
	if len(fresh) == 0 {
		return
	}
	for _, r := range fresh {
		d.prints.block(r.Prints, now)
	}
	d.replan()
	d.spread(daisygap.Push{Records: fresh})
}

// ServeSync answers another daemon's digest.
func (d *Daemon) ServeSync(digest daisygap.Digest) daisygap.Delta {
	version := d.Version()
	delta := daisygap.Delta{Version: version}
	d.gossip.hear(digest.Beats, d.Clock.Now())
	if digest.Seqs == nil && digest.Sum != d.gossip.sum() {
		delta.Again = true
		return delta
	}
	delta.Beats = d.gossip.newerBeats(digest.Beats)
	if digest.Seqs != nil {
		delta.Records, delta.Want = d.gossip.newer(digest.Seqs)
	}
	delta.Patches, delta.Far = d.versions.since(digest.Version, version)
	return delta
}

// ServePush takes in what another daemon spreads and passes it on along the tree.
func (d *Daemon) ServePush(p daisygap.Push) {
	now := d.Clock.Now()
	for _, c := range p.Crashes {
		d.noteCrash(c)
	}
	freshPatches := d.applyPatches(p.Patches)
	freshRecords := d.gossip.merge(d.Settings.Domain, p.Records, now)
	for _, r := range freshRecords {
		d.prints.block(r.Prints, now)
	}
	if len(freshRecords) > 0 {
		d.replan()
	}
	if p.Root != "" {
		d.passOn(p)
		return
	}
	if len(freshPatches)+len(freshRecords)+len(p.Crashes) > 0 {
		d.spread(daisygap.Push{Patches: freshPatches, Records: freshRecords, Crashes: p.Crashes})
	}
}

// ServePart returns a piece of a configuration snapshot.
func (d *Daemon) ServePart(version uint64, part int) (daisygap.Part, error) {
	return d.part(version, part)
}

// spreadPatches passes new versions on inside the domain.
func (d *Daemon) spreadPatches(patches []daisygap.Patch) {
	if len(patches) > 0 {
		d.spread(daisygap.Push{Patches: patches})
	}
}

// spread sends a push to the whole domain along a tree with this daemon at its root.
func (d *Daemon) spread(p daisygap.Push) {
	p.Root = d.Settings.Host
	d.passOn(p)
}

// others returns the domain's other daemons in the order of their names.
func (d *Daemon) others() []daisygap.Host {
	return slices.DeleteFunc(d.domainHosts(), func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
}

// domainHosts returns the domain's daemons in the order of their names, as the leaseholder knows them or told.
func (d *Daemon) domainHosts() []daisygap.Host {
	hosts := slices.Clone(d.gossip.hostsOf(d.Settings.Domain))
	if d.IsHolder() {
		hosts = nil
		for _, c := range d.alive() {
			hosts = append(hosts, c.host)
		}
	}
	slices.SortFunc(hosts, func(a, b daisygap.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// passOn sends a push to this daemon's children in the tree; a daemon that is missed learns by its heartbeat.
func (d *Daemon) passOn(p daisygap.Push) {
	hosts := d.domainHosts()
	root := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == p.Root })
	own := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
	if root < 0 || own < 0 {
		return
	}
	place := (own - root + len(hosts)) % len(hosts)
	for i := treeWidth*place + 1; i <= treeWidth*place+treeWidth && i < len(hosts); i++ {
		child := hosts[(root+i)%len(hosts)].Peer
		d.background(func() {
			if err := d.Peers.Push(d.ctx, child, p); err != nil {
				d.Log.With("gossip").Debugf("push failed: %v", err)
			}
		})
	}
}

// background runs a short task that the daemon waits for at its end.
func (d *Daemon) background(task func()) {
	if d.ctx.Err() == nil {
		d.group.Go(task)
	}
}
