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
	// gossipSpan is the time between two rounds; news reach a dozen daemons in three.
	gossipSpan = daisygap.Millis(400)
	// gossipFan is the number of daemons told in a round.
	gossipFan = 2
)

type members struct {
	mu     sync.Mutex
	roster roster.Roster
	// resting holds daemons that failed to relay the store, and until when they aren't asked.
	resting map[string]daisygap.Millis
	// behind is since when another daemon knows more of the store; 0 when none does.
	behind daisygap.Millis
}

func (m *members) self() daisygap.GossipHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

// notePeer keeps a daemon's entry in the store as a contact.
func (d *Daemon) notePeer(p daisygap.Peer) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	d.members.roster.SetStorePeer(p)
}

func encodePeer(p daisygap.Peer) ([]byte, error) {
	return json.Marshal(p)
}

// runGossip exchanges signs of life with other daemons.
func (d *Daemon) runGossip() {
	for d.pause(jitter(gossipSpan)) {
		for _, address := range d.contacts(gossipFan) {
			go d.exchangeGossip(address)
		}
	}
}

func (d *Daemon) exchangeGossip(address string) {
	answer, err := d.Peers.Gossip(address, d.gossip())
	if err != nil {
		return // the roster shows who is silent
	}
	d.hear(answer)
}

// gossip returns what this daemon tells the others.
func (d *Daemon) gossip() daisygap.Gossip {
	now, revision := d.Clock.Now(), d.revision()
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	self := &d.members.roster.Self
	self.Counter++
	self.Ready, self.Leaving, self.Revision = d.Ready(), d.stopping.Load(), revision
	return daisygap.Gossip{Heartbeats: d.members.roster.Sample(now), Crashes: d.crashes.recent(now), Loads: d.fleet.RecentLoads(now)}
}

func (d *Daemon) hear(g daisygap.Gossip) {
	now := d.Clock.Now()
	d.members.mu.Lock()
	changed := d.members.roster.Merge(g.Heartbeats, now)
	d.members.mu.Unlock()
	d.crashes.take(g.Crashes, now)
	d.fleet.MergeLoads(g.Loads, now)
	if changed {
		d.nameDaemons()
	}
}

// ServeGossip answers another daemon's exchange.
func (d *Daemon) ServeGossip(g daisygap.Gossip) daisygap.Gossip {
	d.hear(g)
	return d.gossip()
}

// contacts picks daemons to talk to: mostly living ones, now and then one that is silent or was only read of.
func (d *Daemon) contacts(most int) []string {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	self := d.members.roster.Self.Peer
	var living, others []string
	for _, p := range d.members.roster.Alive(d.Clock.Now()) {
		living = append(living, p.Peer.Address)
	}
	for _, p := range d.members.roster.Known() {
		others = append(others, p.Peer.Address)
	}
	for _, p := range d.members.roster.StorePeers() {
		others = append(others, p.Address)
	}
	others = append(others, d.Settings.Peers...)
	others = slices.DeleteFunc(others, func(a string) bool { return a == self.Address || slices.Contains(living, a) })
	rand.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	list := living[:min(len(living), most)]
	if len(others) > 0 && (len(list) < most || rand.IntN(4) == 0) {
		list = append(list, others[0])
	}
	return list
}

// nameDaemons tells the parts that share limits among daemons who there is.
func (d *Daemon) nameDaemons() {
	d.members.mu.Lock()
	names := []string{d.Settings.Host}
	for _, p := range d.members.roster.Alive(d.Clock.Now()) {
		names = append(names, p.Name)
	}
	d.members.mu.Unlock()
	d.fleet.SetDaemons(names)
	d.budgets.setDaemons(len(names))
}

// farewell tells every living daemon that this one leaves.
func (d *Daemon) farewell() {
	for _, address := range d.contacts(maxFarewells) {
		go d.exchangeGossip(address)
	}
	d.endLease()
}

// maxFarewells bounds the messages of a leaving daemon; gossip carries the news further.
const maxFarewells = 24
