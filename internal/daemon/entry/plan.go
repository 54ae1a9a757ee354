package entry

import (
	"maps"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/admission"
	"github.com/daisygap/daisygap/internal/policy/balance"
	"github.com/daisygap/daisygap/internal/policy/configuration"
	"github.com/daisygap/daisygap/internal/policy/quota"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

// replanInterval is the shortest interval between two plans, so that a burst of changes needs only one, in milliseconds.
const replanInterval = daisygap.Millis(50)

// replan requests new pools, links and look-up tables; it never blocks.
func (d *Daemon) replan() {
	select {
	case d.replanRequests <- struct{}{}:
	default:
	}
}

func (d *Daemon) runPlanner() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.replanRequests:
		}
		d.plan()
		if !d.pause(replanInterval) {
			return
		}
	}
}

// plan recomputes everything that depends on the configuration, the view and the gossip records.
func (d *Daemon) plan() {
	snapshot := d.snapshot.Load()
	if snapshot.Version == 0 {
		return
	}
	lists := d.members.memberLists()
	d.planPools(snapshot, lists)
	d.planLinks(snapshot, lists)
	d.budgets.set(snapshot.Config)
	topology := routing.NewTopology(snapshot, d.gossip.snapshot())
	d.planKeyHosts(topology)
	d.topology.Store(topology)
	d.table.Store(routing.NewTable(topology))
	if d.snapshot.Load() != snapshot {
		// A newer version arrived meanwhile. The table just stored doesn't have its client blocks.
		d.replan()
	}
}

func (d *Daemon) planPools(snapshot *configuration.Snapshot, lists [][]string) {
	c := snapshot.Config
	old := *d.pools.Load()
	pools := make(map[string]*upstream.Pool, len(c.Groups))
	for name, g := range c.Groups {
		p := old[name]
		if p == nil {
			p = &upstream.Pool{
				Group: name, Clock: d.Clock, LeaseValid: d.leaseValid, Suspect: d.fingerprints.suspectFunc(d.Clock),
				OnShortage: func() { d.loans.request(name) },
			}
		}
		p.SetPlan(upstream.Plan{
			Rules:      d.rules(c, g, lists),
			Targets:    d.targets(c, name, lists),
			WarmUp:     g.WarmUp,
			Eject:      g.MaxEjectedRatio,
			MaxRunTime: c.LongestDeadline(),
			SoleMember: len(lists[0]) < 2,
		})
		pools[name] = p
	}
	for name, p := range old {
		if pools[name] == nil {
			p.SetPlan(upstream.Plan{})
		}
	}
	d.pools.Store(&pools)
}

// rules returns the admission rules of the group's kinds, with this daemon's share of the caps.
func (d *Daemon) rules(c *daisygap.Configuration, g daisygap.Group, lists [][]string) []admission.Rule {
	var list []admission.Rule
	for _, name := range g.Kinds {
		k := c.Kinds[name]
		limit, capped := k.SlotLimits[d.Settings.Domain]
		list = append(list, admission.Rule{
			Name: name, Rank: k.Rank, Floor: k.Floor, Worth: k.Worth, MaxQueued: k.QueueLimit,
			Capped: capped, MaxRunning: int(d.share(int64(limit), "take/"+name, lists)),
		})
	}
	return list
}

// targets returns the group's upstreams in this domain with the daemon's shares of their slots.
func (d *Daemon) targets(c *daisygap.Configuration, group string, lists [][]string) []balance.Target {
	record, _ := d.gossip.get(d.Settings.Domain)
	drained := c.DomainDrained(d.Settings.Domain) && record.Offload[group] >= 1
	var targets []balance.Target
	for name, u := range c.Upstreams {
		if u.Group != group || u.Domain != d.Settings.Domain {
			continue
		}
		targets = append(targets, balance.Target{
			Name:           name,
			Address:        u.Address,
			Slots:          u.Slots,
			Share:          int(d.share(int64(u.Slots), name, lists)),
			MayRunSuspects: d.mayRunSuspects(name, lists),
			Drained:        drained || c.Drains.Upstreams[name],
		})
	}
	return targets
}

// share returns the smallest of the daemon's shares under all member lists.
func (d *Daemon) share(limit int64, name string, lists [][]string) int64 {
	least := quota.Share(limit, name, d.Settings.Host, lists[0])
	for _, list := range lists[1:] {
		least = min(least, quota.Share(limit, name, d.Settings.Host, list))
	}
	return least
}

// mayRunSuspects reports whether this daemon may send requests that are suspected of crashing servers to an upstream. Only
// the upstream's owner under all member lists may, and only while the links are within the daemon's shares.
func (d *Daemon) mayRunSuspects(name string, lists [][]string) bool {
	for _, list := range lists {
		if quota.Owner(name, list) != d.Settings.Host {
			return false
		}
	}
	return d.links.withinShares(d.Clock.Now())
}

// planLinks divides the rate of each link that leaves the region among the region's domains, and then among the daemons
// of the domain.
func (d *Daemon) planLinks(snapshot *configuration.Snapshot, lists [][]string) {
	c := snapshot.Config
	domains := c.DomainsOf(d.Settings.Region)
	shares := make(map[string]int64)
	for name, l := range c.Links {
		from, to := splitLink(name)
		if from != d.Settings.Region {
			continue
		}
		domainShare := quota.Share(l.Rate, name, d.Settings.Domain, domains)
		shares[to] = d.share(domainShare, name, lists)
	}
	d.links.setShares(shares, d.Clock.Now())
}

// poolLoads returns the load of this daemon's slots by group.
func (d *Daemon) poolLoads() map[string]daisygap.Load {
	loads := make(map[string]daisygap.Load)
	for name, p := range *d.pools.Load() {
		loads[name] = p.Load()
	}
	return loads
}

// withinShares reports whether the slots and link rates in use fit into the daemon's shares.
func (d *Daemon) withinShares() bool {
	for p := range maps.Values(*d.pools.Load()) {
		if !p.WithinShares() {
			return false
		}
	}
	return d.links.withinShares(d.Clock.Now())
}
