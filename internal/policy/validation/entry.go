package validation

import (
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
)

// CheckEntry returns the warnings on a valid configuration of the entry daemons.
func CheckEntry(config *daisygap.Configuration) []daisygap.Finding {
	c := &checker{}
	c.checkGroups(config)
	c.checkKinds(config)
	inDomain := make(map[string]int)
	for _, u := range config.Upstreams {
		inDomain[u.Domain]++
	}
	for _, name := range sortedKeys(config.Domains) {
		if inDomain[name] == 0 {
			c.warn("domain_without_upstreams", "domains", name, "", "no upstream is in this domain")
		}
	}
	for _, name := range sortedKeys(config.Regions) {
		n := 0
		for _, d := range config.DomainsOf(name) {
			n += inDomain[d]
		}
		if n == 0 {
			c.warn("region_without_upstreams", "regions", name, "", "no upstream is in this region")
		}
	}
	return c.findings
}

func (c *checker) checkGroups(config *daisygap.Configuration) {
	for _, name := range sortedKeys(config.Groups) {
		if len(config.Groups[name].Kinds) == 0 {
			c.warn("unused_group", "groups", name, "kinds", "no kind refers to this group")
		}
	}
}

// checkKinds reports kinds that never match or can't be served, and targets that can't be met.
func (c *checker) checkKinds(config *daisygap.Configuration) {
	owner := make(map[daisygap.Match]string)
	upstreams := make(map[string]map[string]int)
	for _, u := range config.Upstreams {
		if upstreams[u.Group] == nil {
			upstreams[u.Group] = make(map[string]int)
		}
		upstreams[u.Group][u.Domain]++
	}
	for _, name := range sortedKeys(config.Kinds) {
		k := config.Kinds[name]
		for _, m := range k.Match {
			m.Host = strings.ToLower(m.Host)
			// Equally specific matches go to the first kind in alphabetical order.
			if other, exists := owner[m]; exists && other != name {
				c.warn("unreachable_match", "kinds", name, "match", "the match of path %q can never apply: kind %q before it has the same one", m.Path, other)
				continue
			}
			owner[m] = name
		}
		count := 0
		for domain, n := range upstreams[config.GroupOf(name)] {
			if config.Allows(name, domain) {
				count += n
			}
		}
		switch {
		case count == 0:
			c.warn("no_upstreams", "kinds", name, "domains", "no upstream of its group is in a domain that may serve the kind")
		case count == 1 && k.Idempotent && k.RetryRatio > 0:
			c.warn("attempts_over_upstreams", "kinds", name, "retry", "the kind has retries, but only one upstream")
		}
		c.checkEntryTarget(config, name, k)
	}
}

func (c *checker) checkEntryTarget(config *daisygap.Configuration, name string, k daisygap.Kind) {
	switch {
	case k.TargetLatency < callerRoundTrip:
		c.warn("target_under_round_trip", "kinds", name, "target", "%d ms is under the round trip of up to %d ms to callers", k.TargetLatency, callerRoundTrip)
	case k.TargetLatency < regionRoundTrip && !servesAllRegions(config, k):
		c.warn("target_under_round_trip", "kinds", name, "target",
			"%d ms is under the round trip of %d ms between regions, which requests from outside its domains need", k.TargetLatency, regionRoundTrip)
	}
}

// servesAllRegions reports whether the kind may be served in a domain of each region.
func servesAllRegions(config *daisygap.Configuration, k daisygap.Kind) bool {
	if len(k.Domains) == 0 {
		return true
	}
	for region := range config.Regions {
		if !slices.ContainsFunc(k.Domains, func(d string) bool { return config.Domains[d].Region == region }) {
			return false
		}
	}
	return true
}
