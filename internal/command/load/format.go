package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// formatReasons lists the reasons of requests that were not served with their counts, sorted by name.
func formatReasons(counts map[string]int) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(parts, ", ")
}
