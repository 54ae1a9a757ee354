package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// world returns an example deployment with two hosts in each domain and the given loads of the orders group.
func world(t testing.TB, merge string, loads map[string]daisygap.Load) *Topology {
	t.Helper()
	data, err := os.ReadFile("../../../examples/hivecraft/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	state, err := configuration.Parse("c", data, 1)
	if err != nil {
		t.Fatal(err)
	}
	if merge != "" {
		if state, err = state.Apply(daisygap.Patch{Version: 2, Merge: json.RawMessage(merge)}); err != nil {
			t.Fatal(err)
		}
	}
	records := make(map[string]daisygap.DomainRecord)
	for name := range state.Config.Domains {
		load, ok := loads[name]
		if !ok {
			load = daisygap.Load{Slots: 10}
		}
		r := daisygap.DomainRecord{Domain: name, Groups: map[string]daisygap.Load{"orders": load}, Offload: make(map[string]float64)}
		for _, host := range []string{"a", "b"} {
			r.Hosts = append(r.Hosts, daisygap.Host{Name: name + "-" + host, CallerAddress: name + "-" + host + ":80"})
		}
		records[name] = r
	}
	return NewTopology(state, records)
}

func give(w *Topology, domain string, part float64) {
	w.Records[domain].Offload["orders"] = part
}

func TestSplit(t *testing.T) {
	tests := []struct {
		name  string
		merge string
		loads map[string]daisygap.Load
		give  map[string]float64
		lost  []string
		want  []DomainWeight
	}{
		{
			"the region's domains share by slots", "",
			map[string]daisygap.Load{"tbilisi-1": {Slots: 30}},
			nil, nil,
			[]DomainWeight{{"tbilisi-1", 0.75}, {"tbilisi-2", 0.25}},
		},
		{
			"what is given away goes to the nearest free domains", "", nil,
			map[string]float64{"tbilisi-1": 0.5},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.25}, {"tbilisi-2", 0.5}, {"kutaisi-1", 0.125}, {"kutaisi-2", 0.125}},
		},
		{
			"what nobody can take stays in an overload of all", "",
			map[string]daisygap.Load{"tbilisi-1": {Slots: 30}},
			map[string]float64{"tbilisi-1": 1, "tbilisi-2": 1, "kutaisi-1": 1, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.75}, {"tbilisi-2", 0.25}},
		},
		{
			"a part that nobody can take stays, and burdens no other region", "",
			map[string]daisygap.Load{"kutaisi-1": {Slots: 10, Running: 5}},
			map[string]float64{"tbilisi-1": 0.5, "tbilisi-2": 0.5, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.375}, {"tbilisi-2", 0.375}, {"kutaisi-1", 0.25}},
		},
		{
			"what nobody can take never stays with a drained domain", `{"drains":{"domains":{"tbilisi-1":true}}}`,
			nil,
			map[string]float64{"tbilisi-1": 1, "tbilisi-2": 1, "kutaisi-1": 1, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-2", 1}},
		},
		{
			"a busy domain takes nothing", "",
			map[string]daisygap.Load{"kutaisi-1": {Slots: 10, Running: 9}},
			map[string]float64{"tbilisi-1": 0.5},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.25}, {"tbilisi-2", 0.5}, {"kutaisi-2", 0.25}},
		},
		{"a lost domain gets nothing at once", "", nil, nil, []string{"tbilisi-1"}, []DomainWeight{{"tbilisi-2", 1}}},
		{
			"a lost region's work goes to the nearest", "", nil, nil,
			[]string{"tbilisi-1", "tbilisi-2"},
			[]DomainWeight{{"kutaisi-1", 0.5}, {"kutaisi-2", 0.5}},
		},
		{"a kind stays in its domains", `{"kinds":{"orders":{"domains":["batumi-2"]}}}`, nil, nil, nil, []DomainWeight{{"batumi-2", 1}}},
		{
			"a drained host is not named, its domain is", `{"drains":{"hosts":{"tbilisi-1-a":true}}}`, nil, nil, nil,
			[]DomainWeight{{"tbilisi-1", 0.5}, {"tbilisi-2", 0.5}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := world(t, tt.merge, tt.loads)
			for domain, part := range tt.give {
				give(w, domain, part)
			}
			for _, domain := range tt.lost {
				r := w.Records[domain]
				r.Lost = true
				w.Records[domain] = r
			}
			if diff := cmp.Diff(tt.want, w.Split("tbilisi", "orders")); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestGiveMovesByBoundedSteps(t *testing.T) {
	part := 0.0
	for range 20 {
		next := NextOffload(part, daisygap.Load{Slots: 10, Running: 10, Waiting: 5}, false, 0.1)
		if next-part > 0.1001 {
			t.Fatalf("the part given away moved from %.2f to %.2f", part, next)
		}
		part = next
	}
	if part != 1 {
		t.Errorf("an overloaded domain gives %.2f away at last, want all", part)
	}
	if got := NextOffload(0.5, daisygap.Load{Slots: 10, Running: 8}, false, 0.1); got != 0.5 {
		t.Errorf("between the thresholds the part moved to %.2f", got)
	}
}

func TestLookupIsTheSameForABlock(t *testing.T) {
	table := NewTable(world(t, "", nil))
	again := NewTable(world(t, "", nil))
	domains := make(map[string]int)
	for i := range 2_000 {
		first := netip.AddrFrom4([4]byte{10, 101, byte(i), 1})
		neighbour := netip.AddrFrom4([4]byte{10, 101, byte(i), 200})
		a, b, c := table.Lookup(first, "orders"), table.Lookup(neighbour, "orders"), again.Lookup(first, "orders")
		if diff := cmp.Diff(a.Hosts, b.Hosts); diff != "" {
			t.Fatalf("neighbours get different hosts:\n%s", diff)
		}
		if diff := cmp.Diff(a.Hosts, c.Hosts); diff != "" {
			t.Fatalf("another daemon gives different hosts:\n%s", diff)
		}
		domains[a.Domain]++
	}
	if domains["tbilisi-1"] < 800 || domains["tbilisi-2"] < 800 {
		t.Errorf("blocks are spread unevenly: %v", domains)
	}
}

func TestChoose(t *testing.T) {
	far := daisygap.Millis(5_000)
	tests := []struct {
		name  string
		merge string
		query Query
		loads map[string]daisygap.Load
		want  string
	}{
		{"the own domain while it has room", "", Query{OwnUsable: true}, nil, "tbilisi-1"},
		{"a neighbour when the own queue is long", "", Query{OwnUsable: true, OwnPressure: 2}, nil, "tbilisi-2"},
		{"not again where it was refused", "", Query{OwnUsable: true, OwnPressure: 2, Tried: map[string]bool{"tbilisi-2": true}}, nil, "kutaisi"},
		{"not over a link that is backed up", "", Query{
			OwnUsable: true, OwnPressure: 2, Tried: map[string]bool{"tbilisi-2": true},
			LinkWait: func(string) daisygap.Millis { return far },
		}, nil, "tbilisi-1"},
		{"never a second hop", "", Query{OwnPressure: 2, Request: &daisygap.Request{Kind: "orders", Hop: 1, Deadline: far}}, nil, ""},
		{"a sibling while the own lease is missing and others are full", "", Query{
			Tried: map[string]bool{"tbilisi-2": true, "kutaisi-1": true, "kutaisi-2": true, "batumi-1": true, "batumi-2": true},
		}, nil, "tbilisi-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := world(t, tt.merge, tt.loads)
			q := tt.query
			q.OwnDomain, q.OwnHost, q.OwnRegion = "tbilisi-1", "tbilisi-1-a", "tbilisi"
			q.Random = rand.New(rand.NewPCG(1, 1))
			if q.Request == nil {
				q.Request = &daisygap.Request{Kind: "orders", Deadline: far}
			}
			q.HostDown = func(string) bool { return false }
			if q.LinkWait == nil {
				q.LinkWait = func(string) daisygap.Millis { return 0 }
			}
			got, ok := w.Choose(q)
			if ok != (tt.want != "") || len(got.Domain) < len(tt.want) || got.Domain[:len(tt.want)] != tt.want {
				t.Errorf("chose %+v, want %q", got, tt.want)
			}
		})
	}
}

// fullTable returns a table of the planned size: blocks, sites, regions and hosts.
func fullTable(_ testing.TB, blocks int) *Table {
	const regions, domains, sites, hosts = 35, 86, 3_800, 28
	c := &daisygap.Configuration{
		Lookup:  daisygap.Lookup{TTL: 3_000, MaxHosts: 3, OffloadStep: 0.2, DefaultSite: "site-0"},
		Regions: map[string]daisygap.Region{}, Domains: map[string]daisygap.Domain{},
		Kinds:  map[string]daisygap.Kind{"orders": {}, "catalogue": {}, "drawings": {}},
		Groups: map[string]daisygap.Group{"all": {Kinds: []string{"orders", "catalogue", "drawings"}}},
		Sites:  map[string]daisygap.Site{},
	}
	state := configuration.Empty()
	state.Config = c
	records := make(map[string]daisygap.DomainRecord)
	for i := range regions {
		c.Regions[fmt.Sprint("region-", i)] = daisygap.Region{}
	}
	for i := range domains {
		name := fmt.Sprint("domain-", i)
		c.Domains[name] = daisygap.Domain{Region: fmt.Sprint("region-", i%regions)}
		r := daisygap.DomainRecord{Domain: name, Groups: map[string]daisygap.Load{"all": {Slots: 100}}}
		for h := range hosts {
			r.Hosts = append(r.Hosts, daisygap.Host{Name: fmt.Sprint(name, "-", h), CallerAddress: fmt.Sprintf("10.%d.%d.1:80", i, h)})
		}
		records[name] = r
	}
	for i := range sites {
		name := fmt.Sprint("site-", i)
		c.Sites[name] = daisygap.Site{Region: fmt.Sprint("region-", i%regions)}
		state.Sites = append(state.Sites, name)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for state.Blocks.Size() < blocks {
		a := random.Uint32()
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), 0}), 16+random.IntN(9)).Masked()
		state.Blocks.Insert(p, uint32(random.IntN(sites)))
	}
	return NewTable(NewTopology(state, records))
}

func BenchmarkLookup(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 890_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			table := fullTable(b, blocks)
			random := rand.New(rand.NewPCG(3, 4))
			addresses := make([]netip.Addr, 1<<16)
			for i := range addresses {
				a := random.Uint32()
				addresses[i] = netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Lookup(addresses[i&0xffff], "orders") == nil {
					b.Fatal("no answer")
				}
			}
		})
	}
}

func BenchmarkBuildTable(b *testing.B) {
	table := fullTable(b, 1_000)
	records := fullRecords(table)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(NewTopology(table.state, records))
	}
}

func fullRecords(t *Table) map[string]daisygap.DomainRecord {
	records := make(map[string]daisygap.DomainRecord)
	for name := range t.state.Config.Domains {
		r := daisygap.DomainRecord{Domain: name, Groups: map[string]daisygap.Load{"all": {Slots: 100}}}
		for h := range 28 {
			r.Hosts = append(r.Hosts, daisygap.Host{Name: fmt.Sprint(name, "-", h), CallerAddress: fmt.Sprintf("10.0.%d.1:80", h)})
		}
		records[name] = r
	}
	return records
}

func BenchmarkChoose(b *testing.B) {
	w := world(b, "", nil)
	q := Query{
		Request: &daisygap.Request{Kind: "orders", Deadline: 5_000}, OwnDomain: "tbilisi-1", OwnHost: "tbilisi-1-a", OwnRegion: "tbilisi",
		OwnUsable: true, LinkWait: func(string) daisygap.Millis { return 0 }, HostDown: func(string) bool { return false }, Random: rand.New(rand.NewPCG(1, 1)),
	}
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w.Choose(q)
		}
	})
	q.OwnPressure = 2
	b.Run("other", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w.Choose(q)
		}
	})
}

func BenchmarkKeyHosts(b *testing.B) {
	table := fullTable(b, 1_000)
	w := NewTopology(table.state, fullRecords(table))
	b.ReportAllocs()
	for b.Loop() {
		w.IdempotencyHosts("region-3", "orders")
	}
}
