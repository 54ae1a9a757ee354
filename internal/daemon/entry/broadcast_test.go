package entry

import "testing"

// TestBroadcastTreeReachesAll checks that every position except the root is the child of exactly one lower position.
func TestBroadcastTreeReachesAll(t *testing.T) {
	const members = 200
	parents := make([]int, members)
	for position := range members {
		first, last := children(position)
		if first <= position {
			t.Fatalf("position %d has the child %d, want a higher position", position, first)
		}
		for child := first; child <= min(last, members-1); child++ {
			parents[child]++
		}
	}
	for position, n := range parents[1:] {
		if n != 1 {
			t.Errorf("position %d has %d parents, want 1", position+1, n)
		}
	}
}
