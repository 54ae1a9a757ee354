package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// gossip holds the records of all domains that this daemon knows.
type gossip struct {
	mu      sync.Mutex
	records map[string]daisygap.DomainRecord
	// advancedAt is the time at which a domain's record or heartbeat last became newer, by domain.
	advancedAt map[string]daisygap.Millis
	lost       map[string]bool
	// forceUpdate makes the next load record of the local domain propagate, and loadsUpdatedAt is when it was last built.
	forceUpdate    bool
	loadsUpdatedAt daisygap.Millis
}

func (g *gossip) get(domain string) (daisygap.DomainRecord, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[domain]
	return r, ok
}

// snapshot returns one record per domain that combines its loads and hosts, and marks lost domains.
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

// checksum returns a hash of the records and their sequence numbers; it is equal on daemons that hold the same records.
func (g *gossip) checksum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for name, r := range g.records {
		h := xxhash.Sum64String(name) ^ r.Seq
		sum ^= h * 0x9e3779b97f4a7c15
	}
	// Some JSON decoders keep only 53 bits of a number.
	return sum >> 11
}

// digest returns a summary of the local state. It includes the sequence numbers of all records only if full is set.
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

// merge stores the records that are newer than the local ones, and returns them.
func (g *gossip) merge(own string, records []daisygap.DomainRecord, now daisygap.Millis) []daisygap.DomainRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var merged []daisygap.DomainRecord
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
		merged = append(merged, r)
	}
	return merged
}

// mergeHeartbeats stores the newer heartbeats of domains.
func (g *gossip) mergeHeartbeats(heartbeats map[string]uint64, now daisygap.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, heartbeat := range heartbeats {
		r, ok := g.records[name]
		if !ok || heartbeat <= r.Heartbeat {
			continue
		}
		r.Heartbeat = heartbeat
		g.records[name] = r
		g.advancedAt[name] = now
	}
}

// newerHeartbeats returns the heartbeats that are newer than those of the other daemon.
func (g *gossip) newerHeartbeats(known map[string]uint64) map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	heartbeats := make(map[string]uint64)
	for key, r := range g.records {
		if r.Heartbeat > known[key] {
			heartbeats[key] = r.Heartbeat
		}
	}
	return heartbeats
}

// diff compares the sequence numbers of another daemon with the local ones. It returns the records that the other daemon
// lacks and the keys of those that it has newer.
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

// updateLost recomputes the set of lost domains, and reports whether it changed.
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

// setLost replaces the set of lost domains by the leaseholder's, and calls changed if it differs.
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
