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
	position := int64(-1)
	for i, m := range sortByHash(name, members) {
		if m == member {
			position = int64(i)
		}
	}
	if position < 0 {
		return 0
	}
	share := limit / n
	if position < limit%n {
		share++
	}
	return share
}

// Owner returns the member that comes first for a name, or "" without members.
func Owner(name string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return sortByHash(name, members)[0]
}

// sortByHash sorts the members by rendezvous hash, so that remainders are spread over members and one change moves few of them.
func sortByHash(name string, members []string) []string {
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
