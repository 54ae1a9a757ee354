package daisygap

import "fmt"

// Rank is the priority of a kind of requests when capacity is short. A lower value is served first.
type Rank int

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Background
	RankCount
)

var rankNames = [RankCount]string{"urgent", "normal", "background"}

// String returns the rank's name in the configuration.
func (r Rank) String() string {
	if r < 0 || r >= RankCount {
		return "unknown"
	}
	return rankNames[r]
}

// MarshalText returns the rank's name.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText parses a rank's name.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q: want urgent, normal or background", text)
}
