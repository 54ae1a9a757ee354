package steer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// minHosts is the minimum number of entry hosts in a look-up's result, if the region has that many.
const minHosts = 2

// EntryHosts returns the addresses of ready entry hosts for a caller. It returns those of the caller's domain, filled up to
// minHosts from its region. If there are none, it falls back to this daemon's region, and then to all regions.
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

// compareHash orders names by a hash that is seeded with a domain or another name, so that different seeds prefer different
// hosts and the load is spread.
func compareHash(seed, a, b string) int {
	ha, hb := xxhash.Sum64String(seed+a), xxhash.Sum64String(seed+b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return 0
}
