package entry

import "testing"

// TestTreeReachesAll checks that every place but the root's is the child of exactly one lower place.
func TestTreeReachesAll(t *testing.T) {
	const members = 200
	parents := make([]int, members)
	for place := range members {
		first, last := children(place)
		if first <= place {
			t.Fatalf("place %d passes on to place %d", place, first)
		}
		for child := first; child <= min(last, members-1); child++ {
			parents[child]++
		}
	}
	for place, n := range parents[1:] {
		if n != 1 {
			t.Errorf("place %d has %d parents, want 1", place+1, n)
		}
	}
}
