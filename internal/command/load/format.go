package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// formatReasons lists why requests were not served, in the order of names.
func formatReasons(counts map[string]int) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(parts, ", ")
}
