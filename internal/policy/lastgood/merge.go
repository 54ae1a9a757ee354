package lastgood

import (
	"maps"
	"slices"

	"github.com/daisygap/daisygap"
)

// Merge returns a configuration in which the rows that could not be decoded are replaced by those of the same name in previous, the version
// in force, which may be nil. Rows that are missing, or that have a valid row of their name beside them, are not replaced. If a whole table
// could not be read, all its previous rows stay. The replacements come last, so that the rows of the new version win where both match.
func Merge(next, previous *daisygap.SteeringConfig) *daisygap.SteeringConfig {
	if len(next.Dropped) == 0 || previous == nil {
		return next
	}
	merged := *next
	merged.Pools = maps.Clone(next.Pools)
	merged.Routes, merged.Customers = slices.Clone(next.Routes), slices.Clone(next.Customers)
	merged.Dropped = slices.Clone(next.Dropped)
	if merged.Pools == nil {
		merged.Pools = make(map[string]daisygap.PoolLimits)
	}
	routes := namesOf(next.Routes, func(r daisygap.Route) string { return r.Name })
	customers := namesOf(next.Customers, func(c daisygap.Customer) string { return c.Name })
	for i := range merged.Dropped {
		d := &merged.Dropped[i]
		switch d.Table {
		case daisygap.TableRoutes:
			d.Kept = keep(&merged.Routes, previous.Routes, *d, routes, func(r daisygap.Route) string { return r.Name })
		case daisygap.TableCustomers:
			d.Kept = keep(&merged.Customers, previous.Customers, *d, customers, func(c daisygap.Customer) string { return c.Name })
		case daisygap.TableServices:
			d.Kept = keepPools(merged.Pools, previous.Pools, *d)
		case daisygap.TableLimits:
			d.Kept = keepLimits(&merged.Limits, previous.Limits, *d)
		}
	}
	return &merged
}

// namesOf returns the names of the rows of a table.
func namesOf[T any](rows []T, name func(T) string) map[string]bool {
	names := make(map[string]bool, len(rows))
	for _, row := range rows {
		names[name(row)] = true
	}
	return names
}

// keep appends the previous rows that replace a dropped one to rows, unless present has their names. It adds the names to present and reports
// whether there are such rows.
func keep[T any](rows *[]T, previous []T, d daisygap.DroppedRow, present map[string]bool, name func(T) string) bool {
	added := make(map[string]bool)
	for _, row := range previous {
		if n := name(row); (d.Whole || n == d.Name) && !present[n] {
			*rows = append(*rows, row)
			added[n] = true
		}
	}
	maps.Copy(present, added)
	return len(added) > 0
}

func keepPools(pools, previous map[string]daisygap.PoolLimits, d daisygap.DroppedRow) bool {
	kept := false
	for name, limits := range previous {
		if _, present := pools[name]; (d.Whole || name == d.Name) && !present {
			pools[name] = limits
			kept = true
		}
	}
	return kept
}

// keepLimits sets the limit that a dropped row names, or all.
func keepLimits(limits *daisygap.RequestLimits, previous daisygap.RequestLimits, d daisygap.DroppedRow) bool {
	switch {
	case d.Whole:
		*limits = previous
	case d.Name == daisygap.LimitHeaderBytes:
		limits.HeaderBytes = previous.HeaderBytes
	case d.Name == daisygap.LimitBodyBytes:
		limits.BodyBytes = previous.BodyBytes
	case d.Name == daisygap.LimitHeaderTimeout:
		limits.HeaderTimeout = previous.HeaderTimeout
	case d.Name == daisygap.LimitIdleTimeout:
		limits.IdleTimeout = previous.IdleTimeout
	default:
		return false
	}
	return true
}
