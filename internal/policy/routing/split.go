package routing

import (
	"sort"
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

const (
	// A domain offloads more work above highPressure and less below lowPressure.
	highPressure = 0.9
	lowPressure  = 0.75
	// minWeight is the smallest weight that is not taken for a rounding error.
	minWeight = 1e-9
	// maxAcceptPressure is the highest pressure at which a domain accepts work that other domains offload.
	maxAcceptPressure = 0.85
)

// Topology is a daemon's view of all domains at one time. It is immutable.
type Topology struct {
	Snapshot *configuration.Snapshot
	Records  map[string]daisygap.DomainRecord

	groups           map[string]string          // by kind
	domains          map[string][]string        // by region, sorted
	regionOrder      map[string][]string        // all regions by region, nearest first
	available        map[string][]daisygap.Host // hosts that may be named, by domain
	idempotencyHosts sync.Map                   // []daisygap.Host by idempotencyScope
}

// NewTopology returns the topology for a configuration and the records of the domains.
func NewTopology(snapshot *configuration.Snapshot, records map[string]daisygap.DomainRecord) *Topology {
	c := snapshot.Config
	t := &Topology{
		Snapshot: snapshot, Records: records,
		groups:      make(map[string]string, len(c.Kinds)),
		domains:     make(map[string][]string, len(c.Regions)),
		regionOrder: make(map[string][]string, len(c.Regions)),
		available:   make(map[string][]daisygap.Host, len(records)),
	}
	for kind := range c.Kinds {
		t.groups[kind] = c.GroupOf(kind)
	}
	for name, d := range c.Domains {
		t.domains[d.Region] = append(t.domains[d.Region], name)
	}
	for _, names := range t.domains {
		sort.Strings(names)
	}
	for region := range c.Regions {
		t.regionOrder[region] = regionOrder(c, region)
	}
	for name, r := range records {
		t.available[name] = availableHosts(c, r)
	}
	return t
}

// DomainWeight is a domain with its fraction of the work, from 0 to 1.
type DomainWeight struct {
	Domain string
	Weight float64
}

// Pressure returns the ratio of running and waiting requests to slots. It is 1 if all slots are busy or there are none.
func Pressure(l daisygap.Load) float64 {
	if l.Slots == 0 {
		return 1
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// NextOffload returns the fraction of work that a domain should offload next. It rises by at most a step while the
// slots are short or the domain is being drained, and falls by at most a step while the pressure is low.
func NextOffload(offload float64, load daisygap.Load, drained bool, step float64) float64 {
	switch p := Pressure(load); {
	case drained || load.Slots == 0 || p > highPressure:
		return min(offload+step, 1)
	case p < lowPressure:
		return max(offload-step, 0)
	}
	return offload
}

// regionOrder returns all regions in the order of preference for work from a region: the region itself, its near
// regions, and the others by name.
func regionOrder(c *daisygap.Configuration, region string) []string {
	list := []string{region}
	seen := map[string]bool{region: true}
	for _, near := range c.Regions[region].Near {
		if !seen[near] {
			list = append(list, near)
			seen[near] = true
		}
	}
	var rest []string
	for name := range c.Regions {
		if !seen[name] {
			rest = append(rest, name)
		}
	}
	sort.Strings(rest)
	return append(list, rest...)
}

// usable returns the record of a domain and reports whether the domain may serve a kind now.
func (t *Topology) usable(domain, kind string) (daisygap.DomainRecord, bool) {
	r, ok := t.Records[domain]
	if !ok || r.Lost || !t.Snapshot.Config.Allows(kind, domain) {
		return r, false
	}
	return r, len(t.available[domain]) > 0
}

// availableHosts returns the entry hosts of a domain that are neither unavailable nor drained.
func availableHosts(c *daisygap.Configuration, r daisygap.DomainRecord) []daisygap.Host {
	var hosts []daisygap.Host
	for _, h := range r.Hosts {
		if !h.Unavailable && !c.Drains.Hosts[h.Name] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Split returns the fractions of the work of a kind from a region that domains should get. Each domain of the nearest
// usable region gets work in proportion to its slots, less what it offloads, which goes to free slots in the next
// regions.
func (t *Topology) Split(region, kind string) []DomainWeight {
	group := t.groups[kind]
	var split []DomainWeight
	offloaded, kept := 0.0, 0.0
	local := 0
	for tier, near := range t.regionOrder[region] {
		domains := t.domains[near]
		if tier == 0 || kept+offloaded == 0 {
			split, offloaded, kept = t.localSplit(domains, kind, group)
			local = len(split)
			continue
		}
		if offloaded <= 0 {
			break
		}
		accepted := t.acceptOffload(domains, kind, group, offloaded)
		for _, share := range accepted {
			split = append(split, share)
			offloaded -= share.Weight
		}
	}
	if offloaded > minWeight {
		split = t.distributeRemainder(split, local, offloaded, region, kind)
	}
	return normalise(split)
}

// distributeRemainder gives the work that no other domain accepts back to the nearest domains. Otherwise a lookup would
// have no answer while all domains are overloaded.
func (t *Topology) distributeRemainder(split []DomainWeight, local int, offloaded float64, region, kind string) []DomainWeight {
	kept := 0.0
	for _, s := range split[:local] {
		kept += s.Weight
	}
	if kept > 0 {
		for i := range split[:local] {
			split[i].Weight *= 1 + offloaded/kept
		}
		return split
	}
	for _, near := range t.regionOrder[region] {
		var list []DomainWeight
		total := 0.0
		for _, d := range t.domains[near] {
			r, ok := t.usable(d, kind)
			slots := float64(t.slots(r, kind))
			if !ok || slots == 0 || t.Snapshot.Config.DomainDrained(d) {
				continue
			}
			list = append(list, DomainWeight{Domain: d, Weight: slots})
			total += slots
		}
		for _, l := range list {
			split = append(split, DomainWeight{Domain: l.Domain, Weight: offloaded * l.Weight / total})
		}
		if len(list) > 0 {
			return split
		}
	}
	return split
}

// localSplit divides work among the domains of one region, and returns the slots that they offload and keep.
func (t *Topology) localSplit(domains []string, kind, group string) (split []DomainWeight, offloaded, kept float64) {
	for _, d := range domains {
		r, ok := t.usable(d, kind)
		if !ok {
			continue
		}
		slots := float64(t.slots(r, kind))
		offload := r.Offload[group]
		offloaded += slots * offload
		kept += slots * (1 - offload)
		if slots*(1-offload) > 0 {
			split = append(split, DomainWeight{Domain: d, Weight: slots * (1 - offload)})
		}
	}
	return split, offloaded, kept
}

// slots returns the number of slots that a kind may use in a domain.
func (t *Topology) slots(r daisygap.DomainRecord, kind string) int {
	slots := r.Groups[t.groups[kind]].Slots
	if limit, capped := t.Snapshot.Config.Kinds[kind].SlotLimits[r.Domain]; capped {
		slots = min(slots, limit)
	}
	return slots
}

// acceptOffload divides offloaded work among the free slots of domains, and assigns no more than those.
func (t *Topology) acceptOffload(domains []string, kind, group string, offloaded float64) []DomainWeight {
	var free []DomainWeight
	total := 0.0
	for _, d := range domains {
		r, ok := t.usable(d, kind)
		load := r.Groups[group]
		if !ok || r.Offload[group] > 0 || Pressure(load) > maxAcceptPressure {
			continue
		}
		spare := float64(t.slots(r, kind)) * (1 - Pressure(load))
		free = append(free, DomainWeight{Domain: d, Weight: spare})
		total += spare
	}
	if total > offloaded {
		for i := range free {
			free[i].Weight *= offloaded / total
		}
	}
	return free
}

func normalise(split []DomainWeight) []DomainWeight {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	if total == 0 {
		return nil
	}
	for i := range split {
		split[i].Weight /= total
	}
	return split
}
