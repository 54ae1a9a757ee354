package roster

import (
	"sort"

	"github.com/daisygap/daisygap"
)

const (
	// DeadAfter is the time without a new heartbeat after which a daemon counts as dead. It covers several rounds of gossip through
	// a third daemon.
	DeadAfter = daisygap.Millis(3_000)
	// forgetAfter is the time without a new heartbeat after which a daemon is removed.
	forgetAfter = daisygap.Millis(60_000)
	// maxSample is the largest number of other daemons' heartbeats in one message.
	maxSample = 24
)

type member struct {
	heartbeat daisygap.GossipHeartbeat
	// lastAdvance is the time when the heartbeat last became newer, on this daemon's clock.
	lastAdvance daisygap.Millis
}

// Roster holds the latest heartbeats of the other daemons. It is not safe for concurrent use.
type Roster struct {
	// Self is this daemon's own heartbeat.
	Self daisygap.GossipHeartbeat

	members map[string]*member
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
			r.members[h.Name] = &member{heartbeat: h, lastAdvance: now}
			changed = true
		case newer(h, m.heartbeat), h.StartTime != m.heartbeat.StartTime && now-m.lastAdvance > DeadAfter:
			changed = changed || m.heartbeat.Leaving != h.Leaving || m.heartbeat.Ready != h.Ready || m.heartbeat.StartTime != h.StartTime || now-m.lastAdvance > DeadAfter
			m.heartbeat, m.lastAdvance = h, now
		}
	}
	return changed
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
	var list []daisygap.GossipHeartbeat
	for name, m := range r.members {
		switch age := now - m.lastAdvance; {
		case age > forgetAfter:
			delete(r.members, name)
		case age <= DeadAfter && m.heartbeat.Peer != nil:
			list = append(list, m.heartbeat)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Known returns the heartbeats of all daemons with a known address that were not removed, including dead ones, sorted by name.
func (r *Roster) Known() []daisygap.GossipHeartbeat {
	var list []daisygap.GossipHeartbeat
	for _, m := range r.members {
		if m.heartbeat.Peer != nil {
			list = append(list, m.heartbeat)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Sample returns this daemon's heartbeat and the most recent ones of others, for one gossip message.
func (r *Roster) Sample(now daisygap.Millis) []daisygap.GossipHeartbeat {
	var list []*member
	for _, m := range r.members {
		if now-m.lastAdvance <= DeadAfter {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].lastAdvance > list[j].lastAdvance })
	heartbeats := []daisygap.GossipHeartbeat{r.Self}
	for _, m := range list[:min(len(list), maxSample)] {
		h := m.heartbeat
		h.Peer = nil
		heartbeats = append(heartbeats, h)
	}
	return heartbeats
}
