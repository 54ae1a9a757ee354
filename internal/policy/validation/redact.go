package validation

import (
	"slices"
	"strings"

	"github.com/daisygap/daisygap"
)

// Redacted replaces a key in a text.
const Redacted = "[redacted]"

// prefixBytes is the number of a key's first bytes that the filter of a Redactor considers. A shorter key is only recognized as a whole text,
// because parts of ordinary words would match it.
const prefixBytes = 4

// Redactor replaces keys that appear in other places than they should, such as in a name. The zero value replaces nothing.
type Redactor struct {
	keys map[string]bool
	// lengths are the lengths of the keys of at least prefixBytes, in descending order, and filter the hashes of their first bytes.
	lengths []int
	filter  [1 << 16]bool
}

// NewRedactor returns a redactor for the given keys.
func NewRedactor(keys []daisygap.CustomerKey) *Redactor {
	r := &Redactor{keys: make(map[string]bool, len(keys))}
	lengths := make(map[int]bool)
	for _, key := range keys {
		if key == "" {
			continue
		}
		r.keys[string(key)] = true
		if len(key) >= prefixBytes {
			lengths[len(key)] = true
			r.filter[hashPrefix(string(key))] = true
		}
	}
	for n := range lengths {
		r.lengths = append(r.lengths, n)
	}
	slices.Sort(r.lengths)
	slices.Reverse(r.lengths)
	return r
}

// hashPrefix hashes the first prefixBytes bytes.
func hashPrefix(s string) uint16 {
	n := uint32(s[0]) | uint32(s[1])<<8 | uint32(s[2])<<16 | uint32(s[3])<<24
	return uint16(n * 2_654_435_761 >> 16)
}

// Text returns a text with all keys replaced.
func (r *Redactor) Text(s string) string {
	if r.keys[s] {
		return Redacted
	}
	var b strings.Builder
	done := 0
	for i := 0; i+prefixBytes <= len(s); {
		n := 0
		if r.filter[hashPrefix(s[i:])] {
			n = r.keyAt(s[i:])
		}
		if n == 0 {
			i++
			continue
		}
		b.WriteString(s[done:i])
		b.WriteString(Redacted)
		i += n
		done = i
	}
	if done == 0 {
		return s
	}
	b.WriteString(s[done:])
	return b.String()
}

// keyAt returns the length of the longest key at the start of a text, or 0.
func (r *Redactor) keyAt(s string) int {
	for _, n := range r.lengths {
		if n <= len(s) && r.keys[s[:n]] {
			return n
		}
	}
	return 0
}

func (r *Redactor) list(texts []string) []string {
	if len(texts) == 0 {
		return texts
	}
	out := make([]string, len(texts))
	for i, s := range texts {
		out[i] = r.Text(s)
	}
	return out
}

// Config returns a configuration in which keys are replaced everywhere but in the customers' lists of keys.
func (r *Redactor) Config(c *daisygap.SteeringConfig) *daisygap.SteeringConfig {
	out := *c
	out.Routes, out.Customers, out.Dropped = slices.Clone(c.Routes), slices.Clone(c.Customers), slices.Clone(c.Dropped)
	out.Pools = make(map[string]daisygap.PoolLimits, len(c.Pools))
	for name, p := range c.Pools {
		p.HealthPath = r.Text(p.HealthPath)
		out.Pools[r.Text(name)] = p
	}
	for i := range out.Routes {
		p := &out.Routes[i]
		p.Name, p.Host, p.Prefix, p.AllowedRegions = r.Text(p.Name), r.Text(p.Host), r.Text(p.Prefix), r.list(p.AllowedRegions)
		p.Split = slices.Clone(p.Split)
		for j := range p.Split {
			p.Split[j].Pool = r.Text(p.Split[j].Pool)
		}
	}
	for i := range out.Customers {
		p := &out.Customers[i]
		p.Name, p.AllowedRegions = r.Text(p.Name), r.list(p.AllowedRegions)
	}
	for i := range out.Dropped {
		out.Dropped[i].Name, out.Dropped[i].Reason = r.Text(out.Dropped[i].Name), r.Text(out.Dropped[i].Reason)
	}
	return &out
}

// Finding returns a finding in which keys are replaced.
func (r *Redactor) Finding(f daisygap.Finding) daisygap.Finding {
	f.Table, f.Name, f.Field, f.Text = r.Text(f.Table), r.Text(f.Name), r.Text(f.Field), r.Text(f.Text)
	return f
}
