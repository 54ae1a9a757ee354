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
	// maxSample is the number of heartpulses that one message names.
	maxSample = 32
)

type member struct {
	pulse daisygap.Pulse
	// heard is when the count last grew, on this daemon's clock.
	heard daisygap.Millis
}

// Roster is what one daemon knows of the others; it is not safe for concurrent use.
type Roster struct {
	Self daisygap.Pulse

	members map[string]*member
}

// Hear takes heartpulses in and reports whether any daemon appeared or changed its state.
func (r *Roster) Hear(pulses []daisygap.Pulse, now daisygap.Millis) bool {
	if r.members == nil {
		r.members = make(map[string]*member)
	}
	changed := false
	for _, b := range pulses {
		if b.Peer.Name == "" || b.Peer.Name == r.Self.Peer.Name {
			continue
		}
		m := r.members[b.Peer.Name]
		switch {
		case m == nil:
			r.members[b.Peer.Name] = &member{pulse: b, heard: now}
			changed = true
		case newer(b, m.pulse):
			changed = changed || m.pulse.Leaving != b.Leaving || m.pulse.Ready != b.Ready || m.pulse.Start != b.Start || now-m.heard > DeadAfter
			m.pulse, m.heard = b, now
		}
	}
	return changed
}

func newer(b, than daisygap.Pulse) bool {
	if b.Start != than.Start {
		return b.Start > than.Start
	}
	return b.Count > than.Count
}

// Alive returns the pulses of the other daemons that were heard of lately, by name.
func (r *Roster) Alive(now daisygap.Millis) []daisygap.Pulse {
	var list []daisygap.Pulse
	for name, m := range r.members {
		switch silent := now - m.heard; {
		case silent > forgetAfter:
			delete(r.members, name)
		case silent <= DeadAfter:
			list = append(list, m.pulse)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Peer.Name < list[j].Peer.Name })
	return list
}

// Known returns all daemons that aren't forgotten, dead ones included, by name.
func (r *Roster) Known() []daisygap.Pulse {
	var list []daisygap.Pulse
	for _, m := range r.members {
		list = append(list, m.pulse)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Peer.Name < list[j].Peer.Name })
	return list
}

// Sample returns this daemon's beat and those heard of last, for one message.
func (r *Roster) Sample(now daisygap.Millis) []daisygap.Pulse {
	var list []*member
	for _, m := range r.members {
		if now-m.heard <= DeadAfter {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].heard > list[j].heard })
	pulses := []daisygap.Pulse{r.Self}
	for _, m := range list[:min(len(list), maxSample)] {
		pulses = append(pulses, m.pulse)
	}
	return pulses
}
