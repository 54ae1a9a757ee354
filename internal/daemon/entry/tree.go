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
		d.noteCrash(c)
	}
	d.tally.collect(p.Incarnation, p.RefusalTotals)
	freshPatches := d.applyPatches(p.Patches)
	freshRecords := d.gossip.merge(d.Settings.Domain, p.Records, now)
	for _, r := range freshRecords {
		d.prints.block(r.Fingerprints, now)
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
	if d.IsLeaseholder() {
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
	first, last := children((own - root + len(hosts)) % len(hosts))
	for i := first; i <= last && i < len(hosts); i++ {
		child := hosts[(root+i)%len(hosts)].PeerAddress
		d.background(func() {
			if err := d.Peers.Push(d.ctx, child, p); err != nil {
				d.Log.With("gossip").Debugf("push failed: %v", err)
			}
		})
	}
}

const (
	// treeWidth is the number of daemons that each one passes a push on to.
	treeWidth = 4
	// rootWidth is smaller, since the root is mostly the leaseholder, which has the most to send already.
	rootWidth = 2
)

// children returns the first and the last place in the tree that a place passes a push on to; the root has place 0.
func children(place int) (first, last int) {
	if place == 0 {
		return 1, rootWidth
	}
	first = rootWidth + 1 + treeWidth*(place-1)
	return first, first + treeWidth - 1
}
