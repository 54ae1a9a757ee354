package steer

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
	"github.com/daisygap/daisygap/internal/policy/roster"
)

const (
	// gossipSpan is the time between two rounds; news reach a dozen daemons in three.
	gossipSpan = daisygap.Millis(400)
	// gossipFan is the number of daemons told in a round.
	gossipFan = 2
	// followSpan is the time between two looks whether others know more of the store.
	followSpan = daisygap.Millis(200)
	// lagSpan is how long the own watch may lag behind what others know.
	lagSpan = daisygap.Millis(300)
	// leastNamed is the number of entry hosts that an answer names, if the region has them.
	leastNamed = 2
)

type members struct {
	mu     sync.Mutex
	roster roster.Roster
	// resting holds daemons that failed to relay the store, and until when they aren't asked.
	resting map[string]daisygap.Millis
	// behind is since when another daemon knows more of the store; 0 when none does.
	behind daisygap.Millis
}

func (m *members) self() daisygap.Pulse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

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

// notePeer keeps a daemon's entry in the store as a contact.
func (d *Daemon) notePeer(p daisygap.Peer) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	d.members.roster.Introduce(p)
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
	self.Count++
	self.Ready, self.Leaving, self.Revision = d.Ready(), d.stopping.Load(), revision
	return daisygap.Gossip{Pulses: d.members.roster.Sample(now), Crashes: d.crashes.recent(now)}
}

func (d *Daemon) hear(g daisygap.Gossip) {
	now := d.Clock.Now()
	d.members.mu.Lock()
	changed := d.members.roster.Hear(g.Pulses, now)
	d.members.mu.Unlock()
	d.crashes.take(g.Crashes, now)
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
	for _, p := range d.members.roster.Introduced() {
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
	var best []daisygap.Pulse
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

// farewell tells every living daemon that this one leaves.
func (d *Daemon) farewell() {
	for _, address := range d.contacts(maxFarewells) {
		go d.exchangeGossip(address)
	}
	d.endLease()
}

// maxFarewells bounds the messages of a leaving daemon; gossip carries the news further.
const maxFarewells = 24

// EntryHosts returns the addresses for a caller: those of its domain, filled up from its region, else from the nearest that live.
func (d *Daemon) EntryHosts(region, domain string) []string {
	d.members.mu.Lock()
	live := d.members.roster.Alive(d.Clock.Now())
	self := d.members.roster.Self
	d.members.mu.Unlock()
	if self.Ready = d.Ready(); self.Ready {
		live = append(live, self)
	}
	live = slices.DeleteFunc(live, func(p daisygap.Pulse) bool { return !p.Ready || p.Leaving })
	hosts := addresses(live, func(p daisygap.Peer) bool { return p.Domain == domain })
	if len(hosts) < leastNamed {
		near := addresses(live, func(p daisygap.Peer) bool { return p.Region == region && p.Domain != domain })
		slices.SortFunc(near, func(a, b string) int { return compareHash(domain, a, b) })
		hosts = append(hosts, near[:min(len(near), leastNamed-len(hosts))]...)
	}
	if len(hosts) == 0 {
		hosts = addresses(live, func(p daisygap.Peer) bool { return p.Region == d.Settings.Region })
	}
	if len(hosts) == 0 {
		hosts = addresses(live, func(daisygap.Peer) bool { return true })
	}
	return hosts
}

func addresses(live []daisygap.Pulse, keep func(daisygap.Peer) bool) []string {
	var list []string
	for _, p := range live {
		if keep(*p.Peer) {
			list = append(list, p.Peer.Caller)
		}
	}
	return list
}

// compareHash orders addresses differently for each domain, so that neighbours share the load.
func compareHash(domain, a, b string) int {
	ha, hb := xxhash.Sum64String(domain+a), xxhash.Sum64String(domain+b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return 0
}

// crashes shares reports of upstreams that ended under a request.
type crashes struct {
	mu    sync.Mutex
	known poison.Crashes
	// pending holds the broken requests of upstreams that may have ended.
	pending map[string][]brokenRequest
}

type brokenRequest struct {
	print uint64
	at    daisygap.Millis
}

// crashNear is how soon after a broken connection its upstream must prove unreachable for a crash.
const crashNear = daisygap.Millis(1_500)

func (c *crashes) recent(now daisygap.Millis) []daisygap.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.Recent(now)
}

func (c *crashes) take(reports []daisygap.CrashReport, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.known.Note(r, now)
	}
}

func (c *crashes) blocked(print uint64, now daisygap.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.Blocked(print, now)
}

// broken notes a request whose connection broke before an answer.
func (c *crashes) broken(instance string, print uint64, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[string][]brokenRequest)
	}
	c.pending[instance] = append(c.pending[instance], brokenRequest{print: print, at: now})
}

// unreached confirms that an upstream ended, and blames the requests that just broke there.
func (c *crashes) unreached(instance string, now daisygap.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.pending[instance] {
		if now-b.at < crashNear {
			c.known.Note(daisygap.CrashReport{Print: b.print, Instance: instance}, now)
		}
	}
	delete(c.pending, instance)
}

// answered clears an upstream and the request that it answered.
func (c *crashes) answered(instance string, print uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, instance)
	c.known.Clear(print)
}
