package steer

import (
	"math/rand/v2"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// relayWait is how long a daemon waits at another for changes of the store.
	relayWait = daisygap.Millis(8_000)
	// relayBackoffTime is how long a daemon that failed to relay isn't asked again.
	relayBackoffTime = daisygap.Millis(3_000)
	// relaysPerRegion is the number of daemons of a region that watch the store for the others.
	relaysPerRegion = 2
	// catchUpInterval is the time between two looks whether others know more of the store.
	catchUpInterval = daisygap.Millis(200)
	// maxLag is how long the own watch may lag behind what others know.
	maxLag = daisygap.Millis(300)
)

// backOffRelay leaves a daemon out as a relay for a while.
func (m *membership) backOffRelay(address string, until daisygap.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relayBackoff == nil {
		m.relayBackoff = make(map[string]daisygap.Millis)
	}
	m.relayBackoff[address] = until
}

// chooseRelay returns the daemon of the own region to wait at for changes of the store, or "" when this one has to watch it.
func (d *Daemon) chooseRelay() string {
	now := d.Clock.Now()
	m := &d.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.roster.Self.Peer
	var region []daisygap.Peer
	for _, p := range m.roster.Alive(now) {
		if p.Peer.Region == self.Region && !p.Leaving && p.Revision > 0 && now >= m.relayBackoff[p.Peer.Address] {
			region = append(region, *p.Peer)
		}
	}
	region = append(region, *self)
	slices.SortFunc(region, func(a, b daisygap.Peer) int { return compareHash(self.Region, a.Name, b.Name) })
	relays := region[:min(len(region), relaysPerRegion)]
	slices.SortFunc(relays, func(a, b daisygap.Peer) int { return compareHash(self.Name, a.Name, b.Name) })
	if slices.Contains(relays, *self) {
		return ""
	}
	return relays[0].Address
}

// watchRelay waits at another daemon for changes.
func (d *Daemon) watchRelay(address string) {
	ctx, cancel := d.watchContext()
	defer cancel()
	u, err := d.Peers.Mirror(ctx, address, d.revision(), relayWait)
	switch {
	case err == nil:
		d.apply(u, address)
	case ctx.Err() == nil:
		d.membership.backOffRelay(address, d.Clock.Now()+relayBackoffTime)
		d.event("relay failed", "relay failed", func() daisygap.Fields {
			return daisygap.Fields{"peer": address, "error": err.Error()}
		})
	}
}

// runCatchUp takes changes from other daemons that the own watch doesn't bring.
func (d *Daemon) runCatchUp() {
	for d.sleep(catchUpInterval) {
		address, lagging := d.peerAhead()
		if !lagging {
			continue
		}
		u, err := d.Peers.Mirror(d.ctx, address, d.revision(), 0)
		if err != nil {
			d.Log.Event("relay failed", daisygap.Fields{"peer": address, "error": err.Error()})
			continue
		}
		if d.apply(u, address) > 0 {
			relayedUpdates.Inc()
			d.restartWatch()
		}
	}
}

// peerAhead returns a daemon that has known more of the store for a while.
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
