package roster

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"github.com/daisygap/daisygap"
)

const (
	// DeadAfter is the time without a new heartbeat after which a daemon of the same region counts as dead. It covers several
	// rounds of gossip through a third daemon.
	DeadAfter = daisygap.Millis(3_000)
	// remoteDeadAfter is the same for a daemon of another region, whose heartbeats arrive less often.
	remoteDeadAfter = daisygap.Millis(8_000)
	// unsuspectedGrace is the additional time for a daemon that was not contacted directly. It covers two rounds of gossip.
	unsuspectedGrace = daisygap.Millis(1_000)
	// suspectRatio is the fraction of that time after which a daemon is contacted directly.
	suspectRatio = 0.5
	// forgetAfter is the time without a new heartbeat after which a daemon is removed.
	forgetAfter = daisygap.Millis(60_000)
	// maxLocalSample and maxRemoteSample are the largest numbers of heartbeats in one message, of other daemons of the same region
	// and of other regions.
	maxLocalSample  = 20
	maxRemoteSample = 12
)

type member struct {
	heartbeat daisygap.GossipHeartbeat
	// lastAdvance is the time when the heartbeat last became newer, on this daemon's clock.
	lastAdvance daisygap.Millis
	// suspected is set if the daemon was returned as a suspect since then.
	suspected bool
	// remote is set if the daemon is known to be in another region.
	remote bool
}

// Roster holds the latest heartbeats of the other daemons. It is not safe for concurrent use.
type Roster struct {
	// Self is this daemon's own heartbeat.
	Self daisygap.GossipHeartbeat
	// Rand draws the heartbeats of a message. If it is nil, the default source is used.
	Rand *rand.Rand

	members map[string]*member
	// sorted holds the members sorted by name.
	sorted []*member
	// peers holds the addresses of the daemons in the store, by name.
	peers map[string]daisygap.Peer
}

// SetStorePeer sets a daemon's addresses from its entry in the store.
func (r *Roster) SetStorePeer(p daisygap.Peer) {
	if r.peers == nil {
		r.peers = make(map[string]daisygap.Peer)
	}
	r.peers[p.Name] = p
}

// StorePeers returns the daemons in the store by name.
func (r *Roster) StorePeers() map[string]daisygap.Peer {
	return r.peers
}

// Merge merges received heartbeats, and reports whether a daemon appeared, restarted, became alive again or
// changed its state.
func (r *Roster) Merge(heartbeats []daisygap.GossipHeartbeat, now daisygap.Millis) bool {
	if r.members == nil {
		r.members = make(map[string]*member)
	}
	changed := false
	for _, h := range heartbeats {
		if h.Name == r.Self.Name && newer(h, r.Self) {
			// An earlier process of this daemon has a later start time, because the clock was set back since. The other daemons
			// prefer the later start time, so this one must exceed it.
			r.Self.StartTime = h.StartTime + 1
		}
		if h.Name == "" || h.Name == r.Self.Name {
			continue
		}
		m := r.members[h.Name]
		if h.Peer == nil {
			h.Peer = r.peerOf(h.Name)
		}
		switch {
		case m == nil:
			r.add(&member{heartbeat: h, lastAdvance: now, remote: r.isRemote(h.Peer)})
			changed = true
		case newer(h, m.heartbeat), h.StartTime != m.heartbeat.StartTime && r.isDead(m, now):
			changed = changed || m.heartbeat.Leaving != h.Leaving || m.heartbeat.Ready != h.Ready || m.heartbeat.StartTime != h.StartTime || r.isDead(m, now)
			m.heartbeat, m.lastAdvance, m.suspected, m.remote = h, now, false, r.isRemote(h.Peer)
		}
	}
	return changed
}

func (r *Roster) add(m *member) {
	r.members[m.heartbeat.Name] = m
	i, _ := slices.BinarySearchFunc(r.sorted, m.heartbeat.Name, func(o *member, name string) int {
		return strings.Compare(o.heartbeat.Name, name)
	})
	r.sorted = slices.Insert(r.sorted, i, m)
}

// isRemote reports whether a daemon is known to be in another region.
func (r *Roster) isRemote(p *daisygap.Peer) bool {
	return p != nil && r.Self.Peer != nil && p.Region != r.Self.Peer.Region
}

// peerOf returns a daemon's addresses, or nil if they are unknown.
func (r *Roster) peerOf(name string) *daisygap.Peer {
	if m := r.members[name]; m != nil && m.heartbeat.Peer != nil {
		return m.heartbeat.Peer
	}
	if p, ok := r.peers[name]; ok {
		return &p
	}
	return nil
}

// newer reports whether a heartbeat is newer than another one of the same daemon.
func newer(h, other daisygap.GossipHeartbeat) bool {
	if h.StartTime != other.StartTime {
		return h.StartTime > other.StartTime
	}
	return h.Counter > other.Counter
}

// Alive returns the heartbeats of the other daemons that are alive and have a known address, sorted by name. It removes daemons
// after forgetAfter.
func (r *Roster) Alive(now daisygap.Millis) []daisygap.GossipHeartbeat {
	list := make([]daisygap.GossipHeartbeat, 0, len(r.sorted))
	r.sorted = slices.DeleteFunc(r.sorted, func(m *member) bool {
		forgotten := now-m.lastAdvance > forgetAfter
		switch {
		case forgotten:
			delete(r.members, m.heartbeat.Name)
		case !r.isDead(m, now) && m.heartbeat.Peer != nil:
			list = append(list, m.heartbeat)
		}
		return forgotten
	})
	return list
}

// Known returns the heartbeats of all daemons with a known address that were not removed, including dead ones, sorted by name.
func (r *Roster) Known() []daisygap.GossipHeartbeat {
	var list []daisygap.GossipHeartbeat
	for _, m := range r.sorted {
		if m.heartbeat.Peer != nil {
			list = append(list, m.heartbeat)
		}
	}
	return list
}

// Staying returns the heartbeats of the known daemons that didn't announce that they leave, sorted by name.
func (r *Roster) Staying() []daisygap.GossipHeartbeat {
	return slices.DeleteFunc(r.Known(), func(h daisygap.GossipHeartbeat) bool { return h.Leaving })
}

// MayRun returns the heartbeats of the daemons that may be running, even if they are cut off from this one: all known daemons but those
// that announced that they leave and then fell silent.
func (r *Roster) MayRun(now daisygap.Millis) []daisygap.GossipHeartbeat {
	return slices.DeleteFunc(r.Known(), func(h daisygap.GossipHeartbeat) bool { return h.Leaving && r.isDead(r.members[h.Name], now) })
}

// Suspects returns up to count daemons that will count as dead soon, the soonest first, so that they can be contacted directly
// before that.
func (r *Roster) Suspects(count int, now daisygap.Millis) []daisygap.GossipHeartbeat {
	var list []*member
	for _, m := range r.sorted {
		if m.heartbeat.Peer != nil && !r.isDead(m, now) && float64(now-m.lastAdvance) > suspectRatio*float64(r.deadAfter(m)) {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].lastAdvance+r.deadAfter(list[i]) < list[j].lastAdvance+r.deadAfter(list[j])
	})
	var heartbeats []daisygap.GossipHeartbeat
	for _, m := range list[:min(len(list), count)] {
		m.suspected = true
		heartbeats = append(heartbeats, m.heartbeat)
	}
	return heartbeats
}

// isDead reports whether a daemon has sent no new heartbeat for too long. A daemon that wasn't suspected yet, so that nobody has
// contacted it directly, gets unsuspectedGrace more.
func (r *Roster) isDead(m *member, now daisygap.Millis) bool {
	limit := r.deadAfter(m)
	if !m.suspected {
		limit += unsuspectedGrace
	}
	return now-m.lastAdvance > limit
}

func (r *Roster) deadAfter(m *member) daisygap.Millis {
	if m.remote {
		return remoteDeadAfter
	}
	return DeadAfter
}

// Sample returns this daemon's heartbeat and some of those that advanced lately, for one gossip message.
func (r *Roster) Sample(now daisygap.Millis) []daisygap.GossipHeartbeat {
	var local, remote []*member
	for _, m := range r.sorted {
		switch {
		case r.isDead(m, now):
		case m.remote:
			remote = append(remote, m)
		default:
			local = append(local, m)
		}
	}
	heartbeats := []daisygap.GossipHeartbeat{r.Self}
	for _, m := range append(r.sampleFresh(local, maxLocalSample), r.sampleFresh(remote, maxRemoteSample)...) {
		h := m.heartbeat
		h.Peer = nil
		heartbeats = append(heartbeats, h)
	}
	return heartbeats
}

// sampleFresh returns up to count daemons, drawn from the half whose heartbeats advanced last. Always sending the very last ones
// would repeat the heartbeats that the receiver got as well.
func (r *Roster) sampleFresh(list []*member, count int) []*member {
	sort.SliceStable(list, func(i, j int) bool { return list[i].lastAdvance > list[j].lastAdvance })
	fresh := list[:min(len(list), max(count, len(list)/2))]
	shuffle := rand.Shuffle
	if r.Rand != nil {
		shuffle = r.Rand.Shuffle
	}
	shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	return fresh[:min(len(fresh), count)]
}
