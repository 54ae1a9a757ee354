package validation

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// TestRedactorReplacesKeys guards against keys inside other texts, of which a longer one starts like a shorter one.
func TestRedactorReplacesKeys(t *testing.T) {
	r := NewRedactor([]daisygap.CustomerKey{"", "abc", "secret", "secret-long", "クエリ"})
	for text, want := range map[string]string{
		"":                         "",
		"abc":                      Redacted,
		"abcd":                     "abcd",
		"secret":                   Redacted,
		"secret-long":              Redacted,
		"xsecret-longsecretx secr": "x" + Redacted + Redacted + "x secr",
		"secre":                    "secre",
		"クエリ、":                     Redacted + "、",
		"plain text without a key": "plain text without a key",
	} {
		if got := r.Text(text); got != want {
			t.Errorf("%q becomes %q, want %q", text, got, want)
		}
	}
	if got := new(Redactor).Text("secret"); got != "secret" {
		t.Errorf("a redactor without keys returns %q", got)
	}
}

// TestRedactorKeepsOriginal guards against a redaction that changes the configuration it was given.
func TestRedactorKeepsOriginal(t *testing.T) {
	build := func() *daisygap.SteeringConfig {
		return &daisygap.SteeringConfig{
			Routes:    []daisygap.Route{{Name: "secret", AllowedRegions: []string{"secret"}, Split: []daisygap.PoolWeight{{Pool: "secret"}}}},
			Pools:     map[string]daisygap.PoolLimits{"secret": {HealthPath: "/secret"}},
			Customers: []daisygap.Customer{{Name: "secret", AllowedRegions: []string{"secret"}}},
			Dropped:   []daisygap.DroppedRow{{Name: "secret", Reason: "secret"}},
		}
	}
	config := build()
	got := NewRedactor([]daisygap.CustomerKey{"secret"}).Config(config)
	if diff := cmp.Diff(build(), config); diff != "" {
		t.Errorf("original (-want +got):\n%s", diff)
	}
	want := &daisygap.SteeringConfig{
		Routes:    []daisygap.Route{{Name: Redacted, AllowedRegions: []string{Redacted}, Split: []daisygap.PoolWeight{{Pool: Redacted}}}},
		Pools:     map[string]daisygap.PoolLimits{Redacted: {HealthPath: "/" + Redacted}},
		Customers: []daisygap.Customer{{Name: Redacted, AllowedRegions: []string{Redacted}}},
		Dropped:   []daisygap.DroppedRow{{Name: Redacted, Reason: Redacted}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("redacted (-want +got):\n%s", diff)
	}
}

// rules returns the rules and places of findings.
func rules(findings []daisygap.Finding) []string {
	var list []string
	for _, f := range findings {
		list = append(list, fmt.Sprintf("%s %s %s.%s.%s", f.Severity, f.Rule, f.Table, f.Name, f.Field))
	}
	return list
}

// TestUnknownFactsGiveNoFindings guards against warnings about upstreams and regions of which nothing is known.
func TestUnknownFactsGiveNoFindings(t *testing.T) {
	config := &daisygap.SteeringConfig{
		Routes: []daisygap.Route{{
			Name: "r", Host: "a", Prefix: "/", Timeout: 1000, TargetLatency: 200, MaxAttempts: 3, AllowedRegions: []string{"north"},
			Split: []daisygap.PoolWeight{{Pool: "p", Weight: 1}},
		}},
		Pools: map[string]daisygap.PoolLimits{"p": {}},
	}
	instances := []*daisygap.Instance{{ID: "1", Pool: "p", Domain: "s-1"}, {ID: "2", Pool: "p", Domain: "s-1"}}
	tests := []struct {
		name  string
		facts Facts
		want  []string
	}{
		{"nothing", Facts{}, nil},
		{"upstreams of unknown regions", Facts{Instances: instances, HasInstances: true}, []string{"warning attempts_over_upstreams routes.r.attempts"}},
		{"regions", Facts{Domains: map[string]string{"s-1": "south"}}, []string{"warning region_without_upstreams routes.r.regions"}},
		{"both", Facts{Domains: map[string]string{"s-1": "south", "n-1": "north"}, Instances: instances, HasInstances: true}, []string{
			"warning no_upstreams routes.r.regions", "warning region_without_upstreams regions.north.",
		}},
		{"no upstreams at all", Facts{HasInstances: true}, []string{"warning no_upstreams routes.r.regions"}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, rules(CheckSteering(config, tt.facts))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestCustomersWithoutUpstreams guards against a customer whose regions have no upstream for a route that others can use.
func TestCustomersWithoutUpstreams(t *testing.T) {
	route := func(name, pool string, regions ...string) daisygap.Route {
		return daisygap.Route{
			Name: name, Host: "a", Prefix: "/" + name + "/", Timeout: 1000, TargetLatency: 200, MaxAttempts: 1, AllowedRegions: regions,
			Split: []daisygap.PoolWeight{{Pool: pool, Weight: 1}},
		}
	}
	keys := func(key daisygap.CustomerKey) []daisygap.CustomerKey { return []daisygap.CustomerKey{key} }
	config := &daisygap.SteeringConfig{
		Routes: []daisygap.Route{route("all", "p"), route("north", "p", "north"), route("south", "q", "south", "north")},
		Pools:  map[string]daisygap.PoolLimits{"p": {}, "q": {}}, NeedsKeys: true,
		Customers: []daisygap.Customer{
			{Name: "everywhere", Keys: keys("1")},
			{Name: "in-north", Keys: keys("2"), AllowedRegions: []string{"north"}},
			{Name: "in-south", Keys: keys("3"), AllowedRegions: []string{"south"}},
		},
	}
	facts := Facts{
		Domains:   map[string]string{"n-1": "north", "s-1": "south"},
		Instances: []*daisygap.Instance{{ID: "1", Pool: "p", Domain: "n-1"}, {ID: "2", Pool: "q", Domain: "s-1"}}, HasInstances: true,
	}
	want := []string{
		"warning no_upstreams customers.in-north.regions", "warning empty_regions customers.in-south.regions", "warning no_upstreams customers.in-south.regions",
	}
	if diff := cmp.Diff(want, rules(CheckSteering(config, facts))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestHostsOfMatchesIgnoreCase guards against a match that is unreachable because of another one with the same host in other case.
func TestHostsOfMatchesIgnoreCase(t *testing.T) {
	kind := func(host, method string) daisygap.Kind {
		return daisygap.Kind{TargetLatency: 500, Match: []daisygap.Match{{Host: host, Method: method, Path: "/"}}}
	}
	config := &daisygap.Configuration{
		Kinds:     map[string]daisygap.Kind{"a": kind("h.example", ""), "b": kind("H.example", ""), "c": kind("h.example", "GET")},
		Groups:    map[string]daisygap.Group{"g": {Kinds: []string{"a", "b", "c"}}},
		Upstreams: map[string]daisygap.Upstream{"u": {Group: "g", Domain: "d"}},
	}
	if diff := cmp.Diff([]string{"warning unreachable_match kinds.b.match"}, rules(CheckEntry(config))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestKeyChangesAreCounted guards against a replaced key that the comparison doesn't show, and against a shown key.
func TestKeyChangesAreCounted(t *testing.T) {
	customer := func(keys ...daisygap.CustomerKey) *daisygap.SteeringConfig {
		return &daisygap.SteeringConfig{Customers: []daisygap.Customer{{Name: "u", Keys: keys}}}
	}
	tests := []struct {
		before, after *daisygap.SteeringConfig
		want          []daisygap.ConfigChange
	}{
		{customer("a", "b"), customer("b", "a"), nil},
		{customer("a", "b"), customer("a", "c"), []daisygap.ConfigChange{{Table: "customers", Name: "u", Field: "keys", Old: "2 keys", New: "2 keys (1 added, 1 removed)"}}},
		{customer("a", "b"), customer("a"), []daisygap.ConfigChange{{Table: "customers", Name: "u", Field: "keys", Old: "2 keys", New: "1 key (0 added, 1 removed)"}}},
		{customer(), customer("a"), []daisygap.ConfigChange{{Table: "customers", Name: "u", Field: "keys", Old: "0 keys", New: "1 key (1 added, 0 removed)"}}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, CompareSteering(tt.before, tt.after)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
}

// TestRepeatedNamesAreCompared guards against rows of the same name that hide each other in the comparison.
func TestRepeatedNamesAreCompared(t *testing.T) {
	route := func(prefix string) daisygap.Route { return daisygap.Route{Name: "r", Prefix: prefix} }
	got := CompareSteering(
		&daisygap.SteeringConfig{Routes: []daisygap.Route{route("/a/"), route("/b/"), route("/c/")}},
		&daisygap.SteeringConfig{Routes: []daisygap.Route{route("/a/"), route("/x/")}},
	)
	want := []daisygap.ConfigChange{
		{Table: "routes", Name: "r", Field: "prefix", Old: "/b/", New: "/x/"},
		{Table: "routes", Name: "r", Old: "(removed)"},
		{Table: "routes", Name: "r", Field: "prefix", Old: "/c/"},
		{Table: "routes", Name: "r", Field: "kind", Old: "unsafe"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestCheckVersion(t *testing.T) {
	tests := []struct {
		before, after uint64
		changed, want bool
	}{{1, 2, true, true}, {1, 2, false, true}, {2, 2, false, true}, {2, 2, true, false}, {2, 1, false, false}, {2, 1, true, false}}
	for _, tt := range tests {
		if got := len(CheckVersion(tt.before, tt.after, tt.changed)) == 0; got != tt.want {
			t.Errorf("%+v: accepted %v", tt, got)
		}
	}
}
