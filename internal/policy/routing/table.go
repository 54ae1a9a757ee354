package routing

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// Answer is one precomputed answer to a look-up.
type Answer struct {
	Body   []byte
	Domain string
	Hosts  []Named
	// CacheHeader and LengthHeader are ready header values.
	CacheHeader  []string
	LengthHeader []string
}

// Named is one entry host in an answer.
type Named struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Weight  int    `json:"weight"`
}

type answerBody struct {
	Kind    string          `json:"kind"`
	Version uint64          `json:"version"`
	TTL     daisygap.Millis `json:"ttl"`
	Hosts   []Named         `json:"hosts"`
}

// bucket maps a part of the hash space to the answers of one domain.
type bucket struct {
	upTo    uint32
	answers []*Answer
}

type cell struct {
	buckets []bucket
}

// Table answers look-ups without locks; it is built anew when the configuration or the records change.
type Table struct {
	Version uint64
	state   *configuration.State
	kinds   map[string]int
	regions map[string]int
	site    []int // region of each site index
	unknown int   // region for unknown blocks
	cells   []cell
}

// NewTable precomputes the answers for every region and kind.
func NewTable(w *World) *Table {
	c := w.State.Config
	t := &Table{
		Version: w.State.Version,
		state:   w.State,
		kinds:   make(map[string]int),
		regions: make(map[string]int),
	}
	for name := range c.Regions {
		t.regions[name] = len(t.regions)
	}
	for name := range c.Kinds {
		t.kinds[name] = len(t.kinds)
	}
	t.site = make([]int, len(w.State.Sites))
	for i, name := range w.State.Sites {
		t.site[i] = t.regions[c.Sites[name].Region]
	}
	t.unknown = t.regions[c.Sites[c.Lookup.Site].Region]
	t.cells = make([]cell, len(t.regions)*len(t.kinds))
	rendered := make(map[string][]*Answer)
	for region, i := range t.regions {
		for kind, j := range t.kinds {
			t.cells[i*len(t.kinds)+j] = w.cell(region, kind, rendered)
		}
	}
	return t
}

// cell renders the answers for one region and kind; answers with the same domains are shared through the cache.
func (w *World) cell(region, kind string, cache map[string][]*Answer) cell {
	split := w.Split(region, kind)
	var c cell
	sum := 0.0
	for i, s := range split {
		sum += s.Weight
		upTo := uint32(min(sum, 1) * (1<<32 - 1))
		if i == len(split)-1 {
			upTo = 1<<32 - 1
		}
		backup := ""
		if len(split) > 1 {
			backup = split[(i+1)%len(split)].Domain
		}
		key := kind + "\x00" + s.Domain + "\x00" + backup
		if cache[key] == nil {
			cache[key] = w.render(kind, s.Domain, backup)
		}
		c.buckets = append(c.buckets, bucket{upTo: upTo, answers: cache[key]})
	}
	return c
}

// render makes one answer for each rotation of the domain's hosts, with a host of the backup domain at the end.
func (w *World) render(kind, domain, backup string) []*Answer {
	l := w.State.Config.Lookup
	hosts := w.hosts(w.Records[domain])
	spare := w.hosts(w.Records[backup])
	answers := make([]*Answer, len(hosts))
	for turn := range hosts {
		var named []Named
		for i := 0; i < len(hosts) && len(named) < l.Answers; i++ {
			named = append(named, name(hosts[(turn+i)%len(hosts)], domain, 100>>min(i, 6)))
		}
		if len(spare) > 0 {
			if len(named) == l.Answers && l.Answers > 1 {
				named = named[:len(named)-1]
			}
			if len(named) < l.Answers {
				named = append(named, name(spare[turn%len(spare)], backup, 1))
			}
		}
		answers[turn] = w.answer(kind, domain, named)
	}
	return answers
}

func name(h daisygap.Host, domain string, weight int) Named {
	return Named{Host: h.Name, Address: h.Caller, Domain: domain, Weight: weight}
}

func (w *World) answer(kind, domain string, named []Named) *Answer {
	ttl := w.State.Config.Lookup.TTL
	body, err := json.Marshal(answerBody{Kind: kind, Version: w.State.Version, TTL: ttl, Hosts: named})
	if err != nil {
		return nil
	}
	seconds := max(int64(ttl)/1000, 0)
	body = append(body, '\n')
	return &Answer{
		Body:         body,
		Domain:       domain,
		Hosts:        named,
		CacheHeader:  []string{"private, max-age=" + strconv.FormatInt(seconds, 10)},
		LengthHeader: []string{strconv.Itoa(len(body))},
	}
}

// Lookup returns the answer for a caller's address and a kind, or nil when no host may be named or the kind is unknown.
func (t *Table) Lookup(address netip.Addr, kind string) *Answer {
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
			return b.answers[(h>>32)%uint64(len(b.answers))]
		}
	}
	return nil
}

// KnowsKind tells whether the table's configuration names a kind.
func (t *Table) KnowsKind(kind string) bool {
	_, ok := t.kinds[kind]
	return ok
}

// RegionOf returns the region of a caller's address.
func (t *Table) RegionOf(address netip.Addr) string {
	c := t.state.Config
	if site, ok := t.state.SiteOf(address); ok {
		return c.Sites[site].Region
	}
	return c.Sites[c.Lookup.Site].Region
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
