package steer

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/roster"
)

const (
	// gossipInterval is the time between two rounds; news reach a dozen daemons in three.
	gossipInterval = daisygap.Millis(400)
	// gossipFanout is the number of daemons told in a round.
	gossipFanout = 2
)

type membership struct {
	mu     sync.Mutex
	roster roster.Roster
	// relayBackoff holds daemons that failed to relay the store, and until when they aren't asked.
	relayBackoff map[string]daisygap.Millis
	// behindSince is since when another daemon knows more of the store; 0 when none does.
	behindSince daisygap.Millis
}

func (m *membership) self() daisygap.GossipHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

// addContact keeps a daemon's entry in the store as a contact.
func (d *Daemon) addContact(p daisygap.Peer) {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	d.membership.roster.SetStorePeer(p)
}

func encodePeer(p daisygap.Peer) ([]byte, error) {
	return json.Marshal(p)
}

// runGossip exchanges signs of life with other daemons.
func (d *Daemon) runGossip() {
	for d.sleep(jitter(gossipInterval)) {
		for _, address := range d.gossipTargets(gossipFanout) {
			go d.exchangeGossip(address)
		}
	}
}

func (d *Daemon) exchangeGossip(address string) {
	reply, err := d.Peers.Gossip(address, d.nextGossip())
	if err != nil {
		return // the roster shows who is silent
	}
	d.mergeGossip(reply)
}

// nextGossip returns what this daemon tells the others.
func (d *Daemon) nextGossip() daisygap.Gossip {
	now, revision := d.Clock.Now(), d.revision()
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	self := &d.membership.roster.Self
	self.Counter++
	self.Ready, self.Leaving, self.Revision = d.Ready(), d.stopping.Load(), revision
	return daisygap.Gossip{Heartbeats: d.membership.roster.Sample(now), Crashes: d.crashes.recent(now), Loads: d.fleet.RecentLoads(now)}
}

func (d *Daemon) mergeGossip(g daisygap.Gossip) {
	now := d.Clock.Now()
	d.membership.mu.Lock()
	changed := d.membership.roster.Merge(g.Heartbeats, now)
	d.membership.mu.Unlock()
	d.crashes.merge(g.Crashes, now)
	d.fleet.MergeLoads(g.Loads, now)
	if changed {
		d.updateDaemonNames()
	}
}

// ServeGossip answers another daemon's exchange.
func (d *Daemon) ServeGossip(g daisygap.Gossip) daisygap.Gossip {
	d.mergeGossip(g)
	return d.nextGossip()
}

// gossipTargets picks daemons to talk to: mostly living ones, now and then one that is silent or was only read of.
func (d *Daemon) gossipTargets(count int) []string {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	self := d.membership.roster.Self.Peer
	var live, others []string
	for _, p := range d.membership.roster.Alive(d.Clock.Now()) {
		live = append(live, p.Peer.Address)
	}
	for _, p := range d.membership.roster.Known() {
		others = append(others, p.Peer.Address)
	}
	for _, p := range d.membership.roster.StorePeers() {
		others = append(others, p.Address)
	}
	others = append(others, d.Settings.Peers...)
	others = slices.DeleteFunc(others, func(a string) bool { return a == self.Address || slices.Contains(live, a) })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	list := live[:min(len(live), count)]
	if len(others) > 0 && (len(list) < count || rand.IntN(4) == 0) {
		list = append(list, others[0])
	}
	return list
}

// updateDaemonNames tells the parts that share limits among daemons who there is.
func (d *Daemon) updateDaemonNames() {
	d.membership.mu.Lock()
	names := []string{d.Settings.Host}
	for _, p := range d.membership.roster.Alive(d.Clock.Now()) {
		names = append(names, p.Name)
	}
	d.membership.mu.Unlock()
	d.fleet.SetDaemons(names)
	d.budgets.setDaemons(len(names))
}

// announceLeave tells every living daemon that this one leaves.
func (d *Daemon) announceLeave() {
	for _, address := range d.gossipTargets(maxLeaveMessages) {
		go d.exchangeGossip(address)
	}
	d.revokeLease()
}

// maxLeaveMessages bounds the messages of a leaving daemon; gossip carries the news further.
const maxLeaveMessages = 24
