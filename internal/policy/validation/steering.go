package validation

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/daisygap/daisygap"
)

// The round trips that a target latency must exceed: twice the 8 ms of the longest way between a caller and its daemon, and twice the 35 ms
// between regions.
const (
	callerRoundTrip = daisygap.Millis(16)
	regionRoundTrip = daisygap.Millis(70)
)

// Facts are what is known of a deployment beside its configuration.
type Facts struct {
	// Domains maps each failure domain to its region. It is empty if the domains are unknown.
	Domains map[string]string
	// Instances are the registered upstreams, if HasInstances is set.
	Instances    []*daisygap.Instance
	HasInstances bool
}

// checker collects the findings of one configuration.
type checker struct {
	config   *daisygap.SteeringConfig
	facts    Facts
	findings []daisygap.Finding
	// regions are the regions of the domains, and upstreams counts the upstreams by pool and region.
	regions   map[string]bool
	upstreams map[string]map[string]int
}

// CheckSteering returns the findings in a configuration, without those that only its encoding shows.
func CheckSteering(config *daisygap.SteeringConfig, facts Facts) []daisygap.Finding {
	c := &checker{config: config, facts: facts, regions: make(map[string]bool), upstreams: make(map[string]map[string]int)}
	for _, region := range facts.Domains {
		c.regions[region] = true
	}
	for _, i := range facts.Instances {
		if c.upstreams[i.Pool] == nil {
			c.upstreams[i.Pool] = make(map[string]int)
		}
		c.upstreams[i.Pool][facts.Domains[i.Domain]]++
	}
	c.checkDropped()
	c.checkLimits()
	c.checkServices()
	c.checkRoutes()
	c.checkCustomers()
	c.checkRegions()
	return c.findings
}

func (c *checker) fail(rule, table, name, field, format string, args ...any) {
	c.add(daisygap.SeverityError, rule, table, name, field, format, args...)
}

func (c *checker) warn(rule, table, name, field, format string, args ...any) {
	c.add(daisygap.SeverityWarning, rule, table, name, field, format, args...)
}

func (c *checker) add(severity daisygap.Severity, rule, table, name, field, format string, args ...any) {
	c.findings = append(c.findings, daisygap.Finding{
		Severity: severity, Rule: rule, Table: table, Name: name, Field: field, Text: fmt.Sprintf(format, args...),
	})
}

// checkDropped reports the rows that daemons drop. The name of a dropped customer is shown only if the version in force has that customer:
// in a row with swapped columns it may be a key.
func (c *checker) checkDropped() {
	for _, d := range c.config.Dropped {
		name := d.Name
		if d.Table == daisygap.TableCustomers && !d.Kept {
			name = ""
		}
		consequence := "daemons drop it"
		if d.Kept {
			consequence = "daemons keep the version in force"
		}
		c.fail("invalid_row", d.Table, name, "", "%s; %s", d.Reason, consequence)
	}
}

func (c *checker) checkLimits() {
	l := c.config.Limits
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.fail("header_timeout_over_idle_timeout", daisygap.TableLimits, "", daisygap.LimitHeaderTimeout,
			"%d ms is over the idle timeout of %d ms", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.HeaderBytes < 0 {
		c.fail("negative_limit", daisygap.TableLimits, "", daisygap.LimitHeaderBytes, "expected at least 0, found %d", l.HeaderBytes)
	}
	if l.BodyBytes < 0 {
		c.fail("negative_limit", daisygap.TableLimits, "", daisygap.LimitBodyBytes, "expected at least 0, found %d", l.BodyBytes)
	}
}

// checkServices reports services without requests, and limits that no service can have.
func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.config.Routes {
		for _, p := range r.Split {
			used[p.Pool] = true
		}
	}
	for _, name := range sortedKeys(c.config.Pools) {
		p := c.config.Pools[name]
		if !used[name] {
			c.warn("unused_service", daisygap.TableServices, name, "", "no route refers to this service")
		}
		if p.Connections < 0 {
			c.fail("negative_limit", daisygap.TableServices, name, "connections", "expected at least 0, found %d", p.Connections)
		}
		if p.ColdRate < 0 {
			c.fail("negative_limit", daisygap.TableServices, name, "cold_rate", "expected at least 0, found %g", p.ColdRate)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool, len(c.config.Routes))
	first := make(map[[2]string]string, len(c.config.Routes))
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if names[r.Name] {
			c.warn("repeated_name", daisygap.TableRoutes, r.Name, "name", "another route has the same name")
		}
		names[r.Name] = true
		c.checkMatch(r, first)
		c.checkTimes(r)
		c.checkSplit(r)
	}
}

// checkMatch reports routes that match no request. Of several routes with the same host and prefix daemons use the first, and they compare
// prefixes that start and end with a slash and hosts without a port.
func (c *checker) checkMatch(r *daisygap.Route, first map[[2]string]string) {
	switch {
	case r.Host == "":
		c.warn("unreachable_route", daisygap.TableRoutes, r.Name, "host", "the route can never match: it has no host")
	case strings.Contains(r.Host, ":"):
		c.warn("unreachable_route", daisygap.TableRoutes, r.Name, "host", "the route can never match: hosts are compared without a port, found %q", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.warn("unreachable_route", daisygap.TableRoutes, r.Name, "prefix",
			"the route can never match: a prefix must start and end with a slash, found %q", r.Prefix)
	}
	key := [2]string{strings.ToLower(r.Host), r.Prefix}
	if other, exists := first[key]; exists {
		c.warn("unreachable_route", daisygap.TableRoutes, r.Name, "prefix",
			"the route can never match: route %q before it has the same host and prefix", other)
		return
	}
	first[key] = r.Name
}

func (c *checker) checkTimes(r *daisygap.Route) {
	switch {
	case r.Timeout <= 0:
		c.fail("no_timeout", daisygap.TableRoutes, r.Name, "timeout", "expected a duration above 0: every request would exceed its deadline")
	case r.Timeout < r.TargetLatency:
		c.fail("timeout_under_target", daisygap.TableRoutes, r.Name, "timeout", "%d ms is under the target latency of %d ms", r.Timeout, r.TargetLatency)
	}
	switch {
	case r.TargetLatency <= 0:
	case r.TargetLatency < callerRoundTrip:
		c.warn("target_under_round_trip", daisygap.TableRoutes, r.Name, "target",
			"%d ms is under the round trip of up to %d ms to callers", r.TargetLatency, callerRoundTrip)
	case r.TargetLatency < regionRoundTrip && c.crossesRegions(r):
		c.warn("target_under_round_trip", daisygap.TableRoutes, r.Name, "target",
			"%d ms is under the round trip of %d ms between regions, which requests from outside its regions need", r.TargetLatency, regionRoundTrip)
	}
}

// crossesRegions reports whether the route's regions may force requests into another region.
func (c *checker) crossesRegions(r *daisygap.Route) bool {
	if len(r.AllowedRegions) == 0 {
		return false
	}
	for region := range c.regions {
		if !slices.Contains(r.AllowedRegions, region) {
			return true
		}
	}
	return len(c.regions) == 0
}

// checkSplit checks the services of a route and the upstreams that can serve it.
func (c *checker) checkSplit(r *daisygap.Route) {
	total := 0.0
	fewest := -1
	for _, p := range r.Split {
		total += max(p.Weight, 0)
		if p.Pool == "" {
			c.fail("no_service", daisygap.TableRoutes, r.Name, "service", "the route names no service")
			continue
		}
		if _, ok := c.config.Pools[p.Pool]; !ok {
			c.warn("unknown_service", daisygap.TableRoutes, r.Name, "service", "the table of services has no %q", p.Pool)
		}
		if len(r.Split) > 1 && p.Weight <= 0 {
			c.warn("no_weight", daisygap.TableRoutes, r.Name, "split", "%q gets no requests: its weight is %g", p.Pool, p.Weight)
		}
		if !c.facts.HasInstances {
			continue
		}
		count := c.countUpstreams(p.Pool, r.AllowedRegions)
		if count == 0 {
			c.warn("no_upstreams", daisygap.TableRoutes, r.Name, "regions", "no upstream of %q is registered where the route is allowed", p.Pool)
		}
		if fewest < 0 || count < fewest {
			fewest = count
		}
	}
	if len(r.Split) > 1 && total == 0 {
		c.fail("no_weight", daisygap.TableRoutes, r.Name, "split", "no service has a weight above 0")
	}
	if fewest > 0 && r.MaxAttempts > fewest {
		c.warn("attempts_over_upstreams", daisygap.TableRoutes, r.Name, "attempts", "%d attempts, but only %d upstreams", r.MaxAttempts, fewest)
	}
}

// countUpstreams returns the number of upstreams of a pool in the given regions, or in all if there are none or the
// upstreams' regions are unknown.
func (c *checker) countUpstreams(pool string, regions []string) int {
	n := 0
	for region, count := range c.upstreams[pool] {
		if len(regions) == 0 || len(c.regions) == 0 || slices.Contains(regions, region) {
			n += count
		}
	}
	return n
}

// checkRegions reports regions without any upstream.
func (c *checker) checkRegions() {
	if !c.facts.HasInstances {
		return
	}
	for _, region := range sortedKeys(c.regions) {
		n := 0
		for _, byRegion := range c.upstreams {
			n += byRegion[region]
		}
		if n == 0 {
			c.warn("region_without_upstreams", "regions", region, "", "no upstream is registered in this region")
		}
	}
}

// CheckVersion returns an error if a changed configuration would not replace the version in force, because its own version isn't higher.
func CheckVersion(before, after uint64, changed bool) []daisygap.Finding {
	if after > before || !changed && after == before {
		return nil
	}
	c := &checker{}
	c.fail("version_not_higher", "version", "", "", "%08x is not above %08x, the version in force: daemons would ignore it", after, before)
	return c.findings
}
