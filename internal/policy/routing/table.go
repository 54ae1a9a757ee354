package routing

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// LookupAnswer is one ready answer to a look-up.
type LookupAnswer struct {
	Body   []byte
	Domain string
	Hosts  []LookupHost
	// CacheHeader and LengthHeader are ready header values.
	CacheHeader  []string
	LengthHeader []string
}

// LookupHost is one entry host in an answer.
type LookupHost struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Weight  int    `json:"weight"`
}

type answerBody struct {
	Kind    string          `json:"kind"`
	Version uint64          `json:"version"`
	TTL     daisygap.Millis `json:"ttl"`
	Hosts   []LookupHost    `json:"hosts"`
}

// answerSet holds the answers that name one domain first, one for each rotation of its hosts; each is rendered at its first use.
type answerSet struct {
	world   *Topology
	kind    string
	domain  string
	backup  string
	answers []atomic.Pointer[LookupAnswer]
}

// bucket maps a part of the hash space to the answers of one domain.
type bucket struct {
	upTo uint32
	set  *answerSet
}

type cell struct {
	buckets []bucket
}

// Table answers look-ups without locks; it is built anew when the configuration or the records change.
type Table struct {
	Version uint64
	state   *configuration.Snapshot
	kinds   map[string]int
	regions map[string]int
	site    []int // region of each site index
	unknown int   // region for unknown blocks
	cells   []cell
}

// NewTable precomputes the answers for every region and kind.
func NewTable(w *Topology) *Table {
	c := w.Snapshot.Config
	t := &Table{
		Version: w.Snapshot.Version,
		state:   w.Snapshot,
		kinds:   make(map[string]int),
		regions: make(map[string]int),
	}
	for name := range c.Regions {
		t.regions[name] = len(t.regions)
	}
	for name := range c.Kinds {
		t.kinds[name] = len(t.kinds)
	}
	t.site = make([]int, len(w.Snapshot.Sites))
	for i, name := range w.Snapshot.Sites {
		t.site[i] = t.regions[c.Sites[name].Region]
	}
	t.unknown = t.regions[c.Sites[c.Lookup.DefaultSite].Region]
	t.cells = make([]cell, len(t.regions)*len(t.kinds))
	sets := make(map[string]*answerSet)
	for region, i := range t.regions {
		for kind, j := range t.kinds {
			t.cells[i*len(t.kinds)+j] = w.cell(region, kind, sets)
		}
	}
	return t
}

// cell divides the hash space of one region and kind; equal sets of answers are shared between cells.
func (w *Topology) cell(region, kind string, sets map[string]*answerSet) cell {
	split := w.Split(region, kind)
	var c cell
	sum := 0.0
	for i, s := range split {
		sum += s.Weight
		upTo := uint32(min(sum, 1) * (1<<32 - 1))
		if i == len(split)-1 {
			upTo = 1<<32 - 1
		}
		backup := w.backup(split, i, region, kind)
		key := kind + "\x00" + s.Domain + "\x00" + backup
		set := sets[key]
		if set == nil {
			set = &answerSet{world: w, kind: kind, domain: s.Domain, backup: backup}
			set.answers = make([]atomic.Pointer[LookupAnswer], len(w.live[s.Domain]))
			sets[key] = set
		}
		c.buckets = append(c.buckets, bucket{upTo: upTo, set: set})
	}
	return c
}

// backup returns the domain that a caller should turn to when it reaches no host of the first one: the nearest of another region, since a region may fail as a whole, else the next of the split.
func (w *Topology) backup(split []DomainWeight, i int, region, kind string) string {
	first := split[i].Domain
	home := w.Snapshot.Config.Domains[first].Region
	for _, near := range w.order[region] {
		if near == home {
			continue
		}
		for _, d := range w.domains[near] {
			if _, ok := w.usable(d, kind); ok {
				return d
			}
		}
	}
	if len(split) > 1 {
		return split[(i+1)%len(split)].Domain
	}
	return ""
}

// answer returns the answer for a block's hash.
func (s *answerSet) answer(hash uint64) *LookupAnswer {
	turn := int(hash % uint64(len(s.answers)))
	if a := s.answers[turn].Load(); a != nil {
		return a
	}
	a := s.render(turn)
	s.answers[turn].Store(a)
	return a
}

// render makes the answer for one rotation of the domain's hosts, with a host of the backup domain at the end.
func (s *answerSet) render(turn int) *LookupAnswer {
	most := s.world.Snapshot.Config.Lookup.MaxHosts
	hosts := s.world.live[s.domain]
	spare := s.world.live[s.backup]
	var named []LookupHost
	for i := 0; i < len(hosts) && len(named) < most; i++ {
		named = append(named, name(hosts[(turn+i)%len(hosts)], s.domain, 100>>min(i, 6)))
	}
	if len(spare) > 0 {
		if len(named) == most && most > 1 {
			named = named[:len(named)-1]
		}
		if len(named) < most {
			named = append(named, name(spare[turn%len(spare)], s.backup, 1))
		}
	}
	return s.world.answer(s.kind, s.domain, named)
}

func name(h daisygap.Host, domain string, weight int) LookupHost {
	return LookupHost{Host: h.Name, Address: h.CallerAddress, Domain: domain, Weight: weight}
}

func (w *Topology) answer(kind, domain string, named []LookupHost) *LookupAnswer {
	ttl := w.Snapshot.Config.Lookup.TTL
	body, err := json.Marshal(answerBody{Kind: kind, Version: w.Snapshot.Version, TTL: ttl, Hosts: named})
	if err != nil {
		return nil
	}
	seconds := max(int64(ttl)/1000, 0)
	body = append(body, '\n')
	return &LookupAnswer{
		Body:         body,
		Domain:       domain,
		Hosts:        named,
		CacheHeader:  []string{"private, max-age=" + strconv.FormatInt(seconds, 10)},
		LengthHeader: []string{strconv.Itoa(len(body))},
	}
}

// WithSnapshot returns the table for a version that differs in nothing but the client blocks; the version in the answers stays behind until the next build.
func (t *Table) WithSnapshot(state *configuration.Snapshot) *Table {
	next := *t
	next.state = state
	next.Version = state.Version
	return &next
}

// Lookup returns the answer for a caller's address and a kind, or nil when no host may be named or the kind is unknown.
func (t *Table) Lookup(address netip.Addr, kind string) *LookupAnswer {
	k, ok := t.kinds[kind]
	if !ok {
		return nil
	}
	region := t.unknown
	if site, ok := t.state.Blocks.Lookup(address); ok {
		region = t.site[site]
	}
	h := hashBlock(address)
	part := uint32(h)
	for _, b := range t.cells[region*len(t.kinds)+k].buckets {
		if part <= b.upTo {
			return b.set.answer(h >> 32)
		}
	}
	return nil
}

// HasKind tells whether the table's configuration names a kind.
func (t *Table) HasKind(kind string) bool {
	_, ok := t.kinds[kind]
	return ok
}

// RegionOf returns the region of a caller's address.
func (t *Table) RegionOf(address netip.Addr) string {
	c := t.state.Config
	if site, ok := t.state.SiteOf(address); ok {
		return c.Sites[site].Region
	}
	return c.Sites[c.Lookup.DefaultSite].Region
}

// hashBlock hashes the part of an address that neighbours share, so that one client block keeps its entry host.
func hashBlock(address netip.Addr) uint64 {
	b := address.As16()
	if address.Is4() || address.Is4In6() {
		b[15] = 0
	} else {
		clear(b[7:])
	}
	return xxhash.Sum64(b[:])
}
