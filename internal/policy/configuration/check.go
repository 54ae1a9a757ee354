package configuration

import (
	"encoding/base64"
	"encoding/json"
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

// Check validates a configuration, including the references between its sections. It returns the first violation as a
// FieldError.
func Check(c *daisygap.Configuration) error {
	for _, rule := range rules {
		if err := rule(c); err != nil {
			return err
		}
	}
	return nil
}

// rules check one section each.
var rules = []func(*daisygap.Configuration) error{
	checkLookup, checkRegions, checkDomains, checkLinks, checkKinds, checkGroups, checkUpstreams, checkSites, checkDrains, checkKeys,
}

// Violations validates a complete configuration document like Parse, but returns the first violation of each section.
func Violations(file string, data []byte) []error {
	_, err := Parse(file, data, 1)
	if err == nil {
		return nil
	}
	_, rest, splitErr := splitBlocks(data)
	if splitErr != nil {
		return []error{err}
	}
	// A document that was decoded can be encoded.
	document, _ := json.Marshal(rest)
	config, decodeErr := decode(document)
	if decodeErr != nil {
		return []error{err}
	}
	var list []error
	for _, rule := range rules {
		if err := rule(config); err != nil {
			list = append(list, locate(file, data, err))
		}
	}
	if len(list) == 0 {
		return []error{err}
	}
	return list
}

func sortedNames[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func invalid(field, want string, got any) error {
	return &daisygap.FieldError{Field: field, Want: want, Got: fmt.Sprint(got)}
}

func checkLookup(c *daisygap.Configuration) error {
	l := c.Lookup
	if l.TTL <= 0 || l.TTL > maxLookupTTL {
		return invalid("lookup.ttl", fmt.Sprintf("milliseconds from 1 to %d", maxLookupTTL), l.TTL)
	}
	if l.MaxHosts < 1 || l.MaxHosts > 8 {
		return invalid("lookup.answers", "a number of hosts from 1 to 8", l.MaxHosts)
	}
	if l.OffloadStep <= 0 || l.OffloadStep > 1 {
		return invalid("lookup.step", "a fraction above 0 and at most 1 that may move per second", l.OffloadStep)
	}
	if _, ok := c.Sites[l.DefaultSite]; !ok {
		return invalid("lookup.site", "the name of the site for addresses in no known block", quoted(l.DefaultSite))
	}
	return nil
}

func quoted(s string) string { return fmt.Sprintf("%q", s) }

func checkRegions(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Regions) {
		if strings.Contains(name, ">") || name == "" {
			return invalid("regions."+name, "a name without >", quoted(name))
		}
		for _, near := range c.Regions[name].Near {
			if _, ok := c.Regions[near]; !ok || near == name {
				return invalid("regions."+name+".near", "names of other regions", quoted(near))
			}
		}
	}
	return nil
}

func checkDomains(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Domains) {
		if _, ok := c.Regions[c.Domains[name].Region]; !ok {
			return invalid("domains."+name+".region", "the name of a region", quoted(c.Domains[name].Region))
		}
	}
	return nil
}

func checkLinks(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Links) {
		from, to, ok := strings.Cut(name, ">")
		_, knownFrom := c.Regions[from]
		_, knownTo := c.Regions[to]
		if !ok || !knownFrom || !knownTo || from == to {
			return invalid("links."+name, "the names of two different regions as from>to", quoted(name))
		}
		if c.Links[name].Rate <= 0 {
			return invalid("links."+name+".rate", "more than 0 bytes per second", c.Links[name].Rate)
		}
	}
	return nil
}

func checkKinds(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Kinds) {
		if err := checkKind(c, "kinds."+name, c.Kinds[name]); err != nil {
			return err
		}
		if c.GroupOf(name) == "" {
			return invalid("kinds."+name, "a group that serves the kind", "none")
		}
	}
	return nil
}

func checkKind(c *daisygap.Configuration, field string, k daisygap.Kind) error {
	switch {
	case k.Rank < daisygap.Urgent || k.Rank >= daisygap.RankCount:
		return invalid(field+".rank", "urgent, normal or background", k.Rank)
	case k.TargetLatency <= 0 || k.TargetLatency > maxDeadline:
		return invalid(field+".target", fmt.Sprintf("milliseconds from 1 to %d", maxDeadline), k.TargetLatency)
	case k.MaxDeadline < k.TargetLatency || k.MaxDeadline > maxDeadline:
		return invalid(field+".most", fmt.Sprintf("milliseconds from the target to %d", maxDeadline), k.MaxDeadline)
	case k.Floor < 0 || k.Floor > 1:
		return invalid(field+".floor", "a fraction from 0 to 1", k.Floor)
	case k.Worth < 0:
		return invalid(field+".worth", "a number of at least 0", k.Worth)
	case k.QueueLimit < 1 || k.QueueLimit > 100_000:
		return invalid(field+".queue", "a number of requests from 1 to 100000", k.QueueLimit)
	case k.RetryRatio < 0 || k.RetryRatio > 1:
		return invalid(field+".retry", "a fraction of the first attempts from 0 to 1", k.RetryRatio)
	case len(k.Match) == 0:
		return invalid(field+".match", "at least one matcher", "none")
	}
	for _, d := range k.Domains {
		if _, ok := c.Domains[d]; !ok {
			return invalid(field+".domains", "names of domains", quoted(d))
		}
	}
	for _, d := range sortedNames(k.SlotLimits) {
		if _, ok := c.Domains[d]; !ok {
			return invalid(field+".take", "names of domains", quoted(d))
		}
		if k.SlotLimits[d] < 0 {
			return invalid(field+".take."+d, "at least 0 slots", k.SlotLimits[d])
		}
	}
	for _, m := range k.Match {
		if m.Path != "" && !strings.HasPrefix(m.Path, "/") {
			return invalid(field+".match.path", "a prefix that starts with /", quoted(m.Path))
		}
		if strings.HasPrefix(m.Path, "/v1/lookup") {
			return invalid(field+".match.path", "a path other than the lookup path", quoted(m.Path))
		}
	}
	return nil
}

func checkGroups(c *daisygap.Configuration) error {
	groupOf := make(map[string]string)
	for _, name := range sortedNames(c.Groups) {
		g := c.Groups[name]
		floors := 0.0
		for _, kind := range g.Kinds {
			if _, ok := c.Kinds[kind]; !ok {
				return invalid("groups."+name+".kinds", "names of kinds", quoted(kind))
			}
			if other, exists := groupOf[kind]; exists {
				return invalid("groups."+name+".kinds", "each kind in one group only", kind+" is in "+other+" too")
			}
			groupOf[kind] = name
			floors += c.Kinds[kind].Floor
		}
		if floors > 1 {
			return invalid("groups."+name+".kinds", "kinds whose floors sum to at most 1", floors)
		}
		if g.WarmUp < 0 {
			return invalid("groups."+name+".warm", "at least 0 milliseconds", g.WarmUp)
		}
		if g.MaxEjectedRatio < 0 || g.MaxEjectedRatio > 1 {
			return invalid("groups."+name+".eject", "a fraction of the upstreams from 0 to 1", g.MaxEjectedRatio)
		}
	}
	return nil
}

func checkUpstreams(c *daisygap.Configuration) error {
	byAddress := make(map[string]string)
	for _, name := range sortedNames(c.Upstreams) {
		u := c.Upstreams[name]
		field := "upstreams." + name
		if _, ok := c.Groups[u.Group]; !ok {
			return invalid(field+".group", "the name of a group", quoted(u.Group))
		}
		if _, ok := c.Domains[u.Domain]; !ok {
			return invalid(field+".domain", "the name of a domain", quoted(u.Domain))
		}
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			return invalid(field+".address", "an IP address and port", quoted(u.Address))
		}
		if other, exists := byAddress[u.Address]; exists {
			return invalid(field+".address", "an address that no other upstream has", "that of "+other)
		}
		byAddress[u.Address] = name
		if u.Slots < 1 {
			return invalid(field+".slots", "at least 1 slot", u.Slots)
		}
		if u.Connections < u.Slots {
			return invalid(field+".connections", "at least as many connections as slots", u.Connections)
		}
	}
	return nil
}

// checkDomainChanges rejects a version in which an upstream changes its domain, because daemons of the old domain may
// still hold shares of the upstream.
func checkDomainChanges(before, after *daisygap.Configuration) error {
	domains := make(map[string]string, len(before.Upstreams))
	for _, u := range before.Upstreams {
		domains[u.Address] = u.Domain
	}
	for _, name := range sortedNames(after.Upstreams) {
		u := after.Upstreams[name]
		if d, ok := domains[u.Address]; ok && d != u.Domain {
			return invalid("upstreams."+name+".domain", "the current domain ("+d+"); remove the upstream in one patch and add it in a later one", u.Domain)
		}
	}
	return nil
}

func checkSites(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Sites) {
		if _, ok := c.Regions[c.Sites[name].Region]; !ok {
			return invalid("sites."+name+".region", "the name of a region", quoted(c.Sites[name].Region))
		}
	}
	return nil
}

func checkDrains(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Drains.Upstreams) {
		if _, ok := c.Upstreams[name]; !ok {
			return invalid("drains.upstreams", "names of upstreams", quoted(name))
		}
	}
	for _, name := range sortedNames(c.Drains.Domains) {
		if _, ok := c.Domains[name]; !ok {
			return invalid("drains.domains", "names of domains", quoted(name))
		}
	}
	for _, name := range sortedNames(c.Drains.Regions) {
		if _, ok := c.Regions[name]; !ok {
			return invalid("drains.regions", "names of regions", quoted(name))
		}
	}
	return nil
}

func checkKeys(c *daisygap.Configuration) error {
	for _, name := range sortedNames(c.Keys) {
		key, err := base64.StdEncoding.DecodeString(c.Keys[name])
		if err != nil || len(key) < minKeyBytes {
			return &daisygap.FieldError{Field: "keys." + name, Want: fmt.Sprintf("at least %d bytes in base64", minKeyBytes)}
		}
		if strings.ContainsAny(name, ".") || len(name) > 16 {
			return invalid("keys."+name, "a name of at most 16 characters without a dot", quoted(name))
		}
	}
	if _, ok := c.Keys[c.SigningKey]; !ok {
		return invalid("sign", "the name of a key in keys", quoted(c.SigningKey))
	}
	return nil
}
