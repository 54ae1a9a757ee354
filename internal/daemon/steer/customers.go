package steer

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/customer"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// maxNamedCustomers is the number of customers with metrics of their own.
const maxNamedCustomers = 20

// forbiddenRetryAfter is the Retry-After for a request that no region may serve. Only a new configuration can change that.
const forbiddenRetryAfter = daisygap.Millis(5_000)

// customerUsage counts the requests of customers, for the metrics.
var customerUsage = customer.Usage{Limit: maxNamedCustomers}

func init() {
	metrics.RegisterMetricsWriter(writeCustomerMetrics)
}

// labelEscapes escapes the value of a label in the Prometheus text format.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeCustomerMetrics writes the counts of customers in the Prometheus text format.
func writeCustomerMetrics(w io.Writer) {
	counts := customerUsage.Snapshot()
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		label := labelEscapes.Replace(name)
		_, _ = fmt.Fprintf(w, "daisygap_customer_requests_total{customer=\"%s\"} %d\n", label, counts[name].Requests)
		_, _ = fmt.Fprintf(w, "daisygap_customer_refusals_total{customer=\"%s\"} %d\n", label, counts[name].Refused)
	}
}

// matchCustomer sets the request's customer and applies the customer's priority and regions to the route. It refuses a request without a
// known key on a route that isn't public, or one that no region may serve, and returns false then.
func (e *exchange) matchCustomer() bool {
	e.customer = e.snapshot.customers.Find(e.head.Key)
	if e.customer == nil && !e.route.Public {
		e.refuse(http.StatusUnauthorized, daisygap.ReasonUnknownKey, placement.Choice{})
		return false
	}
	if e.customer != nil {
		customerUsage.Add(e.customer.Name, e.started)
	}
	route, allowed := e.snapshot.customers.Route(e.route, e.customer)
	if !allowed {
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonForbiddenRegion, placement.Choice{RetryAfter: forbiddenRetryAfter})
		return false
	}
	e.route = route
	return true
}

// logSharedKeys logs the customers that have a key in common.
func (d *Daemon) logSharedKeys(version uint64, shared []customer.SharedKey) {
	for _, s := range shared {
		d.event("shared key", "shared key", func() daisygap.Fields {
			return daisygap.Fields{"version": version, "customer": s.Owner, "other": s.Other}
		})
	}
}
