package quota

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Share returns the part of a limit that one of the members holds; the parts of all members sum to the limit, and each grows and shrinks with it.
func Share(limit int64, name, member string, members []string) int64 {
	n := int64(len(members))
	if n == 0 {
		return 0
	}
	place := int64(-1)
	for i, m := range order(name, members) {
		if m == member {
			place = int64(i)
		}
	}
	if place < 0 {
		return 0
	}
	share := limit / n
	if place < limit%n {
		share++
	}
	return share
}

// Owner returns the member that comes first for a name, or "" without members.
func Owner(name string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return order(name, members)[0]
}

// order sorts the members by rendezvous hash, so that remainders are spread over members and one change moves few of them.
func order(name string, members []string) []string {
	sorted := append([]string(nil), members...)
	weight := func(m string) uint64 { return xxhash.Sum64String(name + "\x00" + m) }
	sort.Slice(sorted, func(i, j int) bool {
		a, b := weight(sorted[i]), weight(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i] < sorted[j]
	})
	return sorted
}
