package configuration

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/daisygap/daisygap"
)

const (
	minKeyBytes  = 16
	maxDeadline  = daisygap.Millis(120_000)
	maxLookupTTL = daisygap.Millis(300_000)
)

// Check applies the rules between the parts of a configuration and returns the first broken one as a FieldError.
func Check(c *daisygap.Configuration) error {
	for _, rule := range []func(*daisygap.Configuration) error{
		checkLookup, checkRegions, checkDomains, checkLinks, checkKinds, checkGroups, checkUpstreams, checkSites, checkDrains, checkKeys,
	} {
		if err := rule(c); err != nil {
			return err
		}
	}
	return nil
}

func names[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func wrong(field, want string, got any) error {
	return &daisygap.FieldError{Field: field, Want: want, Got: fmt.Sprint(got)}
}

func checkLookup(c *daisygap.Configuration) error {
	l := c.Lookup
	if l.TTL <= 0 || l.TTL > maxLookupTTL {
		return wrong("lookup.ttl", fmt.Sprintf("milliseconds from 1 to %d", maxLookupTTL), l.TTL)
	}
	if l.MaxHosts < 1 || l.MaxHosts > 8 {
		return wrong("lookup.answers", "a number of hosts from 1 to 8", l.MaxHosts)
	}
	if l.OffloadStep <= 0 || l.OffloadStep > 1 {
		return wrong("lookup.step", "a part above 0 and at most 1 that may move each second", l.OffloadStep)
	}
	if _, ok := c.Sites[l.DefaultSite]; !ok {
		return wrong("lookup.site", "the name of the site for unknown blocks", quoted(l.DefaultSite))
	}
	return nil
}

func quoted(s string) string { return fmt.Sprintf("%q", s) }

func checkRegions(c *daisygap.Configuration) error {
	for _, name := range names(c.Regions) {
		if strings.Contains(name, ">") || name == "" {
			return wrong("regions."+name, "a name without >", quoted(name))
		}
		for _, near := range c.Regions[name].Near {
			if _, ok := c.Regions[near]; !ok || near == name {
				return wrong("regions."+name+".near", "names of other regions", quoted(near))
			}
		}
	}
	return nil
}

func checkDomains(c *daisygap.Configuration) error {
	for _, name := range names(c.Domains) {
		if _, ok := c.Regions[c.Domains[name].Region]; !ok {
			return wrong("domains."+name+".region", "the name of a region", quoted(c.Domains[name].Region))
		}
	}
	return nil
}

func checkLinks(c *daisygap.Configuration) error {
	for _, name := range names(c.Links) {
		from, to, ok := strings.Cut(name, ">")
		_, known := c.Regions[from]
		_, knownTo := c.Regions[to]
		if !ok || !known || !knownTo || from == to {
			return wrong("links."+name, "a name from>to of two regions", quoted(name))
		}
		if c.Links[name].Rate <= 0 {
			return wrong("links."+name+".rate", "bytes a second above 0", c.Links[name].Rate)
		}
	}
	return nil
}

func checkKinds(c *daisygap.Configuration) error {
	for _, name := range names(c.Kinds) {
		if err := checkKind(c, "kinds."+name, c.Kinds[name]); err != nil {
			return err
		}
		if c.GroupOf(name) == "" {
			return wrong("kinds."+name, "a group that serves the kind", "none")
		}
	}
	return nil
}

func checkKind(c *daisygap.Configuration, field string, k daisygap.Kind) error {
	switch {
	case k.Rank < daisygap.Urgent || k.Rank >= daisygap.RankCount:
		return wrong(field+".rank", "urgent, normal or background", k.Rank)
	case k.TargetLatency <= 0 || k.TargetLatency > maxDeadline:
		return wrong(field+".target", fmt.Sprintf("milliseconds from 1 to %d", maxDeadline), k.TargetLatency)
	case k.MaxDeadline < k.TargetLatency || k.MaxDeadline > maxDeadline:
		return wrong(field+".most", fmt.Sprintf("milliseconds from the target to %d", maxDeadline), k.MaxDeadline)
	case k.MinShare < 0 || k.MinShare > 1:
		return wrong(field+".floor", "a part from 0 to 1", k.MinShare)
	case k.Value < 0:
		return wrong(field+".worth", "a number from 0", k.Value)
	case k.QueueLimit < 1 || k.QueueLimit > 100_000:
		return wrong(field+".queue", "a number of requests from 1 to 100000", k.QueueLimit)
	case k.RetryRatio < 0 || k.RetryRatio > 1:
		return wrong(field+".retry", "a part of the fresh requests from 0 to 1", k.RetryRatio)
	case len(k.Match) == 0:
		return wrong(field+".match", "at least one matcher", "none")
	}
	for _, d := range k.Domains {
		if _, ok := c.Domains[d]; !ok {
			return wrong(field+".domains", "names of domains", quoted(d))
		}
	}
	for _, d := range names(k.SlotLimits) {
		if _, ok := c.Domains[d]; !ok {
			return wrong(field+".take", "names of domains", quoted(d))
		}
		if k.SlotLimits[d] < 0 {
			return wrong(field+".take."+d, "a number of slots from 0", k.SlotLimits[d])
		}
	}
	for _, m := range k.Match {
		if m.Path != "" && !strings.HasPrefix(m.Path, "/") {
			return wrong(field+".match.path", "a prefix that starts with /", quoted(m.Path))
		}
		if strings.HasPrefix(m.Path, "/v1/lookup") {
			return wrong(field+".match.path", "no prefix of the look-up path", quoted(m.Path))
		}
	}
	return nil
}

func checkGroups(c *daisygap.Configuration) error {
	owner := make(map[string]string)
	for _, name := range names(c.Groups) {
		g := c.Groups[name]
		floors := 0.0
		for _, kind := range g.Kinds {
			if _, ok := c.Kinds[kind]; !ok {
				return wrong("groups."+name+".kinds", "names of kinds", quoted(kind))
			}
			if other, taken := owner[kind]; taken {
				return wrong("groups."+name+".kinds", "each kind in one group only", kind+" is in "+other+" too")
			}
			owner[kind] = name
			floors += c.Kinds[kind].MinShare
		}
		if floors > 1 {
			return wrong("groups."+name+".kinds", "floors that sum to at most 1", floors)
		}
		if g.WarmUp < 0 {
			return wrong("groups."+name+".warm", "milliseconds from 0", g.WarmUp)
		}
		if g.MaxEjectedRatio < 0 || g.MaxEjectedRatio > 1 {
			return wrong("groups."+name+".eject", "a part of the upstreams from 0 to 1", g.MaxEjectedRatio)
		}
	}
	return nil
}

func checkUpstreams(c *daisygap.Configuration) error {
	byAddress := make(map[string]string)
	for _, name := range names(c.Upstreams) {
		u := c.Upstreams[name]
		field := "upstreams." + name
		if _, ok := c.Groups[u.Group]; !ok {
			return wrong(field+".group", "the name of a group", quoted(u.Group))
		}
		if _, ok := c.Domains[u.Domain]; !ok {
			return wrong(field+".domain", "the name of a domain", quoted(u.Domain))
		}
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			return wrong(field+".address", "an IP address and port", quoted(u.Address))
		}
		if other, taken := byAddress[u.Address]; taken {
			return wrong(field+".address", "an address of its own", "that of "+other)
		}
		byAddress[u.Address] = name
		if u.Slots < 1 {
			return wrong(field+".slots", "a number of slots above 0", u.Slots)
		}
		if u.Connections < u.Slots {
			return wrong(field+".connections", "at least as many as slots", u.Connections)
		}
	}
	return nil
}

// checkMoves refuses to move an upstream between domains in one version, since the old domain may still hold shares of it.
func checkMoves(before, after *daisygap.Configuration) error {
	domains := make(map[string]string, len(before.Upstreams))
	for _, u := range before.Upstreams {
		domains[u.Address] = u.Domain
	}
	for _, name := range names(after.Upstreams) {
		u := after.Upstreams[name]
		if d, ok := domains[u.Address]; ok && d != u.Domain {
			return wrong("upstreams."+name+".domain", "the domain it had ("+d+"); remove the upstream in one patch and add it in a later one", u.Domain)
		}
	}
	return nil
}

func checkSites(c *daisygap.Configuration) error {
	for _, name := range names(c.Sites) {
		if _, ok := c.Regions[c.Sites[name].Region]; !ok {
			return wrong("sites."+name+".region", "the name of a region", quoted(c.Sites[name].Region))
		}
	}
	return nil
}

func checkDrains(c *daisygap.Configuration) error {
	for _, name := range names(c.Drains.Upstreams) {
		if _, ok := c.Upstreams[name]; !ok {
			return wrong("drains.upstreams", "names of upstreams", quoted(name))
		}
	}
	for _, name := range names(c.Drains.Domains) {
		if _, ok := c.Domains[name]; !ok {
			return wrong("drains.domains", "names of domains", quoted(name))
		}
	}
	for _, name := range names(c.Drains.Regions) {
		if _, ok := c.Regions[name]; !ok {
			return wrong("drains.regions", "names of regions", quoted(name))
		}
	}
	return nil
}

func checkKeys(c *daisygap.Configuration) error {
	for _, name := range names(c.Keys) {
		key, err := base64.StdEncoding.DecodeString(c.Keys[name])
		if err != nil || len(key) < minKeyBytes {
			return &daisygap.FieldError{Field: "keys." + name, Want: fmt.Sprintf("at least %d bytes in base64", minKeyBytes)}
		}
		if strings.ContainsAny(name, ".") || len(name) > 16 {
			return wrong("keys."+name, "a name of at most 16 characters without a dot", quoted(name))
		}
	}
	if _, ok := c.Keys[c.SigningKey]; !ok {
		return wrong("sign", "the name of a key in keys", quoted(c.SigningKey))
	}
	return nil
}
