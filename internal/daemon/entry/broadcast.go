package entry

import (
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
)

// ServePush takes in what another daemon spreads and passes it on along the tree.
func (d *Daemon) ServePush(p daisygap.Push) {
	now := d.Clock.Now()
	for _, c := range p.Crashes {
		d.recordCrash(c)
	}
	d.totals.merge(p.Incarnation, p.RefusalTotals)
	freshPatches := d.applyPatches(p.Patches)
	freshRecords := d.gossip.merge(d.Settings.Domain, p.Records, now)
	for _, r := range freshRecords {
		d.fingerprints.block(r.Fingerprints, now)
	}
	if len(freshRecords) > 0 {
		d.replan()
	}
	if p.Root != "" {
		d.forwardPush(p)
		return
	}
	if len(freshPatches)+len(freshRecords)+len(p.Crashes) > 0 {
		d.broadcast(daisygap.Push{Patches: freshPatches, Records: freshRecords, Crashes: p.Crashes})
	}
}

// broadcastPatches passes new versions on inside the domain.
func (d *Daemon) broadcastPatches(patches []daisygap.Patch) {
	if len(patches) > 0 {
		d.broadcast(daisygap.Push{Patches: patches})
	}
}

// broadcast sends a push to the whole domain along a tree with this daemon at its root.
func (d *Daemon) broadcast(p daisygap.Push) {
	p.Root = d.Settings.Host
	d.forwardPush(p)
}

// otherHosts returns the domain's other daemons in the order of their names.
func (d *Daemon) otherHosts() []daisygap.Host {
	return slices.DeleteFunc(d.domainHosts(), func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
}

// domainHosts returns the domain's daemons in the order of their names, as the leaseholder knows them or told.
func (d *Daemon) domainHosts() []daisygap.Host {
	hosts := slices.Clone(d.gossip.hostsOf(d.Settings.Domain))
	if d.IsLeaseholder() {
		hosts = nil
		for _, c := range d.aliveMembers() {
			hosts = append(hosts, c.host)
		}
	}
	slices.SortFunc(hosts, func(a, b daisygap.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// forwardPush sends a push to this daemon's children in the tree; a daemon that is missed learns by its heartbeat.
func (d *Daemon) forwardPush(p daisygap.Push) {
	hosts := d.domainHosts()
	root := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == p.Root })
	own := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
	if root < 0 || own < 0 {
		return
	}
	first, last := children((own - root + len(hosts)) % len(hosts))
	for i := first; i <= last && i < len(hosts); i++ {
		child := hosts[(root+i)%len(hosts)].PeerAddress
		d.goTask(func() {
			if err := d.Peers.Push(d.ctx, child, p); err != nil {
				d.Log.With("gossip").Debugf("push failed: %v", err)
			}
		})
	}
}

const (
	// treeFanout is the number of daemons that each one passes a push on to.
	treeFanout = 4
	// rootFanout is smaller, since the root is mostly the leaseholder, which has the most to send already.
	rootFanout = 2
)

// children returns the first and the last place in the tree that a place passes a push on to; the root has place 0.
func children(position int) (first, last int) {
	if position == 0 {
		return 1, rootFanout
	}
	first = rootFanout + 1 + treeFanout*(position-1)
	return first, first + treeFanout - 1
}
