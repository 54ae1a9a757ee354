package routing

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
)

// Choice is a domain to try, with the entry host to hand the request to; Host is zero for the daemon's own domain.
type Choice struct {
	Domain string
	Host   daisygap.Host
}

// Query is what the choice of a domain depends on.
type Query struct {
	Request   *daisygap.Request
	OwnDomain string
	OwnHost   string
	OwnRegion string
	// OwnUsable tells that the daemon itself may start work in its own domain.
	OwnUsable bool
	// OwnPressure is the use of the daemon's own part of the slots.
	OwnPressure float64
	Tried       map[string]bool
	// LinkWait returns how long bytes of the request's rank would wait on the link to a region.
	LinkWait func(region string) daisygap.Millis
	// HostDown tells that a host could not be reached a moment ago.
	HostDown func(host string) bool
	Now      daisygap.Millis
	Random   *rand.Rand
}

// Least time that must be left for a hop to another region to make sense.
const hopMillis = daisygap.Millis(80)

// Choose returns the domain that should serve a request: the own one while it has room, else the nearest with free slots, else the own one again.
func (w *Topology) Choose(q Query) (Choice, bool) {
	c := w.Snapshot.Config
	kind := q.Request.Kind
	group := w.groups[kind]
	own := Choice{Domain: q.OwnDomain}
	ownOpen := q.OwnUsable && !q.Tried[q.OwnDomain] && c.Allows(kind, q.OwnDomain) && !w.FullyOffloaded(q.OwnDomain, group)
	if ownOpen && q.OwnPressure < 1 && !w.movesAway(q, group) {
		return own, true
	}
	if q.Request.Hop > 0 {
		return own, ownOpen
	}
	fallback := Choice{}
	for _, region := range w.order[q.OwnRegion] {
		if region != q.OwnRegion && !w.reachableInTime(q, region) {
			continue
		}
		best, ok := w.freest(q, w.domains[region], group)
		if !ok {
			continue
		}
		if Pressure(w.Records[best.Domain].Groups[group]) < 1 {
			return best, true
		}
		if fallback.Domain == "" {
			fallback = best
		}
	}
	if ownOpen {
		return own, true
	}
	if sibling, ok := w.sibling(q, group); ok {
		return sibling, true
	}
	return fallback, fallback.Domain != ""
}

// IdempotencyHosts returns, in the order of their names, the hosts that remember idempotency keys of a kind from a region: those of the nearest region that serves the kind.
func (w *Topology) IdempotencyHosts(region, kind string) []daisygap.Host {
	for _, near := range w.order[region] {
		if hosts := w.keyHostsIn(near, kind); len(hosts) > 0 {
			return hosts
		}
	}
	return nil
}

// keyScope names the hosts of a region that serve a kind.
type keyScope struct {
	region, kind string
}

// keyHostsIn sorts the hosts at the first use only, since each request with a key needs them.
func (w *Topology) keyHostsIn(region, kind string) []daisygap.Host {
	scope := keyScope{region: region, kind: kind}
	if known, ok := w.keys.Load(scope); ok {
		return known.([]daisygap.Host)
	}
	var hosts []daisygap.Host
	for _, d := range w.domains[region] {
		if _, ok := w.usable(d, kind); ok {
			hosts = append(hosts, w.live[d]...)
		}
	}
	slices.SortFunc(hosts, func(a, b daisygap.Host) int { return strings.Compare(a.Name, b.Name) })
	w.keys.Store(scope, hosts)
	return hosts
}

// FullyOffloaded tells whether a drained domain has given all of a group's work away.
func (w *Topology) FullyOffloaded(domain, group string) bool {
	return w.Snapshot.Config.DomainDrained(domain) && w.Records[domain].Offload[group] >= 1
}

// movesAway tells whether a request is in the part that a domain under drain hands to others by now.
func (w *Topology) movesAway(q Query, group string) bool {
	return w.Snapshot.Config.DomainDrained(q.OwnDomain) && q.Random.Float64() < w.Records[q.OwnDomain].Offload[group]
}

// pickHost returns one of some hosts at random that is not known to be down.
func (q *Query) pickHost(hosts []daisygap.Host) (daisygap.Host, bool) {
	start := q.Random.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; h.Name != q.OwnHost && !q.HostDown(h.Name) {
			return h, true
		}
	}
	return daisygap.Host{}, false
}

// sibling returns another daemon of the own domain, for a daemon that may not use its own share.
func (w *Topology) sibling(q Query, group string) (Choice, bool) {
	if q.OwnUsable || q.Tried[q.OwnDomain] || w.FullyOffloaded(q.OwnDomain, group) {
		return Choice{}, false
	}
	if _, ok := w.usable(q.OwnDomain, q.Request.Kind); !ok {
		return Choice{}, false
	}
	host, ok := q.pickHost(w.live[q.OwnDomain])
	return Choice{Domain: q.OwnDomain, Host: host}, ok
}

func (w *Topology) reachableInTime(q Query, region string) bool {
	left := q.Request.Deadline - q.Now
	return left > hopMillis+q.LinkWait(region)
}

// freest returns the usable domain of a region with the most free slots, and one of its hosts.
func (w *Topology) freest(q Query, domains []string, group string) (Choice, bool) {
	var best Choice
	lowest := 0.0
	for _, d := range domains {
		if d == q.OwnDomain || q.Tried[d] || w.FullyOffloaded(d, group) {
			continue
		}
		r, ok := w.usable(d, q.Request.Kind)
		if !ok {
			continue
		}
		load := r.Groups[group]
		if load.Slots == 0 {
			continue
		}
		p := Pressure(load)
		if best.Domain != "" && p >= lowest {
			continue
		}
		if host, ok := q.pickHost(w.live[d]); ok {
			best = Choice{Domain: d, Host: host}
			lowest = p
		}
	}
	return best, best.Domain != ""
}
