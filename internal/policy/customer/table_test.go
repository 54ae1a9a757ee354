package customer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func keys(list ...daisygap.CustomerKey) []daisygap.CustomerKey { return list }

func TestFind(t *testing.T) {
	table := New([]daisygap.Customer{
		{Name: "a", Keys: keys("1", "2", "2", "")}, {Name: "b", Keys: keys("2", "3", "1")}, {Name: "c"}, {Name: "d", Keys: keys("3")},
	})
	got := make(map[daisygap.CustomerKey]string)
	for _, key := range keys("", "1", "2", "3", "4", daisygap.CustomerKey(strings.Repeat("1", 8<<10))) {
		if c := table.Find(key); c != nil {
			got[key] = c.Name
		}
	}
	if diff := cmp.Diff(map[daisygap.CustomerKey]string{"1": "a", "2": "a", "3": "b"}, got); diff != "" {
		t.Errorf("customers by key (-want +got):\n%s", diff)
	}
	want := []SharedKey{{Owner: "a", Other: "b"}, {Owner: "a", Other: "b"}, {Owner: "b", Other: "d"}}
	if diff := cmp.Diff(want, table.SharedKeys()); diff != "" {
		t.Errorf("shared keys (-want +got):\n%s", diff)
	}
}

func TestRoute(t *testing.T) {
	tests := []struct {
		name         string
		routeRegions []string
		customer     *daisygap.Customer
		wantPriority int
		wantRegions  []string
		wantAllowed  bool
	}{
		{name: "no customer", routeRegions: []string{"n"}, wantPriority: 2, wantRegions: []string{"n"}, wantAllowed: true},
		{name: "customer without own values", customer: &daisygap.Customer{Priority: 7}, wantPriority: 2, wantAllowed: true},
		{name: "priority 0", customer: &daisygap.Customer{HasPriority: true}, wantPriority: 0, wantAllowed: true},
		{
			name: "lower priority", routeRegions: []string{"n"}, customer: &daisygap.Customer{Priority: 3, HasPriority: true},
			wantPriority: 3, wantRegions: []string{"n"}, wantAllowed: true,
		},
		{
			name: "regions of the customer alone", customer: &daisygap.Customer{AllowedRegions: []string{"n", "s"}},
			wantPriority: 2, wantRegions: []string{"n", "s"}, wantAllowed: true,
		},
		{
			name: "regions of both", routeRegions: []string{"n", "s"}, customer: &daisygap.Customer{AllowedRegions: []string{"w", "s"}},
			wantPriority: 2, wantRegions: []string{"s"}, wantAllowed: true,
		},
		{name: "no common region", routeRegions: []string{"n"}, customer: &daisygap.Customer{AllowedRegions: []string{"s"}}},
		{
			name: "empty lists allow all", routeRegions: []string{}, customer: &daisygap.Customer{AllowedRegions: []string{}, Priority: 1, HasPriority: true},
			wantPriority: 1, wantAllowed: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(nil)
			route := &daisygap.Route{Name: "r", Priority: 2, AllowedRegions: tt.routeRegions}
			// The second call returns the cached route.
			for range 2 {
				got, allowed := table.Route(route, tt.customer)
				if allowed != tt.wantAllowed {
					t.Fatalf("allowed %t, want %t", allowed, tt.wantAllowed)
				}
				if !allowed {
					continue
				}
				if diff := cmp.Diff(tt.wantRegions, append([]string(nil), got.AllowedRegions...)); diff != "" || got.Priority != tt.wantPriority || got.Name != "r" {
					t.Errorf("priority %d, want %d; regions (-want +got):\n%s", got.Priority, tt.wantPriority, diff)
				}
			}
			if route.Priority != 2 {
				t.Error("the route of the configuration was changed")
			}
		})
	}
}

// TestRouteCacheIsBounded guards against memory that grows with the number of customers and their requests.
func TestRouteCacheIsBounded(t *testing.T) {
	route := &daisygap.Route{Name: "r"}
	for name, tt := range map[string]struct {
		priority func(i int) int
		want     int64
	}{
		"few priorities":  {func(i int) int { return i % 5 }, 10},
		"many priorities": {func(i int) int { return i }, maxCachedRoutes},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(nil)
			for i := range 20_000 {
				c := &daisygap.Customer{Priority: tt.priority(i), HasPriority: true}
				if i%2 == 0 {
					c.AllowedRegions = []string{"n", "s"}
				}
				if got, _ := table.Route(route, c); got.Priority != c.Priority || len(got.AllowedRegions) != len(c.AllowedRegions) {
					t.Fatalf("route %+v for %+v", got, c)
				}
			}
			if got := table.cached.Load(); got != tt.want {
				t.Errorf("%d cached routes, want %d", got, tt.want)
			}
		})
	}
}

// TestKeysFormatRedacted guards against a key in a log line or an error that formats a customer.
func TestKeysFormatRedacted(t *testing.T) {
	c := daisygap.Customer{Name: "a", Keys: keys("secret")}
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		if text := fmt.Sprintf(format, c); strings.Contains(text, "secret") {
			t.Errorf("%s formats the key: %s", format, text)
		}
	}
}

func manyCustomers(count int) []daisygap.Customer {
	list := make([]daisygap.Customer, count)
	for i := range list {
		list[i] = daisygap.Customer{Name: fmt.Sprintf("customer-%d", i), Keys: keys(manyKey(i))}
	}
	return list
}

func manyKey(i int) daisygap.CustomerKey {
	return daisygap.CustomerKey(fmt.Sprintf("%032x", i*2_654_435_761))
}

func TestFindAllocatesNothing(t *testing.T) {
	table := New(manyCustomers(1_000))
	if n := testing.AllocsPerRun(100, func() { table.Find("unknown") }); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

// BenchmarkFind measures the lookup of keys of 32 bytes among 100,000, in an order that no cache knows.
func BenchmarkFind(b *testing.B) {
	const count = 100_000
	table := New(manyCustomers(count))
	sent := make([]daisygap.CustomerKey, count)
	for i := range sent {
		sent[i] = manyKey(i * 7_919 % count)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if table.Find(sent[i%count]) == nil {
			b.Fatal("no customer")
		}
		i++
	}
}
