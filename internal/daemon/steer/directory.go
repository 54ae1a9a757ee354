package steer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// minHosts is the number of entry hosts that an answer names, if the region has them.
const minHosts = 2

// EntryHosts returns the addresses for a caller: those of its domain, filled up from its region, else from the nearest that live.
func (d *Daemon) EntryHosts(region, domain string) []string {
	d.membership.mu.Lock()
	live := d.membership.roster.Alive(d.Clock.Now())
	self := d.membership.roster.Self
	d.membership.mu.Unlock()
	if self.Ready = d.Ready(); self.Ready {
		live = append(live, self)
	}
	live = slices.DeleteFunc(live, func(p daisygap.GossipHeartbeat) bool { return !p.Ready || p.Leaving })
	hosts := callerAddresses(live, func(p daisygap.Peer) bool { return p.Domain == domain })
	if len(hosts) < minHosts {
		near := callerAddresses(live, func(p daisygap.Peer) bool { return p.Region == region && p.Domain != domain })
		slices.SortFunc(near, func(a, b string) int { return compareHash(domain, a, b) })
		hosts = append(hosts, near[:min(len(near), minHosts-len(hosts))]...)
	}
	if len(hosts) == 0 {
		hosts = callerAddresses(live, func(p daisygap.Peer) bool { return p.Region == d.Settings.Region })
	}
	if len(hosts) == 0 {
		hosts = callerAddresses(live, func(daisygap.Peer) bool { return true })
	}
	return hosts
}

func callerAddresses(live []daisygap.GossipHeartbeat, keep func(daisygap.Peer) bool) []string {
	var list []string
	for _, p := range live {
		if keep(*p.Peer) {
			list = append(list, p.Peer.CallerAddress)
		}
	}
	return list
}

// compareHash orders addresses differently for each domain, so that neighbours share the load.
func compareHash(domain, a, b string) int {
	ha, hb := xxhash.Sum64String(domain+a), xxhash.Sum64String(domain+b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return 0
}
