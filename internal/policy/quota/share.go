package quota

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Share returns a member's share of the named limit, or 0 for a name that is not a member. The shares of all members sum to
// the limit, and no share falls when the limit rises.
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

// Owner returns the member that is first for the name by rendezvous hashing, or "" if there are no members.
func Owner(name string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return sortByHash(name, members)[0]
}

// sortByHash returns the members in the order of their rendezvous hashes for the name. This order spreads the remainders of
// many limits over all members, and a change of membership moves few of them.
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
