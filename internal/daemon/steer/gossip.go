package steer

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/roster"
)

const (
	// gossipInterval is the time between two rounds; an update reaches a dozen daemons in three rounds.
	gossipInterval = daisygap.Millis(400)
	// gossipFanout is the number of daemons contacted per round.
	gossipFanout = 2
	// maxSuspects is the number of daemons contacted per round because their heartbeats are old.
	maxSuspects = 3
	// crossRegionOdds is the inverse of the fraction of contacts of a large fleet that are drawn from all regions.
	crossRegionOdds = 4
	// smallFleet is the number of other live daemons up to which all contacts are drawn from all regions, so that news cross
	// regions as fast as within one. A message holds the heartbeats of so many.
	smallFleet = 32
	// largeDomain is the number of other live daemons of a domain from which on most contacts are in the domain, and crossDomainOdds the
	// inverse of the fraction of the contacts in the region that are drawn from all its domains then.
	largeDomain     = 16
	crossDomainOdds = 4
	// gossipTurn is how long the second contact of a round waits for the end of the first exchange. It covers a round trip between regions.
	gossipTurn = daisygap.Millis(100)
	// contactPeriod is the time after its start in which a daemon gets in contact with the others.
	contactPeriod = daisygap.Millis(2_000)
)

type membership struct {
	mu     sync.Mutex
	roster roster.Roster
	// relayBackoff holds the addresses of daemons that failed as relays, and until when they aren't used again.
	relayBackoff map[string]daisygap.Millis
	// arbiterBackoff holds the addresses of daemons that didn't respond to a request for a permit, and until when they aren't asked.
	arbiterBackoff map[string]daisygap.Millis
	// behindSince is when another daemon was first seen with a newer store revision, or 0 if none has one.
	behindSince daisygap.Millis
}

func (m *membership) self() daisygap.GossipHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

func (m *membership) setStoreLost(lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Self.StoreLost = lost
}

func (m *membership) isStoreLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self.StoreLost
}

// addContact adds a daemon found in the store as a gossip contact.
func (d *Daemon) addContact(p daisygap.Peer) {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	d.membership.roster.SetStorePeer(p)
}

func encodePeer(p daisygap.Peer) ([]byte, error) {
	return json.Marshal(p)
}

// runGossip periodically exchanges heartbeats with other daemons.
func (d *Daemon) runGossip() {
	for d.sleep(jitter(gossipInterval)) {
		go d.exchangeInTurn(d.gossipTargets(gossipFanout))
	}
}

// exchangeInTurn starts each exchange when the one before it has ended, or after gossipTurn. Speeds that are sent to two daemons at once
// spread twice as far as one daemon's observations should.
func (d *Daemon) exchangeInTurn(addresses []string) {
	for _, address := range addresses {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.exchangeGossip(address)
		}()
		select {
		case <-ended:
		case <-time.After(gossipTurn.Duration()):
		}
	}
}

func (d *Daemon) exchangeGossip(address string) {
	g := d.nextGossip(false)
	g.AllCrashes = d.isContactStale()
	// A leaving daemon contacts many others at once, each of which would mix the same estimates into its own.
	if !d.stopping.Load() {
		g.Speeds = d.fleet.RecentSpeeds(d.Clock.Now())
	}
	reply, err := d.Peers.Gossip(address, g)
	if err != nil {
		return // the roster detects daemons that don't respond
	}
	d.mergeGossip(reply)
	d.fleet.AdoptSpeeds(g.Speeds, reply.Speeds, d.Clock.Now())
	d.noteContact()
}

// nextGossip increments this daemon's heartbeat counter and returns the message for a gossip exchange, with all crash reports or only
// with the recent ones.
func (d *Daemon) nextGossip(allCrashes bool) daisygap.Gossip {
	now, revision := d.Clock.Now(), d.revision()
	crashes, answers := d.crashes.reports(allCrashes, now)
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	self := &d.membership.roster.Self
	self.Counter++
	self.Ready, self.Leaving, self.Revision = d.Ready(), d.stopping.Load(), revision
	self.ConfigVersion = d.configVersion()
	return daisygap.Gossip{
		Heartbeats: d.membership.roster.Sample(now), Crashes: crashes, Answers: answers,
		Loads: d.fleet.RecentLoads(now), Rates: d.fleet.RecentRates(now), Restarts: d.fleet.RecentRestarts(now),
	}
}

func (d *Daemon) mergeGossip(g daisygap.Gossip) {
	now := d.Clock.Now()
	d.membership.mu.Lock()
	changed := d.membership.roster.Merge(g.Heartbeats, now)
	d.membership.mu.Unlock()
	d.noteVersions(g.Heartbeats)
	d.mergeCrashes(g)
	d.fleet.MergeLoads(g.Loads, now)
	d.mergeRates(g.Rates, "peer")
	d.mergeRestarts(g.Restarts)
	if changed {
		d.updateDaemonNames()
	}
}

// ServeGossip merges another daemon's gossip and returns this daemon's.
func (d *Daemon) ServeGossip(g daisygap.Gossip) daisygap.Gossip {
	if g.NewsOnly {
		d.mergeCrashes(g)
		d.mergeRestarts(g.Restarts)
		return daisygap.Gossip{}
	}
	d.mergeGossip(g)
	reply := d.nextGossip(g.AllCrashes)
	reply.Speeds = d.fleet.MergeSpeeds(g.Speeds, d.Clock.Now())
	return reply
}

// gossipTargets picks up to count live daemons at random, most of them of this region, and a few whose heartbeats are
// old. It adds one that isn't known to be alive if there are fewer live ones than count, and otherwise with a probability of
// 1/4, so that daemons that lost contact find each other again.
func (d *Daemon) gossipTargets(count int) []string {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	now := d.Clock.Now()
	self := d.membership.roster.Self.Peer
	var contacts contacts
	var others []string
	for _, p := range d.membership.roster.Alive(now) {
		switch {
		case p.Peer.Domain == self.Domain:
			contacts.domain = append(contacts.domain, p.Peer.Address)
		case p.Peer.Region == self.Region:
			contacts.region = append(contacts.region, p.Peer.Address)
		default:
			contacts.far = append(contacts.far, p.Peer.Address)
		}
	}
	for _, p := range d.membership.roster.Known() {
		others = append(others, p.Peer.Address)
	}
	for _, p := range d.membership.roster.StorePeers() {
		others = append(others, p.Address)
	}
	others = append(others, d.Settings.Peers...)
	others = slices.DeleteFunc(others, func(a string) bool {
		return a == self.Address || slices.Contains(contacts.domain, a) || slices.Contains(contacts.region, a) || slices.Contains(contacts.far, a)
	})
	list := contacts.draw(count)
	if len(others) > 0 && (len(list) < count || rand.IntN(4) == 0) {
		list = append(list, others[rand.IntN(len(others))])
	}
	for _, p := range d.membership.roster.Suspects(maxSuspects, now) {
		if !slices.Contains(list, p.Peer.Address) {
			list = append(list, p.Peer.Address)
		}
	}
	return list
}

// contacts holds the addresses of live daemons of the own domain, of other domains of the region, and of other regions.
type contacts struct {
	domain, region, far []string
}

// draw removes and returns up to count addresses. In a large fleet, each is drawn from all regions with a probability of 1/crossRegionOdds, and
// otherwise from the own region. If the domain has many daemons, most of these are drawn from the domain, which spreads news at a fraction
// of the traffic between domains.
func (c *contacts) draw(count int) []string {
	var list []string
	small := len(c.domain)+len(c.region)+len(c.far) <= smallFleet
	for len(list) < count && len(c.domain)+len(c.region)+len(c.far) > 0 {
		near := len(c.domain) + len(c.region)
		cross := (small || rand.IntN(crossRegionOdds) == 0) && rand.IntN(near+len(c.far)) >= near
		from := &c.region
		switch {
		case len(c.far) > 0 && (cross || near == 0):
			from = &c.far
		case len(c.domain) > 0 && (len(c.region) == 0 || len(c.domain) >= largeDomain && rand.IntN(crossDomainOdds) != 0 || rand.IntN(near) < len(c.domain)):
			from = &c.domain
		}
		i := rand.IntN(len(*from))
		list = append(list, (*from)[i])
		*from = slices.Delete(*from, i, i+1)
	}
	return list
}

// updateDaemonNames passes the daemons to the components that divide limits among them.
func (d *Daemon) updateDaemonNames() {
	now := d.Clock.Now()
	d.membership.mu.Lock()
	alive := d.membership.roster.Alive(now)
	senders := d.coldSenders(now)
	d.updateArbiters(alive)
	d.membership.mu.Unlock()
	d.fleet.SetDaemons(senders)
	d.budgets.setDaemons(1 + len(alive))
}

// coldSenders returns the names of the daemons among which the rate of a cold upstream is divided, sorted; the caller holds the lock of the
// membership. Those that are cut off from this daemon may still reach the upstream. A daemon that has just started counts those in the store,
// since it has no contact to them yet.
func (d *Daemon) coldSenders(now daisygap.Millis) []string {
	return d.knownDaemons(now, contactPeriod)
}

// knownDaemons returns the names of the daemons that may be running, sorted. For a period after the start, those in the store count as well.
// The caller holds the lock of the membership.
func (d *Daemon) knownDaemons(now, period daisygap.Millis) []string {
	names := []string{d.Settings.Host}
	for _, h := range d.membership.roster.MayRun(now) {
		names = append(names, h.Name)
	}
	if now-d.startedAt < period {
		for name := range d.membership.roster.StorePeers() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// announceLeave notifies up to maxLeaveMessages live daemons that this one is leaving, and revokes its lease.
func (d *Daemon) announceLeave() {
	for _, address := range d.gossipTargets(maxLeaveMessages) {
		go d.exchangeGossip(address)
	}
	d.revokeLease()
}

// maxLeaveMessages bounds the messages that a leaving daemon sends; gossip propagates the departure further.
const maxLeaveMessages = 24
