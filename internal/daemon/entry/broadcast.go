package entry

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/daisygap/daisygap"
)

// ServePush merges the contents of a push and forwards them. A push of a broadcast names its root and follows that tree. A
// push without a root was sent to this daemon alone after a gossip exchange; this daemon broadcasts what is new in it.
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

// broadcastPatches propagates new versions in the domain.
func (d *Daemon) broadcastPatches(patches []daisygap.Patch) {
	if len(patches) > 0 {
		d.broadcast(daisygap.Push{Patches: patches})
	}
}

// broadcast sends a push to the whole domain along a tree that has this daemon as its root.
func (d *Daemon) broadcast(p daisygap.Push) {
	p.Root = d.Settings.Host
	d.forwardPush(p)
}

// otherHosts returns the domain's other daemons in the order of their names.
func (d *Daemon) otherHosts() []daisygap.Host {
	return slices.DeleteFunc(d.domainHosts(), func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
}

// domainHosts returns the domain's daemons in the order of their names: on the leaseholder from their heartbeats, elsewhere
// from the domain's gossip record.
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

// broadcastAndWait broadcasts a push and waits until this daemon's children in the tree have merged it, or until the timeout.
func (d *Daemon) broadcastAndWait(p daisygap.Push, timeout daisygap.Millis) {
	p.Root = d.Settings.Host
	ctx, cancel := context.WithTimeout(d.ctx, timeout.Duration())
	defer cancel()
	var children sync.WaitGroup
	for _, child := range d.childrenOf(p.Root) {
		children.Go(func() {
			if err := d.Peers.PushAndWait(ctx, child, p); err != nil {
				d.Log.With("gossip").Debugf("push failed: %v", err)
			}
		})
	}
	children.Wait()
}

// forwardPush sends a push to this daemon's children in the tree. A daemon that misses it catches up after its next
// heartbeat, whose reply then has OutOfSync set.
func (d *Daemon) forwardPush(p daisygap.Push) {
	for _, child := range d.childrenOf(p.Root) {
		d.goTask(func() {
			if err := d.Peers.Push(d.ctx, child, p); err != nil {
				d.Log.With("gossip").Debugf("push failed: %v", err)
			}
		})
	}
}

// childrenOf returns the addresses of this daemon's children in the tree with the given root.
func (d *Daemon) childrenOf(rootName string) []string {
	hosts := d.domainHosts()
	root := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == rootName })
	own := slices.IndexFunc(hosts, func(h daisygap.Host) bool { return h.Name == d.Settings.Host })
	if root < 0 || own < 0 {
		return nil
	}
	var addresses []string
	first, last := children((own - root + len(hosts)) % len(hosts))
	for i := first; i <= last && i < len(hosts); i++ {
		addresses = append(addresses, hosts[(root+i)%len(hosts)].PeerAddress)
	}
	return addresses
}

const (
	// treeFanout is the number of children of each daemon in the tree.
	treeFanout = 4
	// rootFanout is smaller, because the root is usually the leaseholder, which already sends the most.
	rootFanout = 2
)

// children returns the first and last child of a position in the tree; the root has position 0.
func children(position int) (first, last int) {
	if position == 0 {
		return 1, rootFanout
	}
	first = rootFanout + 1 + treeFanout*(position-1)
	return first, first + treeFanout - 1
}
