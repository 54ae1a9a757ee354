package steer

import (
	"math/rand/v2"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// relayWait is how long a request to a relay waits for changes of the store.
	relayWait = daisygap.Millis(8_000)
	// relayChangeDelay is the mean delay before another relay is used after one has lost the store, so that daemons don't try each other
	// in quick succession while nobody reaches it.
	relayChangeDelay = daisygap.Millis(100)
	// relayBackoffTime is how long a relay that failed isn't used again.
	relayBackoffTime = daisygap.Millis(3_000)
	// relaysPerRegion is the number of daemons per region that watch the store and relay its changes to the others, if they reach it.
	relaysPerRegion = 2
	// storeProbeInterval is the mean time between two probes of the store by a daemon that has lost it and would be a relay otherwise.
	// A probe is a watch that waits for storeProbeWait.
	storeProbeInterval = daisygap.Millis(2_000)
	storeProbeWait     = daisygap.Millis(1)
	// catchUpInterval is the time between two checks whether another daemon has a newer store revision.
	catchUpInterval = daisygap.Millis(200)
	// maxLag is how long this daemon's replica may be behind another daemon's before the changes are fetched from there.
	maxLag = daisygap.Millis(300)
)

// backOffRelay excludes a daemon from the choice of a relay until the given time.
func (m *membership) backOffRelay(address string, until daisygap.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relayBackoff == nil {
		m.relayBackoff = make(map[string]daisygap.Millis)
	}
	m.relayBackoff[address] = until
}

// chooseRelay returns the daemon in this region that relays the store's changes to this one, and whether this one would be a relay
// itself if it hadn't lost the store (displaced). The relay's heartbeat is empty if this daemon has to watch the store itself.
func (d *Daemon) chooseRelay() (relay daisygap.GossipHeartbeat, displaced bool) {
	m := &d.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.roster.Self.Name
	isSelf := func(r daisygap.GossipHeartbeat) bool { return r.Name == self }
	candidates := m.relayCandidates(d.Clock.Now())
	first := candidates[:min(len(candidates), relaysPerRegion)]
	relays := relaysAmong(candidates)
	if slices.ContainsFunc(relays, isSelf) {
		return daisygap.GossipHeartbeat{}, false
	}
	displaced = slices.ContainsFunc(first, isSelf)
	return slices.MinFunc(relays, func(a, b daisygap.GossipHeartbeat) int { return compareHash(self, a.Name, b.Name) }), displaced
}

// relayCandidates returns the daemons of this region, the first one by hash first; the caller holds the lock.
func (m *membership) relayCandidates(now daisygap.Millis) []daisygap.GossipHeartbeat {
	self := m.roster.Self
	list := []daisygap.GossipHeartbeat{self}
	for _, p := range m.roster.Alive(now) {
		if p.Peer.Region == self.Peer.Region && !p.Leaving && p.Revision > 0 && now >= m.relayBackoff[p.Peer.Address] {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b daisygap.GossipHeartbeat) int { return compareHash(self.Peer.Region, a.Name, b.Name) })
	return list
}

// relaysAmong returns the candidates that watch the store. Daemons that have lost the store are relays only if no other daemon is left.
// Since all daemons use the same order, and one that isn't a relay only follows daemons before it, they never follow each other in
// a circle.
func relaysAmong(candidates []daisygap.GossipHeartbeat) []daisygap.GossipHeartbeat {
	relays := slices.DeleteFunc(slices.Clone(candidates), func(h daisygap.GossipHeartbeat) bool { return h.StoreLost })
	if len(relays) == 0 {
		relays = candidates
	}
	return relays[:min(len(relays), relaysPerRegion)]
}

// watchRelay waits up to the given time for changes at a relay, applies them and reports whether the relay answered.
func (d *Daemon) watchRelay(relay daisygap.GossipHeartbeat, wait daisygap.Millis) bool {
	ctx, cancel := d.watchContext()
	defer cancel()
	address := relay.Peer.Address
	u, err := d.Peers.Mirror(ctx, address, daisygap.MirrorQuery{After: d.revision(), Wait: wait, FromStore: !relay.StoreLost})
	switch {
	case err == nil:
		d.apply(u, address)
		if u.StoreLost && !relay.StoreLost {
			d.membership.backOffRelay(address, d.Clock.Now()+relayBackoffTime)
			d.sleep(jitter(relayChangeDelay))
		}
	case ctx.Err() == nil:
		d.membership.backOffRelay(address, d.Clock.Now()+relayBackoffTime)
		d.event("relay failed", "relay failed", func() daisygap.Fields {
			return daisygap.Fields{"peer": address, "error": err.Error()}
		})
	}
	return err == nil
}

// runCatchUp fetches changes from other daemons when this daemon's watch lags behind.
func (d *Daemon) runCatchUp() {
	for d.sleep(catchUpInterval) {
		address, lagging := d.peerAhead()
		if !lagging {
			continue
		}
		u, err := d.Peers.Mirror(d.ctx, address, daisygap.MirrorQuery{After: d.revision()})
		if err != nil {
			d.event("relay failed", "relay failed", func() daisygap.Fields {
				return daisygap.Fields{"peer": address, "error": err.Error()}
			})
			continue
		}
		if d.apply(u, address) > 0 {
			relayedUpdates.Inc()
			d.restartWatch()
		}
	}
}

// peerAhead returns the address of a live daemon with a newer store revision. It returns false if there is none, or if this
// daemon has loaded the store and has been behind for less than maxLag.
func (d *Daemon) peerAhead() (string, bool) {
	now, ownRevision := d.Clock.Now(), d.revision()
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	var ahead []daisygap.GossipHeartbeat
	for _, p := range d.membership.roster.Alive(now) {
		if p.Revision > ownRevision {
			ahead = append(ahead, p)
		}
	}
	if len(ahead) == 0 {
		d.membership.behindSince = 0
		return "", false
	}
	if d.membership.behindSince == 0 {
		d.membership.behindSince = now
	}
	if ownRevision > 0 && now-d.membership.behindSince < maxLag {
		return "", false
	}
	return ahead[rand.IntN(len(ahead))].Peer.Address, true
}
