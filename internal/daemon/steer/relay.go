package steer

import (
	"math/rand/v2"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// relaySpan is how long a daemon waits at another for changes of the store.
	relaySpan = daisygap.Millis(8_000)
	// relayRest is how long a daemon that failed to relay isn't asked again.
	relayRest = daisygap.Millis(3_000)
	// relays is the number of daemons of a region that watch the store for the others.
	relays = 2
	// followSpan is the time between two looks whether others know more of the store.
	followSpan = daisygap.Millis(200)
	// lagSpan is how long the own watch may lag behind what others know.
	lagSpan = daisygap.Millis(300)
)

// restRelay leaves a daemon out as a relay for a while.
func (m *members) restRelay(address string, until daisygap.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.resting == nil {
		m.resting = make(map[string]daisygap.Millis)
	}
	m.resting[address] = until
}

// relay returns the daemon of the own region to wait at for changes of the store, or "" when this one has to watch it.
func (d *Daemon) relay() string {
	now := d.Clock.Now()
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.roster.Self.Peer
	var region []daisygap.Peer
	for _, p := range m.roster.Alive(now) {
		if p.Peer.Region == self.Region && !p.Leaving && p.Revision > 0 && now >= m.resting[p.Peer.Address] {
			region = append(region, *p.Peer)
		}
	}
	region = append(region, *self)
	slices.SortFunc(region, func(a, b daisygap.Peer) int { return compareHash(self.Region, a.Name, b.Name) })
	watchers := region[:min(len(region), relays)]
	slices.SortFunc(watchers, func(a, b daisygap.Peer) int { return compareHash(self.Name, a.Name, b.Name) })
	if slices.Contains(watchers, *self) {
		return ""
	}
	return watchers[0].Address
}

// followRelay waits at another daemon for changes.
func (d *Daemon) followRelay(address string) {
	ctx, cancel := d.watching()
	defer cancel()
	u, err := d.Peers.Mirror(ctx, address, d.revision(), relaySpan)
	switch {
	case err == nil:
		d.apply(u, address)
	case ctx.Err() == nil:
		d.members.restRelay(address, d.Clock.Now()+relayRest)
		d.event("relay failed", "relay failed", func() daisygap.Fields {
			return daisygap.Fields{"peer": address, "error": err.Error()}
		})
	}
}

// runFollow takes changes from other daemons that the own watch doesn't bring.
func (d *Daemon) runFollow() {
	for d.pause(followSpan) {
		address, lagging := d.ahead()
		if !lagging {
			continue
		}
		u, err := d.Peers.Mirror(d.ctx, address, d.revision(), 0)
		if err != nil {
			d.Log.Event("relay failed", daisygap.Fields{"peer": address, "error": err.Error()})
			continue
		}
		if d.apply(u, address) > 0 {
			relayed.Inc()
			d.restartWatch()
		}
	}
}

// ahead returns a daemon that has known more of the store for a while.
func (d *Daemon) ahead() (string, bool) {
	now, own := d.Clock.Now(), d.revision()
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	var best []daisygap.GossipHeartbeat
	for _, p := range d.members.roster.Alive(now) {
		if p.Revision > own {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		d.members.behind = 0
		return "", false
	}
	if d.members.behind == 0 {
		d.members.behind = now
	}
	if own > 0 && now-d.members.behind < lagSpan {
		return "", false
	}
	return best[rand.IntN(len(best))].Peer.Address, true
}
