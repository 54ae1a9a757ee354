package routing

import (
	"sort"
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

const (
	highPressure = 0.9
	lowPressure  = 0.75
	// Weights below this come from rounding.
	leastWeight = 1e-9
	// A domain with more than this pressure takes no work that others give away.
	takePressure = 0.85
)

// Topology is what a daemon knows of all domains at one time; it is never changed after it is made.
type Topology struct {
	Snapshot *configuration.Snapshot
	Records  map[string]daisygap.DomainRecord

	groups  map[string]string          // by kind
	domains map[string][]string        // by region
	order   map[string][]string        // regions by region, nearest first
	live    map[string][]daisygap.Host // by domain
	keys    sync.Map                   // hosts that remember keys, by keyScope
}

// NewTopology returns the world of a configuration and the domains' records.
func NewTopology(state *configuration.Snapshot, records map[string]daisygap.DomainRecord) *Topology {
	c := state.Config
	w := &Topology{
		Snapshot: state, Records: records,
		groups:  make(map[string]string, len(c.Kinds)),
		domains: make(map[string][]string, len(c.Regions)),
		order:   make(map[string][]string, len(c.Regions)),
		live:    make(map[string][]daisygap.Host, len(records)),
	}
	for kind := range c.Kinds {
		w.groups[kind] = c.GroupOf(kind)
	}
	for name, d := range c.Domains {
		w.domains[d.Region] = append(w.domains[d.Region], name)
	}
	for _, names := range w.domains {
		sort.Strings(names)
	}
	for region := range c.Regions {
		w.order[region] = order(c, region)
	}
	for name, r := range records {
		w.live[name] = liveHosts(c, r)
	}
	return w
}

// DomainWeight is a domain with its part of the work, from 0 to 1.
type DomainWeight struct {
	Domain string
	Weight float64
}

// Pressure returns the use of a group's slots, waiting requests included; 1 means that all are busy.
func Pressure(l daisygap.Load) float64 {
	if l.Slots == 0 {
		return 1
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// NextOffload moves the part that a domain gives away by at most a step, up while its slots are short or it drains, else down.
func NextOffload(give float64, load daisygap.Load, drained bool, step float64) float64 {
	switch p := Pressure(load); {
	case drained || load.Slots == 0 || p > highPressure:
		return min(give+step, 1)
	case p < lowPressure:
		return max(give-step, 0)
	}
	return give
}

// order returns the regions in the order in which work of one region should be served.
func order(c *daisygap.Configuration, region string) []string {
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

// usable returns the record of a domain that may be named for a kind now.
func (w *Topology) usable(domain, kind string) (daisygap.DomainRecord, bool) {
	r, ok := w.Records[domain]
	if !ok || r.Lost || !w.Snapshot.Config.Allows(kind, domain) {
		return r, false
	}
	return r, len(w.live[domain]) > 0
}

// liveHosts returns the entry hosts of a domain that are neither away nor drained.
func liveHosts(c *daisygap.Configuration, r daisygap.DomainRecord) []daisygap.Host {
	var hosts []daisygap.Host
	for _, h := range r.Hosts {
		if !h.Unavailable && !c.Drains.Hosts[h.Name] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Split returns how the work of one kind from one region is divided among domains.
func (w *Topology) Split(region, kind string) []DomainWeight {
	group := w.groups[kind]
	var split []DomainWeight
	given, kept := 0.0, 0.0
	homes := 0
	for tier, near := range w.order[region] {
		domains := w.domains[near]
		if tier == 0 || kept+given == 0 {
			split, given, kept = w.home(domains, kind, group)
			homes = len(split)
			continue
		}
		if given <= 0 {
			break
		}
		taken := w.take(domains, kind, group, given)
		for _, t := range taken {
			split = append(split, t)
			given -= t.Weight
		}
	}
	if given > leastWeight {
		split = w.keep(split, homes, given, region, kind)
	}
	return normalise(split)
}

// keep leaves with the nearest domains what they would give away and no other can take; without that an overload of all
// domains would leave a look-up without an answer.
func (w *Topology) keep(split []DomainWeight, homes int, given float64, region, kind string) []DomainWeight {
	kept := 0.0
	for _, s := range split[:homes] {
		kept += s.Weight
	}
	if kept > 0 {
		for i := range split[:homes] {
			split[i].Weight *= 1 + given/kept
		}
		return split
	}
	for _, near := range w.order[region] {
		var list []DomainWeight
		total := 0.0
		for _, d := range w.domains[near] {
			r, ok := w.usable(d, kind)
			slots := float64(w.slots(r, kind))
			if !ok || slots == 0 || w.Snapshot.Config.DomainDrained(d) {
				continue
			}
			list = append(list, DomainWeight{Domain: d, Weight: slots})
			total += slots
		}
		for _, l := range list {
			split = append(split, DomainWeight{Domain: l.Domain, Weight: given * l.Weight / total})
		}
		if len(list) > 0 {
			return split
		}
	}
	return split
}

// home divides work among the domains of the nearest region that has any, and returns what they give away and keep.
func (w *Topology) home(domains []string, kind, group string) (split []DomainWeight, given, kept float64) {
	for _, d := range domains {
		r, ok := w.usable(d, kind)
		if !ok {
			continue
		}
		slots := float64(w.slots(r, kind))
		give := r.Offload[group]
		given += slots * give
		kept += slots * (1 - give)
		if slots*(1-give) > 0 {
			split = append(split, DomainWeight{Domain: d, Weight: slots * (1 - give)})
		}
	}
	return split, given, kept
}

// slots returns the slots that a kind may use in a domain.
func (w *Topology) slots(r daisygap.DomainRecord, kind string) int {
	slots := r.Groups[w.groups[kind]].Slots
	if most, capped := w.Snapshot.Config.Kinds[kind].SlotLimits[r.Domain]; capped {
		slots = min(slots, most)
	}
	return slots
}

// take divides what others give away by free slots, and takes no more than those.
func (w *Topology) take(domains []string, kind, group string, given float64) []DomainWeight {
	var free []DomainWeight
	total := 0.0
	for _, d := range domains {
		r, ok := w.usable(d, kind)
		load := r.Groups[group]
		if !ok || r.Offload[group] > 0 || Pressure(load) > takePressure {
			continue
		}
		spare := float64(w.slots(r, kind)) * (1 - Pressure(load))
		free = append(free, DomainWeight{Domain: d, Weight: spare})
		total += spare
	}
	if total > given {
		for i := range free {
			free[i].Weight *= given / total
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
