package entry

import (
	"maps"
	"math"
	"slices"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

const (
	// lostAfterExchanges is the number of gossip intervals without a newer heartbeat after which a domain counts as lost.
	lostAfterExchanges = 8
	// loadChangeThreshold is the fraction of a domain's slots by which its load must change before it is propagated.
	loadChangeThreshold = 0.1
	// maxHosts bounds the hosts in a domain's record.
	maxHosts = 64
)

// hostsSuffix marks the key of a domain's host record; its load record is stored under the bare domain name.
const hostsSuffix = "#hosts"

// forceRecordUpdate makes the next local load record propagate even if the load is unchanged.
func (d *Daemon) forceRecordUpdate() {
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	d.gossip.forceUpdate = true
}

// gossipInterval returns the interval between exchanges. It grows with the number of domains to keep the bytes per daemon
// constant.
func (d *Daemon) gossipInterval() daisygap.Millis {
	n := daisygap.Millis(len(d.config().Domains))
	return max(d.Timing.GossipInterval, n*d.Timing.GossipPerDomain)
}

// runGossip exchanges records with other domains while this daemon is the leaseholder.
func (d *Daemon) runGossip() {
	for d.pause(d.withJitter(d.gossipInterval())) {
		if !d.IsLeaseholder() {
			continue
		}
		d.updateRecords()
		if address, ok := d.pickSyncPeer(); ok {
			d.syncWith(address)
		}
		if d.gossip.updateLost(d.Settings.Domain, lostAfterExchanges*d.gossipInterval(), d.Clock.Now()) {
			d.Log.With("gossip").Infof("lost domains: %v", d.gossip.lostDomains())
			d.replan()
		}
	}
}

// updateRecords builds the local domain's records from the members' heartbeats, and propagates those that changed enough.
func (d *Daemon) updateRecords() {
	alive := d.aliveMembers()
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
		d.broadcast(push)
	}
}

func (d *Daemon) updateLoads(alive []memberReport) (daisygap.DomainRecord, bool) {
	epoch := d.epoch()
	c := d.config()
	now := d.Clock.Now()
	g := &d.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.records[d.Settings.Domain]
	next := daisygap.DomainRecord{
		Domain:             d.Settings.Domain,
		LeaseholderAddress: d.self.PeerAddress,
		Seq:                old.Seq,
		Heartbeat:          max(old.Heartbeat+1, epoch<<32),
		Groups:             make(map[string]daisygap.Load),
		Fingerprints:       d.fingerprints.activeOwnBlocks(now),
	}
	for name := range c.Groups {
		next.Groups[name] = sumLoads(alive, name)
	}
	step := c.Lookup.OffloadStep * float64(min(now-g.loadsUpdatedAt, 2*d.gossipInterval())) / 1000
	g.loadsUpdatedAt = now
	next.Offload = nextOffloads(c, d.Settings.Domain, old, next, step)
	changed := g.forceUpdate || old.Seq>>32 != epoch || significantChange(old, next)
	if changed {
		next.Seq = max(old.Seq+1, epoch<<32)
	} else {
		next.Groups, next.Offload = old.Groups, old.Offload
	}
	g.forceUpdate = false
	g.records[d.Settings.Domain] = next
	return next, changed
}

// nextOffloads moves the fraction of each group's work that the domain offloads by at most one step.
func nextOffloads(c *daisygap.Configuration, domain string, old, next daisygap.DomainRecord, step float64) map[string]float64 {
	drained := c.DomainDrained(domain)
	list := make(map[string]float64)
	for name, load := range next.Groups {
		if load.Slots == 0 && !drained && old.Groups[name].Slots == 0 {
			continue
		}
		if offload := routing.NextOffload(old.Offload[name], load, drained, step); offload > 0 {
			list[name] = offload
		}
	}
	return list
}

func (d *Daemon) updateHosts(alive []memberReport) (daisygap.DomainRecord, bool) {
	epoch := d.epoch()
	g := &d.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	key := d.Settings.Domain + hostsSuffix
	old := g.records[key]
	next := daisygap.DomainRecord{Domain: key, Seq: old.Seq}
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

func sumLoads(list []memberReport, group string) daisygap.Load {
	var sum daisygap.Load
	for _, c := range list {
		l := c.loads[group]
		sum.Slots += l.Slots
		sum.Running += l.Running
		sum.Waiting += l.Waiting
	}
	return sum
}

// significantChange reports whether a load record changed enough to be propagated; small changes of load are not worth
// a message.
func significantChange(old, next daisygap.DomainRecord) bool {
	if old.LeaseholderAddress != next.LeaseholderAddress || !maps.Equal(old.Offload, next.Offload) || !slices.Equal(old.Fingerprints, next.Fingerprints) {
		return true
	}
	for name, load := range next.Groups {
		before := old.Groups[name]
		if before.Slots != load.Slots {
			return true
		}
		limit := loadChangeThreshold * float64(load.Slots)
		if math.Abs(float64(load.Running-before.Running)) > limit || math.Abs(float64(load.Waiting-before.Waiting)) > limit {
			return true
		}
	}
	return false
}

// pickSyncPeer returns the address of the daemon to exchange with: usually another domain's leaseholder. One time in eight,
// and for a lost domain, it may be any host of that domain. Peers from the settings are added to the candidates one time
// in eight, and always while fewer than two are known.
func (d *Daemon) pickSyncPeer() (string, bool) {
	var list []string
	anyHost := d.randomIndex(8) == 0
	records := d.gossip.snapshot()
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name]
		switch {
		case name == d.Settings.Domain:
		case (anyHost || r.Lost) && len(r.Hosts) > 0:
			list = append(list, r.Hosts[d.randomIndex(len(r.Hosts))].PeerAddress)
		default:
			list = append(list, r.LeaseholderAddress)
		}
	}
	if len(list) < 2 || anyHost {
		for _, p := range d.Settings.Peers {
			if p != d.Settings.PeerAddress {
				list = append(list, p)
			}
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[d.randomIndex(len(list))], true
}

// syncWith exchanges newer records, heartbeats and patches with another daemon, in both directions.
func (d *Daemon) syncWith(address string) {
	delta, err := d.Peers.Sync(d.ctx, address, d.gossip.digest(d.Version(), false))
	if err == nil && delta.SeqsNeeded {
		delta, err = d.Peers.Sync(d.ctx, address, d.gossip.digest(d.Version(), true))
	}
	if err != nil {
		d.Log.With("gossip").Debugf("gossip exchange failed: %v", err)
		return
	}
	now := d.Clock.Now()
	d.gossip.mergeHeartbeats(delta.Heartbeats, now)
	d.mergeRecords(delta.Records)
	if delta.SnapshotNeeded {
		if err := d.fetchSnapshot(address); err != nil {
			d.Log.With("config").Warnf("cannot fetch snapshot from %s: %v", address, err)
		}
	}
	d.broadcastPatches(d.applyPatches(delta.Patches))
	d.sendMissing(address, delta)
}

// sendMissing sends the records and patches that the other daemon lacks.
func (d *Daemon) sendMissing(address string, delta daisygap.Delta) {
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

// mergeRecords merges records and propagates the new ones in the domain.
func (d *Daemon) mergeRecords(records []daisygap.DomainRecord) {
	now := d.Clock.Now()
	merged := d.gossip.merge(d.Settings.Domain, records, now)
	if len(merged) == 0 {
		return
	}
	for _, r := range merged {
		d.fingerprints.block(r.Fingerprints, now)
	}
	d.replan()
	d.broadcast(daisygap.Push{Records: merged})
}

// ServeSync answers another daemon's digest with what that daemon lacks.
func (d *Daemon) ServeSync(digest daisygap.Digest) daisygap.Delta {
	version := d.Version()
	delta := daisygap.Delta{Version: version}
	d.gossip.mergeHeartbeats(digest.Heartbeats, d.Clock.Now())
	if !digest.Full && digest.RecordsChecksum != d.gossip.checksum() {
		delta.SeqsNeeded = true
		return delta
	}
	delta.Heartbeats = d.gossip.newerHeartbeats(digest.Heartbeats)
	if digest.Full {
		delta.Records, delta.Want = d.gossip.diff(digest.Seqs)
	}
	delta.Patches, delta.SnapshotNeeded = d.versions.since(digest.Version, version)
	return delta
}

// ServeSnapshotPart returns one part of a configuration snapshot.
func (d *Daemon) ServeSnapshotPart(version uint64, part int) (daisygap.SnapshotPart, error) {
	return d.snapshotPart(version, part)
}

// goTask runs a short task that the daemon waits for before it ends.
func (d *Daemon) goTask(task func()) {
	if d.ctx.Err() == nil {
		d.tasks.Go(task)
	}
}
