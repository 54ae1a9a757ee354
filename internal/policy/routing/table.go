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

// LookupAnswer is a rendered answer to a lookup.
type LookupAnswer struct {
	// Body is the JSON document of the answer.
	Body []byte
	// Domain is the domain of the first host.
	Domain string
	Hosts  []LookupHost
	// CacheHeader and LengthHeader are the values of the Cache-Control and Content-Length headers.
	CacheHeader  []string
	LengthHeader []string
}

// LookupHost is an entry host in an answer.
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

// answerSet holds the answers for a kind that list a domain first, one for each rotation of the domain's hosts. An
// answer is rendered when it is first used.
type answerSet struct {
	topology *Topology
	kind     string
	domain   string
	backup   string
	answers  []atomic.Pointer[LookupAnswer]
}

// bucket maps a range of hashes, which ends with upTo, to the answers of a domain.
type bucket struct {
	upTo uint32
	set  *answerSet
}

// cell holds the buckets of one region and kind in the order of their ranges.
type cell struct {
	buckets []bucket
}

// Table answers lookups without locks. It is immutable: a change of the configuration or the records makes a new table.
type Table struct {
	Version uint64

	snapshot      *configuration.Snapshot
	kindIndex     map[string]int
	regionIndex   map[string]int
	siteRegions   []int  // region index by site index
	defaultRegion int    // region index for addresses in no known block
	cells         []cell // by region index times the number of kinds, plus kind index
}

// NewTable returns the lookup table of a topology.
func NewTable(topology *Topology) *Table {
	c := topology.Snapshot.Config
	t := &Table{
		Version:     topology.Snapshot.Version,
		snapshot:    topology.Snapshot,
		kindIndex:   make(map[string]int),
		regionIndex: make(map[string]int),
	}
	for name := range c.Regions {
		t.regionIndex[name] = len(t.regionIndex)
	}
	for name := range c.Kinds {
		t.kindIndex[name] = len(t.kindIndex)
	}
	t.siteRegions = make([]int, len(topology.Snapshot.Sites))
	for i, name := range topology.Snapshot.Sites {
		t.siteRegions[i] = t.regionIndex[c.Sites[name].Region]
	}
	t.defaultRegion = t.regionIndex[c.Sites[c.Lookup.DefaultSite].Region]
	t.cells = make([]cell, len(t.regionIndex)*len(t.kindIndex))
	sets := make(map[string]*answerSet)
	for region, i := range t.regionIndex {
		for kind, j := range t.kindIndex {
			t.cells[i*len(t.kindIndex)+j] = topology.newCell(region, kind, sets)
		}
	}
	return t
}

// newCell divides the hash space for a region and kind among domains by weight. Cells share equal sets of answers.
func (t *Topology) newCell(region, kind string, sets map[string]*answerSet) cell {
	split := t.Split(region, kind)
	var c cell
	sum := 0.0
	for i, s := range split {
		sum += s.Weight
		upTo := uint32(min(sum, 1) * (1<<32 - 1))
		if i == len(split)-1 {
			upTo = 1<<32 - 1
		}
		backup := t.backup(split, i, region, kind)
		key := kind + "\x00" + s.Domain + "\x00" + backup
		set := sets[key]
		if set == nil {
			set = &answerSet{topology: t, kind: kind, domain: s.Domain, backup: backup}
			set.answers = make([]atomic.Pointer[LookupAnswer], len(t.available[s.Domain]))
			sets[key] = set
		}
		c.buckets = append(c.buckets, bucket{upTo: upTo, set: set})
	}
	return c
}

// backup returns the domain whose host a caller should use if it reaches no host of the first domain. It is the nearest
// usable domain of another region, because a region may fail as a whole, or else the next domain of the split.
func (t *Topology) backup(split []DomainWeight, i int, region, kind string) string {
	first := split[i].Domain
	firstRegion := t.Snapshot.Config.Domains[first].Region
	for _, near := range t.regionOrder[region] {
		if near == firstRegion {
			continue
		}
		for _, d := range t.domains[near] {
			if _, ok := t.usable(d, kind); ok {
				return d
			}
		}
	}
	if len(split) > 1 {
		return split[(i+1)%len(split)].Domain
	}
	return ""
}

// answer returns the answer for a hash, which selects the rotation of the hosts.
func (s *answerSet) answer(hash uint64) *LookupAnswer {
	rotation := int(hash % uint64(len(s.answers)))
	if a := s.answers[rotation].Load(); a != nil {
		return a
	}
	a := s.render(rotation)
	s.answers[rotation].Store(a)
	return a
}

// render returns the answer for one rotation of the domain's hosts, followed by a host of the backup domain.
func (s *answerSet) render(rotation int) *LookupAnswer {
	limit := s.topology.Snapshot.Config.Lookup.MaxHosts
	hosts := s.topology.available[s.domain]
	backupHosts := s.topology.available[s.backup]
	var named []LookupHost
	for i := 0; i < len(hosts) && len(named) < limit; i++ {
		named = append(named, newLookupHost(hosts[(rotation+i)%len(hosts)], s.domain, 100>>min(i, 6)))
	}
	if len(backupHosts) > 0 {
		if len(named) == limit && limit > 1 {
			named = named[:len(named)-1]
		}
		if len(named) < limit {
			named = append(named, newLookupHost(backupHosts[rotation%len(backupHosts)], s.backup, 1))
		}
	}
	return s.topology.newAnswer(s.kind, s.domain, named)
}

func newLookupHost(h daisygap.Host, domain string, weight int) LookupHost {
	return LookupHost{Host: h.Name, Address: h.CallerAddress, Domain: domain, Weight: weight}
}

func (t *Topology) newAnswer(kind, domain string, named []LookupHost) *LookupAnswer {
	ttl := t.Snapshot.Config.Lookup.TTL
	body, err := json.Marshal(answerBody{Kind: kind, Version: t.Snapshot.Version, TTL: ttl, Hosts: named})
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

// WithSnapshot returns the table for a version of the configuration that differs only in the client blocks. Its answers
// still contain the old version until the next table is built.
func (t *Table) WithSnapshot(snapshot *configuration.Snapshot) *Table {
	next := *t
	next.snapshot = snapshot
	next.Version = snapshot.Version
	return &next
}

// Lookup returns the answer for a caller's address and a kind, or nil if the kind is unknown or no host is available.
func (t *Table) Lookup(address netip.Addr, kind string) *LookupAnswer {
	k, ok := t.kindIndex[kind]
	if !ok {
		return nil
	}
	region := t.defaultRegion
	if site, ok := t.snapshot.Blocks.Lookup(address); ok {
		region = t.siteRegions[site]
	}
	h := hashBlock(address)
	position := uint32(h)
	for _, b := range t.cells[region*len(t.kindIndex)+k].buckets {
		if position <= b.upTo {
			return b.set.answer(h >> 32)
		}
	}
	return nil
}

// HasKind reports whether a kind is configured.
func (t *Table) HasKind(kind string) bool {
	_, ok := t.kindIndex[kind]
	return ok
}

// RegionOf returns the region of a caller's address.
func (t *Table) RegionOf(address netip.Addr) string {
	c := t.snapshot.Config
	if site, ok := t.snapshot.SiteOf(address); ok {
		return c.Sites[site].Region
	}
	return c.Sites[c.Lookup.DefaultSite].Region
}

// hashBlock hashes the /24 prefix of an IPv4 address or the /56 prefix of an IPv6 address, so that the clients of a
// block get the same entry host.
func hashBlock(address netip.Addr) uint64 {
	b := address.As16()
	if address.Is4() || address.Is4In6() {
		b[15] = 0
	} else {
		clear(b[7:])
	}
	return xxhash.Sum64(b[:])
}
