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

// exampleTopology returns an example deployment with two hosts in each domain and the given loads of the orders group.
func exampleTopology(t testing.TB, merge string, loads map[string]daisygap.Load) *Topology {
	t.Helper()
	data, err := os.ReadFile("../../../examples/hivecraft/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := configuration.Parse("c", data, 1)
	if err != nil {
		t.Fatal(err)
	}
	if merge != "" {
		if snapshot, err = snapshot.Apply(daisygap.Patch{Version: 2, Merge: json.RawMessage(merge)}); err != nil {
			t.Fatal(err)
		}
	}
	records := make(map[string]daisygap.DomainRecord)
	for name := range snapshot.Config.Domains {
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
	return NewTopology(snapshot, records)
}

func setOffload(topology *Topology, domain string, fraction float64) {
	topology.Records[domain].Offload["orders"] = fraction
}

func TestSplit(t *testing.T) {
	tests := []struct {
		name    string
		merge   string
		loads   map[string]daisygap.Load
		offload map[string]float64
		lost    []string
		want    []DomainWeight
	}{
		{
			"the region's domains share by slots", "",
			map[string]daisygap.Load{"tbilisi-1": {Slots: 30}},
			nil, nil,
			[]DomainWeight{{"tbilisi-1", 0.75}, {"tbilisi-2", 0.25}},
		},
		{
			"offloaded work goes to the nearest domains with free slots", "", nil,
			map[string]float64{"tbilisi-1": 0.5},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.25}, {"tbilisi-2", 0.5}, {"kutaisi-1", 0.125}, {"kutaisi-2", 0.125}},
		},
		{
			"offloaded work stays while all domains are overloaded", "",
			map[string]daisygap.Load{"tbilisi-1": {Slots: 30}},
			map[string]float64{"tbilisi-1": 1, "tbilisi-2": 1, "kutaisi-1": 1, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.75}, {"tbilisi-2", 0.25}},
		},
		{
			"work that no other domain accepts stays and does not overload other regions", "",
			map[string]daisygap.Load{"kutaisi-1": {Slots: 10, Running: 5}},
			map[string]float64{"tbilisi-1": 0.5, "tbilisi-2": 0.5, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.375}, {"tbilisi-2", 0.375}, {"kutaisi-1", 0.25}},
		},
		{
			"work that no other domain accepts never stays with a drained domain", `{"drains":{"domains":{"tbilisi-1":true}}}`,
			nil,
			map[string]float64{"tbilisi-1": 1, "tbilisi-2": 1, "kutaisi-1": 1, "kutaisi-2": 1, "batumi-1": 1, "batumi-2": 1},
			nil,
			[]DomainWeight{{"tbilisi-2", 1}},
		},
		{
			"a busy domain accepts no offloaded work", "",
			map[string]daisygap.Load{"kutaisi-1": {Slots: 10, Running: 9}},
			map[string]float64{"tbilisi-1": 0.5},
			nil,
			[]DomainWeight{{"tbilisi-1", 0.25}, {"tbilisi-2", 0.5}, {"kutaisi-2", 0.25}},
		},
		{"a lost domain gets no work", "", nil, nil, []string{"tbilisi-1"}, []DomainWeight{{"tbilisi-2", 1}}},
		{
			"the work of a lost region goes to the nearest region", "", nil, nil,
			[]string{"tbilisi-1", "tbilisi-2"},
			[]DomainWeight{{"kutaisi-1", 0.5}, {"kutaisi-2", 0.5}},
		},
		{"a kind is served in its allowed domains only", `{"kinds":{"orders":{"domains":["batumi-2"]}}}`, nil, nil, nil, []DomainWeight{{"batumi-2", 1}}},
		{
			"a domain with a drained host is still used", `{"drains":{"hosts":{"tbilisi-1-a":true}}}`, nil, nil, nil,
			[]DomainWeight{{"tbilisi-1", 0.5}, {"tbilisi-2", 0.5}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			topology := exampleTopology(t, tt.merge, tt.loads)
			for domain, fraction := range tt.offload {
				setOffload(topology, domain, fraction)
			}
			for _, domain := range tt.lost {
				r := topology.Records[domain]
				r.Lost = true
				topology.Records[domain] = r
			}
			if diff := cmp.Diff(tt.want, topology.Split("tbilisi", "orders")); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestNextOffloadMovesByBoundedSteps(t *testing.T) {
	fraction := 0.0
	for range 20 {
		next := NextOffload(fraction, daisygap.Load{Slots: 10, Running: 10, Waiting: 5}, false, 0.1)
		if next-fraction > 0.1001 {
			t.Fatalf("the offloaded fraction moved from %.2f to %.2f", fraction, next)
		}
		fraction = next
	}
	if fraction != 1 {
		t.Errorf("an overloaded domain offloads %.2f in the end, want 1", fraction)
	}
	if got := NextOffload(0.5, daisygap.Load{Slots: 10, Running: 8}, false, 0.1); got != 0.5 {
		t.Errorf("between the thresholds the fraction moved to %.2f", got)
	}
}

func TestLookupIsEqualWithinABlock(t *testing.T) {
	table := NewTable(exampleTopology(t, "", nil))
	other := NewTable(exampleTopology(t, "", nil))
	domains := make(map[string]int)
	for i := range 2_000 {
		first := netip.AddrFrom4([4]byte{10, 101, byte(i), 1})
		second := netip.AddrFrom4([4]byte{10, 101, byte(i), 200})
		a, b, c := table.Lookup(first, "orders"), table.Lookup(second, "orders"), other.Lookup(first, "orders")
		if diff := cmp.Diff(a.Hosts, b.Hosts); diff != "" {
			t.Fatalf("addresses of one block get different hosts:\n%s", diff)
		}
		if diff := cmp.Diff(a.Hosts, c.Hosts); diff != "" {
			t.Fatalf("two tables with equal input give different hosts:\n%s", diff)
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
		{"the own domain while it has free slots", "", Query{OwnUsable: true}, nil, "tbilisi-1"},
		{"a domain of the same region when the own domain is busy", "", Query{OwnUsable: true, OwnPressure: 2}, nil, "tbilisi-2"},
		{"not a domain that was already tried", "", Query{OwnUsable: true, OwnPressure: 2, Tried: map[string]bool{"tbilisi-2": true}}, nil, "kutaisi"},
		{"not over a link with a long queue", "", Query{
			OwnUsable: true, OwnPressure: 2, Tried: map[string]bool{"tbilisi-2": true},
			LinkWait: func(string) daisygap.Millis { return far },
		}, nil, "tbilisi-1"},
		{"no second forwarding", "", Query{OwnPressure: 2, Request: &daisygap.Request{Kind: "orders", Hop: 1, Deadline: far}}, nil, ""},
		{"another host of the own domain while the own host has no lease", "", Query{
			Tried: map[string]bool{"tbilisi-2": true, "kutaisi-1": true, "kutaisi-2": true, "batumi-1": true, "batumi-2": true},
		}, nil, "tbilisi-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			topology := exampleTopology(t, tt.merge, tt.loads)
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
			got, ok := topology.Choose(q)
			if ok != (tt.want != "") || len(got.Domain) < len(tt.want) || got.Domain[:len(tt.want)] != tt.want {
				t.Errorf("chose %+v, want %q", got, tt.want)
			}
		})
	}
}

// fullTable returns a table of the size that the system is designed for, with a number of client blocks.
func fullTable(_ testing.TB, blocks int) *Table {
	const regions, domains, sites, hosts = 35, 86, 3_800, 28
	c := &daisygap.Configuration{
		Lookup:  daisygap.Lookup{TTL: 3_000, MaxHosts: 3, OffloadStep: 0.2, DefaultSite: "site-0"},
		Regions: map[string]daisygap.Region{}, Domains: map[string]daisygap.Domain{},
		Kinds:  map[string]daisygap.Kind{"orders": {}, "catalogue": {}, "drawings": {}},
		Groups: map[string]daisygap.Group{"all": {Kinds: []string{"orders", "catalogue", "drawings"}}},
		Sites:  map[string]daisygap.Site{},
	}
	snapshot := configuration.Empty()
	snapshot.Config = c
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
		snapshot.Sites = append(snapshot.Sites, name)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for snapshot.Blocks.Size() < blocks {
		a := random.Uint32()
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), 0}), 16+random.IntN(9)).Masked()
		snapshot.Blocks.Insert(p, uint32(random.IntN(sites)))
	}
	return NewTable(NewTopology(snapshot, records))
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
		NewTable(NewTopology(table.snapshot, records))
	}
}

func fullRecords(t *Table) map[string]daisygap.DomainRecord {
	records := make(map[string]daisygap.DomainRecord)
	for name := range t.snapshot.Config.Domains {
		r := daisygap.DomainRecord{Domain: name, Groups: map[string]daisygap.Load{"all": {Slots: 100}}}
		for h := range 28 {
			r.Hosts = append(r.Hosts, daisygap.Host{Name: fmt.Sprint(name, "-", h), CallerAddress: fmt.Sprintf("10.0.%d.1:80", h)})
		}
		records[name] = r
	}
	return records
}

func BenchmarkChoose(b *testing.B) {
	topology := exampleTopology(b, "", nil)
	q := Query{
		Request: &daisygap.Request{Kind: "orders", Deadline: 5_000}, OwnDomain: "tbilisi-1", OwnHost: "tbilisi-1-a", OwnRegion: "tbilisi",
		OwnUsable: true, LinkWait: func(string) daisygap.Millis { return 0 }, HostDown: func(string) bool { return false }, Random: rand.New(rand.NewPCG(1, 1)),
	}
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			topology.Choose(q)
		}
	})
	q.OwnPressure = 2
	b.Run("other", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			topology.Choose(q)
		}
	})
}

func BenchmarkIdempotencyHosts(b *testing.B) {
	table := fullTable(b, 1_000)
	topology := NewTopology(table.snapshot, fullRecords(table))
	b.ReportAllocs()
	for b.Loop() {
		topology.IdempotencyHosts("region-3", "orders")
	}
}
