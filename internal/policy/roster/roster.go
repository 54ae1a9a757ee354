package roster

import (
	"sort"

	"github.com/daisygap/daisygap"
)

const (
	// DeadAfter is the silence after which a daemon counts as dead: several rounds of gossip through a third daemon.
	DeadAfter = daisygap.Millis(3_000)
	// forgetAfter is the silence after which nothing of a daemon is kept.
	forgetAfter = daisygap.Millis(60_000)
	// maxSample is the number of heartbeats that one message names.
	maxSample = 24
)

type member struct {
	heartbeat daisygap.GossipHeartbeat
	// lastAdvance is when the count last grew, on this daemon's clock.
	lastAdvance daisygap.Millis
}

// Roster is what one daemon knows of the others; it is not safe for concurrent use.
type Roster struct {
	Self daisygap.GossipHeartbeat

	members map[string]*member
	// peers holds how to reach daemons that the store names.
	peers map[string]daisygap.Peer
}

// SetStorePeer takes in how to reach a daemon, from its entry in the store.
func (r *Roster) SetStorePeer(p daisygap.Peer) {
	if r.peers == nil {
		r.peers = make(map[string]daisygap.Peer)
	}
	r.peers[p.Name] = p
}

// StorePeers returns how to reach the daemons that the store names.
func (r *Roster) StorePeers() map[string]daisygap.Peer {
	return r.peers
}

// Merge takes heartbeats in and reports whether any daemon appeared or changed its state.
func (r *Roster) Merge(pulses []daisygap.GossipHeartbeat, now daisygap.Millis) bool {
	if r.members == nil {
		r.members = make(map[string]*member)
	}
	changed := false
	for _, b := range pulses {
		if b.Name == r.Self.Name && newer(b, r.Self) {
			// An earlier process of this daemon started at a later time of day; the others believe the later start.
			r.Self.StartTime = b.StartTime + 1
		}
		if b.Name == "" || b.Name == r.Self.Name {
			continue
		}
		m := r.members[b.Name]
		if b.Peer == nil {
			b.Peer = r.peerOf(b.Name)
		}
		switch {
		case m == nil:
			r.members[b.Name] = &member{heartbeat: b, lastAdvance: now}
			changed = true
		case newer(b, m.heartbeat), b.StartTime != m.heartbeat.StartTime && now-m.lastAdvance > DeadAfter:
			changed = changed || m.heartbeat.Leaving != b.Leaving || m.heartbeat.Ready != b.Ready || m.heartbeat.StartTime != b.StartTime || now-m.lastAdvance > DeadAfter
			m.heartbeat, m.lastAdvance = b, now
		}
	}
	return changed
}

// peerOf returns how to peerOf a daemon, or nil while that isn't known.
func (r *Roster) peerOf(name string) *daisygap.Peer {
	if m := r.members[name]; m != nil && m.heartbeat.Peer != nil {
		return m.heartbeat.Peer
	}
	if p, ok := r.peers[name]; ok {
		return &p
	}
	return nil
}

func newer(b, than daisygap.GossipHeartbeat) bool {
	if b.StartTime != than.StartTime {
		return b.StartTime > than.StartTime
	}
	return b.Counter > than.Counter
}

// Alive returns the pulses of the other daemons that were heard of lately and can be reached, by name.
func (r *Roster) Alive(now daisygap.Millis) []daisygap.GossipHeartbeat {
	var list []daisygap.GossipHeartbeat
	for name, m := range r.members {
		switch silent := now - m.lastAdvance; {
		case silent > forgetAfter:
			delete(r.members, name)
		case silent <= DeadAfter && m.heartbeat.Peer != nil:
			list = append(list, m.heartbeat)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Known returns all daemons that aren't forgotten, dead ones included, by name.
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

// Sample returns this daemon's beat and those heard of last, for one message.
func (r *Roster) Sample(now daisygap.Millis) []daisygap.GossipHeartbeat {
	var list []*member
	for _, m := range r.members {
		if now-m.lastAdvance <= DeadAfter {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].lastAdvance > list[j].lastAdvance })
	pulses := []daisygap.GossipHeartbeat{r.Self}
	for _, m := range list[:min(len(list), maxSample)] {
		p := m.heartbeat
		p.Peer = nil
		pulses = append(pulses, p)
	}
	return pulses
}
