package routing

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/gaissmai/bart"
)

// addressRange is a range of IPv4 addresses with the same longest prefix. It ends where the next range starts.
type addressRange struct {
	from, site uint32
}

const noSite = ^uint32(0)

// rangeTable is a sorted array with binary search, the baseline that the prefix table is compared with.
type rangeTable []addressRange

func ipv4Number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// newRangeTable splits overlapping prefixes into disjoint ranges. The longest prefix of an address decides.
func newRangeTable(table *bart.Table[uint32]) rangeTable {
	type edge struct {
		at   uint64
		ends bool
		bits int
		site uint32
	}
	var edges []edge
	for p, site := range table.All4() {
		from := uint64(ipv4Number(p.Addr()))
		edges = append(edges, edge{at: from, bits: p.Bits(), site: site}, edge{at: from + 1<<(32-p.Bits()), ends: true, bits: p.Bits(), site: site})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		if a.ends != b.ends {
			if a.ends {
				return -1
			}
			return 1
		}
		if a.ends {
			return cmp.Compare(b.bits, a.bits)
		}
		return cmp.Compare(a.bits, b.bits)
	})
	list := rangeTable{{site: noSite}}
	open := []uint32{noSite}
	for _, e := range edges {
		if e.ends {
			open = open[:len(open)-1]
		} else {
			open = append(open, e.site)
		}
		if e.at < 1<<32 {
			list = append(list, addressRange{from: uint32(e.at), site: open[len(open)-1]})
		}
	}
	return list
}

func (s rangeTable) lookup(a netip.Addr) uint32 {
	n := ipv4Number(a)
	i, found := slices.BinarySearchFunc(s, n, func(e addressRange, n uint32) int { return cmp.Compare(e.from, n) })
	if !found {
		return s[i-1].site
	}
	// Of several ranges that start at one address the last belongs to the longest prefix.
	for i+1 < len(s) && s[i+1].from == n {
		i++
	}
	return s[i].site
}

func randomAddresses(seed uint64) []netip.Addr {
	random := rand.New(rand.NewPCG(seed, 4))
	list := make([]netip.Addr, 1<<16)
	for i := range list {
		a := random.Uint32()
		list[i] = netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
	}
	return list
}

// TestRangeTableAgreesWithPrefixTable checks that the baseline of BenchmarkPrefix gives the same results as the prefix
// table.
func TestRangeTableAgreesWithPrefixTable(t *testing.T) {
	table := fullTable(t, 20_000).snapshot.Blocks
	list := newRangeTable(table)
	for _, a := range randomAddresses(1) {
		want, ok := table.Lookup(a)
		if !ok {
			want = noSite
		}
		if got := list.lookup(a); got != want {
			t.Fatalf("%s: site %d, the table says %d", a, got, want)
		}
	}
}

// BenchmarkPrefix compares the prefix table with the sorted array, for a lookup and for a copy-on-write change of one
// block, which keeps readers from seeing a partial change.
func BenchmarkPrefix(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 890_000} {
		table := fullTable(b, blocks).snapshot.Blocks
		list := newRangeTable(table)
		addresses := randomAddresses(3)
		block := netip.MustParsePrefix("11.22.33.0/24")
		b.Run(fmt.Sprintf("table/lookup/%d", blocks), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.Lookup(addresses[i&0xffff])
			}
		})
		b.Run(fmt.Sprintf("array/lookup/%d", blocks), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				list.lookup(addresses[i&0xffff])
			}
		})
		b.Run(fmt.Sprintf("table/change/%d", blocks), func(b *testing.B) {
			for b.Loop() {
				table.InsertPersist(block, 1)
			}
		})
		b.Run(fmt.Sprintf("array/change/%d", blocks), func(b *testing.B) {
			for b.Loop() {
				changed := slices.Clone(list)
				changed[len(changed)/2].site = 1
			}
		})
	}
}
