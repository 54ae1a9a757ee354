package routing

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
)

// Choice is the domain for the next attempt and the entry host there to forward the request to. Host is zero if the
// daemon serves the request itself.
type Choice struct {
	Domain string
	Host   daisygap.Host
}

// Query holds the request and the state of the daemon for the choice of a domain.
type Query struct {
	Request   *daisygap.Request
	OwnDomain string
	OwnHost   string
	OwnRegion string
	// OwnUsable reports whether the daemon itself may start work in its own domain.
	OwnUsable bool
	// OwnPressure is the utilization of the daemon's share of the slots, as defined by Pressure.
	OwnPressure float64
	// Tried holds the domains that have already been tried for the request.
	Tried map[string]bool
	// LinkWait returns the queueing delay for the request's rank on the link to a region.
	LinkWait func(region string) daisygap.Millis
	// HostDown reports whether a recent attempt to reach a host failed.
	HostDown func(host string) bool
	Now      daisygap.Millis
	Random   *rand.Rand
}

// minHopTime is the least time until the deadline, after the queueing delay of the link, for which it is worth forwarding a
// request to another region.
const minHopTime = daisygap.Millis(80)

// Choose returns the domain that should serve a request. The own domain comes first while it has free slots, then the
// nearest domain that has, then the own domain even though it is busy, then another host of the own domain, and last
// the nearest busy domain. A request that was already forwarded is not forwarded again.
func (t *Topology) Choose(q Query) (Choice, bool) {
	c := t.Snapshot.Config
	kind := q.Request.Kind
	group := t.groups[kind]
	own := Choice{Domain: q.OwnDomain}
	ownEligible := q.OwnUsable && !q.Tried[q.OwnDomain] && c.Allows(kind, q.OwnDomain) && !t.FullyOffloaded(q.OwnDomain, group)
	if ownEligible && q.OwnPressure < 1 && !t.offloads(q, group) {
		return own, true
	}
	if q.Request.Hop > 0 {
		return own, ownEligible
	}
	fallback := Choice{}
	for _, region := range t.regionOrder[q.OwnRegion] {
		if region != q.OwnRegion && !t.reachableInTime(q, region) {
			continue
		}
		best, ok := t.leastLoaded(q, t.domains[region], group)
		if !ok {
			continue
		}
		if Pressure(t.Records[best.Domain].Groups[group]) < 1 {
			return best, true
		}
		if fallback.Domain == "" {
			fallback = best
		}
	}
	if ownEligible {
		return own, true
	}
	if sibling, ok := t.siblingHost(q, group); ok {
		return sibling, true
	}
	return fallback, fallback.Domain != ""
}

// IdempotencyHosts returns the hosts that record the idempotency keys of a kind for requests from a region, sorted by
// name. They are the hosts of the nearest region that serves the kind.
func (t *Topology) IdempotencyHosts(region, kind string) []daisygap.Host {
	for _, near := range t.regionOrder[region] {
		if hosts := t.idempotencyHostsIn(near, kind); len(hosts) > 0 {
			return hosts
		}
	}
	return nil
}

// idempotencyScope identifies the hosts of a region that serve a kind.
type idempotencyScope struct {
	region, kind string
}

// idempotencyHostsIn returns the hosts of a region that serve a kind, sorted by name. The list is cached, because every
// request with an idempotency key needs it.
func (t *Topology) idempotencyHostsIn(region, kind string) []daisygap.Host {
	scope := idempotencyScope{region: region, kind: kind}
	if cached, ok := t.idempotencyHosts.Load(scope); ok {
		return cached.([]daisygap.Host)
	}
	var hosts []daisygap.Host
	for _, d := range t.domains[region] {
		if _, ok := t.usable(d, kind); ok {
			hosts = append(hosts, t.available[d]...)
		}
	}
	slices.SortFunc(hosts, func(a, b daisygap.Host) int { return strings.Compare(a.Name, b.Name) })
	t.idempotencyHosts.Store(scope, hosts)
	return hosts
}

// FullyOffloaded reports whether a drained domain has moved all of a group's work to other domains.
func (t *Topology) FullyOffloaded(domain, group string) bool {
	return t.Snapshot.Config.DomainDrained(domain) && t.Records[domain].Offload[group] >= 1
}

// offloads reports whether a request belongs to the fraction that the own domain, which is being drained, moves to
// others. The decision is random for each request.
func (t *Topology) offloads(q Query, group string) bool {
	return t.Snapshot.Config.DomainDrained(q.OwnDomain) && q.Random.Float64() < t.Records[q.OwnDomain].Offload[group]
}

// pickHost returns a random host that is neither the own host nor known to be down.
func (q *Query) pickHost(hosts []daisygap.Host) (daisygap.Host, bool) {
	start := q.Random.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; h.Name != q.OwnHost && !q.HostDown(h.Name) {
			return h, true
		}
	}
	return daisygap.Host{}, false
}

// siblingHost returns another host of the own domain. It is used while the daemon may not start work itself.
func (t *Topology) siblingHost(q Query, group string) (Choice, bool) {
	if q.OwnUsable || q.Tried[q.OwnDomain] || t.FullyOffloaded(q.OwnDomain, group) {
		return Choice{}, false
	}
	if _, ok := t.usable(q.OwnDomain, q.Request.Kind); !ok {
		return Choice{}, false
	}
	host, ok := q.pickHost(t.available[q.OwnDomain])
	return Choice{Domain: q.OwnDomain, Host: host}, ok
}

func (t *Topology) reachableInTime(q Query, region string) bool {
	remaining := q.Request.Deadline - q.Now
	return remaining > minHopTime+q.LinkWait(region)
}

// leastLoaded returns the usable domain with the lowest pressure among the given ones, and one of its hosts.
func (t *Topology) leastLoaded(q Query, domains []string, group string) (Choice, bool) {
	var best Choice
	lowest := 0.0
	for _, d := range domains {
		if d == q.OwnDomain || q.Tried[d] || t.FullyOffloaded(d, group) {
			continue
		}
		r, ok := t.usable(d, q.Request.Kind)
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
		if host, ok := q.pickHost(t.available[d]); ok {
			best = Choice{Domain: d, Host: host}
			lowest = p
		}
	}
	return best, best.Domain != ""
}
