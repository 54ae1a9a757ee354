package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func exampleDocument(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../examples/hivecraft/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func exampleSnapshot(t testing.TB) *Snapshot {
	t.Helper()
	s, err := Parse("configuration.json", exampleDocument(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func patch(version uint64, merge string) daisygap.Patch {
	return daisygap.Patch{Version: version, Merge: json.RawMessage(merge)}
}

func TestErrorsNameTheField(t *testing.T) {
	tests := []struct{ merge, want string }{
		{`{"kinds":{"orders":{"rank":"first"}}}`, `document: expected valid JSON, found unknown rank "first": want urgent, normal or background`},
		{`{"kinds":{"orders":{"floor":2}}}`, `kinds.orders.floor: expected a fraction from 0 to 1, found 2`},
		{`{"kinds":{"orders":{"target":"soon"}}}`, `kinds.target: expected a number, found string`},
		{`{"kinds":{"orders":{"domains":["nowhere"]}}}`, `kinds.orders.domains: expected names of domains, found "nowhere"`},
		{`{"kinds":{"orders":{"match":[{"path":"orders"}]}}}`, `kinds.orders.match.path: expected a prefix that starts with /, found "orders"`},
		{`{"links":{"tbilisi>kutaisi":{"rate":0}}}`, `links.tbilisi>kutaisi.rate: expected more than 0 bytes per second, found 0`},
		{`{"links":{"tbilisi>paris":{"rate":1}}}`, `links.tbilisi>paris: expected the names of two different regions as from>to, found "tbilisi>paris"`},
		{`{"groups":{"orders":{"kinds":["orders","catalogue"]}}}`, `groups.orders.kinds: expected each kind in one group only, found catalogue is in catalogue too`},
		{`{"upstreams":{"orders-01":{"domain":"batumi-1"}}}`, `upstreams.orders-01.domain: expected the current domain (tbilisi-1); remove the upstream in one patch and add it in a later one, found batumi-1`},
		{`{"upstreams":{"orders-01":{"address":"orders.example:80"}}}`, `upstreams.orders-01.address: expected an IP address and port, found "orders.example:80"`},
		{`{"upstreams":{"orders-01":{"slots":500}}}`, `upstreams.orders-01.connections: expected at least as many connections as slots, found 400`},
		{`{"sign":"k9"}`, `sign: expected the name of a key in keys, found "k9"`},
		{`{"keys":{"k1":"short"}}`, `keys.k1: expected at least 16 bytes in base64`},
		{`{"colour":"blue"}`, `colour: expected a known field`},
		{`{"blocks":{"10.1.2.3/16":"tbilisi-clients"}}`, `blocks.10.1.2.3/16: expected an address prefix without host bits`},
		{`{"blocks":{"10.1.0.0/16":"nowhere"}}`, `blocks.10.1.0.0/16: expected the name of a site, found nowhere`},
		{`{"sites":{"batumi-clients":null}}`, `sites.batumi-clients: expected no client block left before the site is removed, found 10.103.0.0/16`},
		{`{"drains":{"domains":{"nowhere":true}}}`, `drains.domains: expected names of domains, found "nowhere"`},
		{`[1]`, `patch: expected a JSON object (RFC 7396), found json: cannot unmarshal array into Go value of type map[string]json.RawMessage`},
		{`{"blocks":null}`, `blocks: expected an object; remove the blocks individually, found null`},
	}
	s := exampleSnapshot(t)
	for _, tt := range tests {
		_, err := s.Apply(patch(2, tt.merge))
		var field *daisygap.FieldError
		if !errors.As(err, &field) {
			t.Errorf("%s: %v, want a FieldError", tt.merge, err)
			continue
		}
		if diff := cmp.Diff(tt.want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.merge, diff)
		}
	}
}

func TestErrorsInFilesNameTheLine(t *testing.T) {
	text := strings.Replace(string(exampleDocument(t)), `"rate": 500000000`, `"rate": -1`, 1)
	_, err := Parse("c.json", []byte(text), 1)
	if err == nil || !strings.HasPrefix(err.Error(), "c.json:") || !strings.Contains(err.Error(), "rate: expected more than 0 bytes per second, found -1") {
		t.Errorf("an invalid rate is reported as %v", err)
	}
	_, err = Parse("c.json", []byte("{\n\"kinds\": {,}\n}"), 1)
	if err == nil {
		t.Error("broken JSON was accepted")
	}
}

func TestApplyRequiresNextVersion(t *testing.T) {
	s := exampleSnapshot(t)
	next, err := s.Apply(patch(2, `{"blocks":{"10.101.7.0/24":"batumi-clients"},"lookup":{"ttl":1000}}`))
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddr("10.101.7.9")
	before, _ := s.SiteOf(address)
	after, _ := next.SiteOf(address)
	if before != "tbilisi-clients" || after != "batumi-clients" || s.Config.Lookup.TTL != 3000 || next.Config.Lookup.TTL != 1000 {
		t.Errorf("before: %s, ttl %d; after: %s, ttl %d", before, s.Config.Lookup.TTL, after, next.Config.Lookup.TTL)
	}
	for _, version := range []uint64{1, 2, 4} {
		if _, err := next.Apply(patch(version, `{}`)); err == nil {
			t.Errorf("version %d was applied to version 2", version)
		}
	}
	removed, err := next.Apply(patch(3, `{"blocks":{"10.101.7.0/24":null}}`))
	if err != nil {
		t.Fatal(err)
	}
	if site, _ := removed.SiteOf(address); site != "tbilisi-clients" {
		t.Errorf("after the block was removed its addresses belong to %s", site)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := exampleSnapshot(t)
	s, err := s.Apply(patch(2, `{"sites":{"a-new-one":{"region":"batumi"}},"blocks":{"2001:db8::/32":"a-new-one"}}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(2, Encode(s))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Config, got.Config); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for _, text := range []string{"2001:db8::1", "10.103.1.1", "192.0.2.1"} {
		want, _ := s.SiteOf(netip.MustParseAddr(text))
		if site, _ := got.SiteOf(netip.MustParseAddr(text)); site != want {
			t.Errorf("%s belongs to %q, want %q", text, site, want)
		}
	}
}

func FuzzApply(f *testing.F) {
	s := exampleSnapshot(f)
	for _, seed := range []string{`{}`, `{"kinds":null}`, `{"blocks":{"10.0.0.0/8":null}}`, `{"lookup":{"ttl":1}}`, `{"keys":{"k1":1}}`, `[]`, `{"sites":{"x":{"region":"y"}}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		next, err := s.Apply(daisygap.Patch{Version: 2, Merge: data})
		if err != nil {
			return
		}
		if err := Check(next.Config); err != nil {
			t.Errorf("an accepted patch made an invalid version: %v", err)
		}
	})
}

// largeSnapshot returns a version with a number of sites and client blocks. The system is designed for the largest numbers that
// the benchmarks use: 3,800 sites and 890,000 blocks.
func largeSnapshot(b testing.TB, sites, blocks int) *Snapshot {
	s := exampleSnapshot(b)
	list := make(map[string]daisygap.Site, sites)
	for i := range sites {
		list[fmt.Sprintf("site-%04d", i)] = daisygap.Site{Region: []string{"tbilisi", "kutaisi", "batumi"}[i%3]}
	}
	merge, err := json.Marshal(map[string]any{"sites": list})
	if err != nil {
		b.Fatal(err)
	}
	if s, err = s.Apply(daisygap.Patch{Version: 2, Merge: merge}); err != nil {
		b.Fatal(err)
	}
	for i := range blocks {
		address := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0})
		s.Blocks.Insert(netip.PrefixFrom(address, 24), uint32(i%sites))
	}
	return s
}

func BenchmarkApplyBlock(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 890_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			s := largeSnapshot(b, 3_800, blocks)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				merge := fmt.Sprintf(`{"blocks":{"11.%d.%d.0/24":"site-%04d"}}`, i>>8&255, i&255, i%3_800)
				var err error
				if s, err = s.Apply(daisygap.Patch{Version: s.Version + 1, Merge: json.RawMessage(merge)}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApplyKind(b *testing.B) {
	s := largeSnapshot(b, 3_800, 890_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		merge := fmt.Sprintf(`{"kinds":{"orders":{"worth":%d}}}`, i)
		var err error
		if s, err = s.Apply(daisygap.Patch{Version: s.Version + 1, Merge: json.RawMessage(merge)}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot encodes and decodes a version, as happens when a daemon starts. It reports the heap that a version
// uses.
func BenchmarkSnapshot(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 890_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			before := heapBytes()
			s := largeSnapshot(b, 3_800, blocks)
			used := heapBytes() - before
			size := 0
			for _, part := range Encode(s) {
				size += len(part)
			}
			for b.Loop() {
				if _, err := Decode(s.Version, Encode(s)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(used)/1e6, "heap-MB")
			b.ReportMetric(float64(size)/1e6, "snapshot-MB")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
