package validation

import (
	"fmt"
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/customer"
)

// allowancePeriod is the number of seconds in which a customer must be allowed at least one request: that of the bound on allowances.
const allowancePeriod = 5

// shownNames is the number of routes that one finding names.
const shownNames = 3

func (c *checker) checkCustomers() {
	s := c.config
	c.checkNamedRegions()
	if !s.NeedsKeys {
		return
	}
	names := make(map[string]bool, len(s.Customers))
	checked := make(map[string][]regionFinding)
	anyKey := false
	for i := range s.Customers {
		u := &s.Customers[i]
		if names[u.Name] {
			c.warn("repeated_name", daisygap.TableCustomers, u.Name, "name", "another customer has the same name")
		}
		names[u.Name] = true
		anyKey = c.checkCustomerKeys(u) || anyKey
		c.checkAllowance(u)
		if len(u.AllowedRegions) > 0 {
			// Customers with the same regions share the result, so that the time doesn't grow with customers times routes.
			key := strings.Join(u.AllowedRegions, "\x00")
			list, known := checked[key]
			if !known {
				list = c.checkCustomerRegions(u)
				checked[key] = list
			}
			for _, f := range list {
				c.warn(f.rule, daisygap.TableCustomers, u.Name, "regions", "%s", f.text)
			}
		}
	}
	if !anyKey {
		c.warn("no_keys", daisygap.TableCustomers, "", "keys", "no customer has a usable key: every request on a route that isn't public gets 401")
	}
	reported := make(map[customer.SharedKey]bool)
	for _, shared := range customer.New(s.Customers).SharedKeys() {
		if reported[shared] {
			continue
		}
		reported[shared] = true
		c.warn("shared_key", daisygap.TableCustomers, shared.Other, "keys", "customer %q before it has one of its keys and gets its requests", shared.Owner)
	}
}

// checkCustomerKeys reports whether the customer has a key that a request can carry.
func (c *checker) checkCustomerKeys(u *daisygap.Customer) bool {
	if len(u.Keys) == 0 {
		c.warn("customer_without_keys", daisygap.TableCustomers, u.Name, "keys", "no request can be this customer's: it has no key")
		return false
	}
	usable := 0
	for _, key := range u.Keys {
		if isSendable(string(key)) {
			usable++
		}
	}
	if usable < len(u.Keys) {
		c.warn("unusable_key", daisygap.TableCustomers, u.Name, "keys",
			"%d of %d keys can never match: empty, or with control characters or outer spaces", len(u.Keys)-usable, len(u.Keys))
	}
	return usable > 0
}

// isSendable reports whether a key arrives unchanged in a header.
func isSendable(key string) bool {
	for i := range len(key) {
		if key[i] < ' ' || key[i] == 0x7f {
			return false
		}
	}
	return key != "" && strings.TrimSpace(key) == key
}

func (c *checker) checkAllowance(u *daisygap.Customer) {
	switch {
	case u.Rate > 0 && u.Rate*allowancePeriod+u.Burst < 1:
		c.fail("allowance_under_one", daisygap.TableCustomers, u.Name, "rate",
			"%g requests per second with a burst of %g allow less than one request in %d s", u.Rate, u.Burst, allowancePeriod)
	case u.Rate == 0 && u.Burst > 0:
		c.warn("burst_without_rate", daisygap.TableCustomers, u.Name, "burst", "without a rate the customer has no limit, and the burst no effect")
	}
}

// regionFinding is a finding that all customers with the same regions have.
type regionFinding struct {
	rule string
	text string
}

// checkCustomerRegions finds the routes on which no region is allowed to both the route and the customer, and those without an upstream in such
// a region.
func (c *checker) checkCustomerRegions(u *daisygap.Customer) []regionFinding {
	var forbidden, unserved []string
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		regions := u.AllowedRegions
		if len(r.AllowedRegions) > 0 {
			regions = slices.DeleteFunc(slices.Clone(r.AllowedRegions), func(region string) bool { return !slices.Contains(u.AllowedRegions, region) })
		}
		switch {
		case len(regions) == 0:
			forbidden = append(forbidden, r.Name)
		case c.facts.HasInstances && !c.isServed(r, regions):
			unserved = append(unserved, r.Name)
		}
	}
	var list []regionFinding
	if len(forbidden) > 0 {
		list = append(list, regionFinding{"empty_regions", fmt.Sprintf(
			"requests are refused with forbidden_region on %d of %d routes, which allow none of the customer's regions: %s",
			len(forbidden), len(c.config.Routes), shorten(forbidden),
		)})
	}
	if len(unserved) > 0 {
		list = append(list, regionFinding{"no_upstreams", fmt.Sprintf(
			"no upstream is registered in the customer's regions for %d of %d routes: %s", len(unserved), len(c.config.Routes), shorten(unserved),
		)})
	}
	return list
}

// isServed reports whether a service of the route has an upstream in one of the regions.
func (c *checker) isServed(r *daisygap.Route, regions []string) bool {
	return slices.ContainsFunc(r.Split, func(p daisygap.PoolWeight) bool { return c.countUpstreams(p.Pool, regions) > 0 })
}

// shorten joins the first names and says how many are left out.
func shorten(names []string) string {
	if len(names) <= shownNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:shownNames], ", "), len(names)-shownNames)
}

// checkNamedRegions reports regions of routes and customers to which no failure domain belongs.
func (c *checker) checkNamedRegions() {
	if len(c.regions) == 0 {
		return
	}
	check := func(table, name string, regions []string) {
		for _, region := range regions {
			if !c.regions[region] {
				c.warn("region_without_upstreams", table, name, "regions", "no domain of the settings is in region %q", region)
			}
		}
	}
	for i := range c.config.Routes {
		check(daisygap.TableRoutes, c.config.Routes[i].Name, c.config.Routes[i].AllowedRegions)
	}
	for i := range c.config.Customers {
		check(daisygap.TableCustomers, c.config.Customers[i].Name, c.config.Customers[i].AllowedRegions)
	}
}
