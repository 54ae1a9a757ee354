package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// gossip is what this daemon knows of all domains.
type gossip struct {
	mu             sync.Mutex
	records        map[string]daisygap.DomainRecord
	advancedAt     map[string]daisygap.Millis
	lost           map[string]bool
	forceUpdate    bool
	loadsUpdatedAt daisygap.Millis
}

func (g *gossip) get(domain string) (daisygap.DomainRecord, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[domain]
	return r, ok
}

// snapshot returns a record for each domain with its hosts and loads, and with those of lost domains marked.
func (g *gossip) snapshot() map[string]daisygap.DomainRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make(map[string]daisygap.DomainRecord, len(g.records)/2)
	for key, r := range g.records {
		if strings.HasSuffix(key, hostsSuffix) {
			continue
		}
		r.Hosts = g.records[key+hostsSuffix].Hosts
		r.Lost = g.lost[key]
		records[key] = r
	}
	return records
}

// hostsOf returns the hosts of a domain.
func (g *gossip) hostsOf(domain string) []daisygap.Host {
	r, _ := g.get(domain + hostsSuffix)
	return r.Hosts
}

// checksum is equal on two daemons that hold the same records.
func (g *gossip) checksum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for name, r := range g.records {
		h := xxhash.Sum64String(name) ^ r.Seq
		sum ^= h * 0x9e3779b97f4a7c15
	}
	// JSON numbers of other decoders keep 53 bits.
	return sum >> 11
}

// digest returns what this daemon has; with the numbers of all records only when the other side asked for them.
func (g *gossip) digest(version uint64, full bool) daisygap.Digest {
	sum := g.checksum()
	g.mu.Lock()
	defer g.mu.Unlock()
	digest := daisygap.Digest{Version: version, RecordsChecksum: sum, Heartbeats: make(map[string]uint64, len(g.records)/2)}
	if full {
		digest.Full = true
		digest.Seqs = make(map[string]uint64, len(g.records))
	}
	for key, r := range g.records {
		if r.Heartbeat > 0 {
			digest.Heartbeats[key] = r.Heartbeat
		}
		if full {
			digest.Seqs[key] = r.Seq
		}
	}
	return digest
}

// merge keeps the newer records and returns those that were new here.
func (g *gossip) merge(own string, records []daisygap.DomainRecord, now daisygap.Millis) []daisygap.DomainRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []daisygap.DomainRecord
	for _, r := range records {
		old, known := g.records[r.Domain]
		if known && r.Seq <= old.Seq {
			continue
		}
		if name := strings.TrimSuffix(r.Domain, hostsSuffix); name != own {
			g.advancedAt[name] = now
		}
		r.Heartbeat = max(r.Heartbeat, old.Heartbeat)
		g.records[r.Domain] = r
		fresh = append(fresh, r)
	}
	return fresh
}

// mergeHeartbeats notes signs of life of domains.
func (g *gossip) mergeHeartbeats(beats map[string]uint64, now daisygap.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, beat := range beats {
		r, ok := g.records[name]
		if !ok || beat <= r.Heartbeat {
			continue
		}
		r.Heartbeat = beat
		g.records[name] = r
		g.advancedAt[name] = now
	}
}

// newerHeartbeats returns the signs of life that the other side hasn't heard.
func (g *gossip) newerHeartbeats(heard map[string]uint64) map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	beats := make(map[string]uint64)
	for key, r := range g.records {
		if r.Heartbeat > heard[key] {
			beats[key] = r.Heartbeat
		}
	}
	return beats
}

// diff returns the records that the other side lacks, and the keys of which it has diff ones.
func (g *gossip) diff(seqs map[string]uint64) (records []daisygap.DomainRecord, want []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, r := range g.records {
		switch seq := seqs[key]; {
		case r.Seq > seq:
			records = append(records, r)
		case r.Seq < seq:
			want = append(want, key)
		}
	}
	for key := range seqs {
		if _, ok := g.records[key]; !ok {
			want = append(want, key)
		}
	}
	return records, want
}

// updateLost returns whether the set of lost domains changed.
func (g *gossip) updateLost(own string, limit, now daisygap.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := make(map[string]bool)
	for name := range g.records {
		if name != own && !strings.HasSuffix(name, hostsSuffix) && now-g.advancedAt[name] > limit {
			lost[name] = true
		}
	}
	changed := !maps.Equal(lost, g.lost)
	g.lost = lost
	return changed
}

func (g *gossip) lostDomains() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.lost))
}

// setLost takes in the leaseholder's view of which domains are lost.
func (g *gossip) setLost(names []string, changed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := make(map[string]bool, len(names))
	for _, name := range names {
		lost[name] = true
	}
	if !maps.Equal(lost, g.lost) {
		g.lost = lost
		changed()
	}
}
