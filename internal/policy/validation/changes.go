package validation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/daisygap/daisygap"
)

// field is one value of an entry as text. An empty text is the same as a missing value.
type field struct {
	name string
	text string
}

// entry is one row of a table with its fields in a fixed order.
type entry struct {
	name   string
	fields []field
}

// CompareSteering returns the differences from before to after: routes, services, customers and limits. Keys are only counted.
func CompareSteering(before, after *daisygap.SteeringConfig) []daisygap.ConfigChange {
	changes := compareTable(daisygap.TableRoutes, routeEntries(before.Routes), routeEntries(after.Routes))
	changes = append(changes, compareTable(daisygap.TableServices, serviceEntries(before.Pools), serviceEntries(after.Pools))...)
	customers := customerEntries(after.Customers, before.Customers)
	changes = append(changes, compareTable(daisygap.TableCustomers, customerEntries(before.Customers, nil), customers)...)
	return append(changes, compareTable(daisygap.TableLimits, limitEntries(before.Limits), limitEntries(after.Limits))...)
}

// compareTable compares two tables by name. Of entries with the same name the n-th of both are compared.
func compareTable(table string, before, after []entry) []daisygap.ConfigChange {
	old := make(map[string][]entry, len(before))
	for _, e := range before {
		old[e.name] = append(old[e.name], e)
	}
	var changes []daisygap.ConfigChange
	for _, e := range after {
		var previous entry
		if list := old[e.name]; len(list) > 0 {
			previous, old[e.name] = list[0], list[1:]
		}
		changes = appendChanges(changes, table, e.name, previous.fields, e.fields)
	}
	for _, e := range before {
		if list := old[e.name]; len(list) > 0 {
			changes = appendChanges(changes, table, e.name, list[0].fields, nil)
			old[e.name] = list[1:]
		}
	}
	return changes
}

// appendChanges appends the fields that differ. An added or removed entry, of which one list is nil, has a line of its own and those of its
// fields that are set.
func appendChanges(changes []daisygap.ConfigChange, table, name string, before, after []field) []daisygap.ConfigChange {
	switch {
	case before == nil:
		changes = append(changes, daisygap.ConfigChange{Table: table, Name: name, New: "(added)"})
	case after == nil:
		changes = append(changes, daisygap.ConfigChange{Table: table, Name: name, Old: "(removed)"})
	}
	for i := range max(len(before), len(after)) {
		change := daisygap.ConfigChange{Table: table, Name: name}
		if i < len(before) {
			change.Field, change.Old = before[i].name, before[i].text
		}
		if i < len(after) {
			change.Field, change.New = after[i].name, after[i].text
		}
		if change.Old == change.New || (before == nil && isUnset(change.New)) || (after == nil && isUnset(change.Old)) {
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

func isUnset(text string) bool { return text == "0" || text == "0ms" || text == "false" }

func routeEntries(routes []daisygap.Route) []entry {
	list := make([]entry, len(routes))
	for i, r := range routes {
		kind := "unsafe"
		switch {
		case r.LargeResponses:
			kind = "download"
		case r.LargeRequests:
			kind = "upload"
		case r.Idempotent:
			kind = "safe"
		}
		pools := make([]string, len(r.Split))
		for j, p := range r.Split {
			pools[j] = fmt.Sprintf("%s:%g", p.Pool, p.Weight)
		}
		list[i] = entry{r.Name, []field{
			{"host", r.Host},
			{"prefix", r.Prefix},
			{"kind", kind},
			{"timeout", millis(r.Timeout)},
			{"target", millis(r.TargetLatency)},
			{"priority", strconv.Itoa(r.Priority)},
			{"attempts", strconv.Itoa(r.MaxAttempts)},
			{"affinity", strconv.FormatBool(r.Affinity)},
			{"regions", strings.Join(r.AllowedRegions, ", ")},
			{"public", strconv.FormatBool(r.Public)},
			{"split", strings.Join(pools, ", ")},
		}}
	}
	return list
}

func serviceEntries(pools map[string]daisygap.PoolLimits) []entry {
	list := make([]entry, 0, len(pools))
	for _, name := range sortedKeys(pools) {
		p := pools[name]
		list = append(list, entry{name, []field{
			{"health_path", p.HealthPath},
			{"connections", strconv.Itoa(p.Connections)},
			{"cold_period", millis(p.ColdPeriod)},
			{"cold_rate", number(p.ColdRate)},
		}})
	}
	return list
}

// customerEntries returns the customers as entries. The text of keys that differ from those in previous says how many do.
func customerEntries(customers, previous []daisygap.Customer) []entry {
	old := make(map[string][]daisygap.CustomerKey, len(previous))
	for _, u := range previous {
		old[u.Name] = u.Keys
	}
	list := make([]entry, len(customers))
	fields := make([]field, 5*len(customers))
	for i, u := range customers {
		own := fields[5*i : 5*i+5 : 5*i+5]
		own[0] = field{"keys", describeKeys(old, u)}
		own[1].name = "priority"
		if u.HasPriority {
			own[1].text = strconv.Itoa(u.Priority)
		}
		own[2] = field{"rate", number(u.Rate)}
		own[3] = field{"burst", number(u.Burst)}
		own[4] = field{"regions", strings.Join(u.AllowedRegions, ", ")}
		list[i] = entry{u.Name, own}
	}
	return list
}

func limitEntries(l daisygap.RequestLimits) []entry {
	return []entry{{"", []field{
		{daisygap.LimitHeaderBytes, strconv.FormatInt(l.HeaderBytes, 10)},
		{daisygap.LimitBodyBytes, strconv.FormatInt(l.BodyBytes, 10)},
		{daisygap.LimitHeaderTimeout, millis(l.HeaderTimeout)},
		{daisygap.LimitIdleTimeout, millis(l.IdleTimeout)},
	}}}
}

func millis(d daisygap.Millis) string { return strconv.FormatInt(int64(d), 10) + "ms" }

func number(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

func countKeys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return strconv.Itoa(n) + " keys"
}

// describeKeys counts a customer's keys, and those added and removed since the previous version.
func describeKeys(previous map[string][]daisygap.CustomerKey, u daisygap.Customer) string {
	text := countKeys(len(u.Keys))
	old, exists := previous[u.Name]
	if !exists || slices.Equal(old, u.Keys) {
		return text
	}
	had := make(map[daisygap.CustomerKey]bool, len(old))
	for _, key := range old {
		had[key] = true
	}
	has := make(map[daisygap.CustomerKey]bool, len(u.Keys))
	added, removed := 0, 0
	for _, key := range u.Keys {
		if !had[key] && !has[key] {
			added++
		}
		has[key] = true
	}
	for key := range had {
		if !has[key] {
			removed++
		}
	}
	if added+removed == 0 {
		return text
	}
	return fmt.Sprintf("%s (%d added, %d removed)", text, added, removed)
}

// maskedKey is the value that daemons show instead of a signing key.
const maskedKey = "(hidden)"

// CompareEntry returns the differences between two documents of the entry daemons' configuration. Signing keys are never shown, and those that
// daemons have masked count as equal. Client blocks, which daemons don't show, are compared only if the first document has them.
func CompareEntry(before, after []byte) ([]daisygap.ConfigChange, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	hasBlocks := slices.ContainsFunc(slices.Collect(maps.Keys(old)), func(p [3]string) bool { return p[0] == "blocks" })
	all := maps.Clone(old)
	maps.Copy(all, next)
	paths := slices.Collect(maps.Keys(all))
	sort.Slice(paths, func(i, j int) bool { return slices.Compare(paths[i][:], paths[j][:]) < 0 })
	var changes []daisygap.ConfigChange
	for _, p := range paths {
		masked := p[0] == "keys" && old[p] == maskedKey && next[p] != ""
		if old[p] == next[p] || masked || p[0] == "blocks" && !hasBlocks {
			continue
		}
		change := daisygap.ConfigChange{Table: p[0], Name: p[1], Field: p[2], Old: old[p], New: next[p]}
		if p[0] == "keys" {
			change.Old, change.New = redactValue(change.Old), redactValue(change.New)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func redactValue(text string) string {
	if text == "" {
		return ""
	}
	return Redacted
}

// flatten returns the values of a document by section, name and field. Lists are one value each.
func flatten(document []byte) (map[[3]string]string, error) {
	d := json.NewDecoder(bytes.NewReader(document))
	d.UseNumber()
	var sections map[string]any
	if err := d.Decode(&sections); err != nil {
		return nil, err
	}
	values := make(map[[3]string]string)
	for section, content := range sections {
		entries, ok := content.(map[string]any)
		if !ok {
			values[[3]string{section}] = encode(content)
			continue
		}
		for name, e := range entries {
			fields, ok := e.(map[string]any)
			if !ok {
				values[[3]string{section, name}] = encode(e)
				continue
			}
			for f, value := range fields {
				values[[3]string{section, name, f}] = encode(value)
			}
		}
	}
	return values, nil
}

// encode returns a string as it is, and any other value as JSON.
func encode(value any) string {
	if text, ok := value.(string); ok {
		return text
	}
	// Values that were decoded from JSON can be encoded.
	text, _ := json.Marshal(value)
	return string(text)
}
