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

// span is a run of IPv4 addresses from one on, up to the next span's, that lie in the same block.
type span struct {
	from, site uint32
}

const noSite = ^uint32(0)

// spans is the baseline that the prefix table is compared with: a sorted array, searched by halves.
type spans []span

func number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// newSpans cuts overlapping prefixes into runs; a longer prefix covers a shorter one.
func newSpans(table *bart.Table[uint32]) spans {
	type edge struct {
		at   uint64
		ends bool
		bits int
		site uint32
	}
	var edges []edge
	for p, site := range table.All4() {
		from := uint64(number(p.Addr()))
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
	list := spans{{site: noSite}}
	open := []uint32{noSite}
	for _, e := range edges {
		if e.ends {
			open = open[:len(open)-1]
		} else {
			open = append(open, e.site)
		}
		if e.at < 1<<32 {
			list = append(list, span{from: uint32(e.at), site: open[len(open)-1]})
		}
	}
	return list
}

func (s spans) lookup(a netip.Addr) uint32 {
	n := number(a)
	i, found := slices.BinarySearchFunc(s, n, func(e span, n uint32) int { return cmp.Compare(e.from, n) })
	if !found {
		return s[i-1].site
	}
	// The last of several runs at one address is the longest prefix there.
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

func TestSpansAgreeWithTable(t *testing.T) {
	table := fullTable(t, 20_000).state.Blocks
	list := newSpans(table)
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

// BenchmarkPrefix compares the prefix table with the sorted array: a look-up, and a change of one block that readers must not see half done.
func BenchmarkPrefix(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 890_000} {
		table := fullTable(b, blocks).state.Blocks
		list := newSpans(table)
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
