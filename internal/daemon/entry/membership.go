package entry

import (
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/membership"
)

// Failed heartbeats after which the store is asked for the leaseholder.
const beatFailures = 2

// members is the daemon's part in its domain's membership.
type members struct {
	mu      sync.Mutex
	member  membership.Member
	holder  *membership.Leaseholder
	lease   string
	viewRev uint64
	renewed daisygap.Millis
	// tried is the last attempt to renew, and reacquireAt the time for taking a lapsed lease again, or 0.
	tried       daisygap.Millis
	reacquireAt daisygap.Millis
	leader      string
	failures    int
	contacts    map[string]contact
	// told is what the leaseholder at toldTo has from this daemon.
	told   daisygap.Heartbeat
	toldTo string

	// usableUntil is the end of the own lease, or 0, for the path of requests.
	usableUntil atomic.Int64
	holding     atomic.Bool
}

// usable tells whether new work may start on this daemon's shares.
func (d *Daemon) usable() bool {
	return int64(d.Clock.Now()) < d.members.usableUntil.Load()
}

func (d *Daemon) holdsStoreLease() bool {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder != nil && m.holder.StoreLeaseValid(d.Clock.Now())
}

// IsLeaseholder tells whether this daemon is its domain's leaseholder.
func (d *Daemon) IsLeaseholder() bool {
	return d.members.holding.Load()
}

// lists returns the member lists that the shares follow.
func (m *members) lists() [][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member.MemberLists()
}

// publish passes the lease on to the path of requests; the caller holds the lock.
func (m *members) publish(now daisygap.Millis) {
	until := int64(0)
	if m.member.LeaseValid(now) {
		until = int64(m.member.LeaseExpiry())
	}
	m.usableUntil.Store(until)
	m.holding.Store(m.holder != nil)
}

func (d *Daemon) timing() membership.Timing {
	return membership.Timing{Lease: d.Timing.MemberLease, MaxRequestTime: d.config().LongestDeadline()}
}

// beatSpan grows with the members, so that the leaseholder's load stays level; the leaseholder itself has to keep its lease in the store.
func (d *Daemon) beatSpan() daisygap.Millis {
	if d.IsLeaseholder() {
		return d.Timing.HeartbeatInterval
	}
	n := daisygap.Millis(len(d.members.lists()[0]))
	return min(max(d.Timing.HeartbeatInterval, n*d.Timing.HeartbeatPerMember), d.Timing.MemberLease/3)
}

func (d *Daemon) runMembership() {
	for {
		d.beatOnce()
		if !d.pause(d.jitter(d.beatSpan())) {
			return
		}
	}
}

// beatOnce renews the own lease: with itself as the leaseholder, with the known leaseholder, or after finding one.
func (d *Daemon) beatOnce() {
	m := &d.members
	m.mu.Lock()
	holding, leader := m.holder != nil, m.leader
	m.mu.Unlock()
	switch {
	case holding:
		d.hold()
	case leader != "":
		d.beatLeader(leader)
	default:
		d.findLeader()
	}
}

func (d *Daemon) beat() daisygap.Heartbeat {
	loads := d.loads()
	shrunk := d.shrunk()
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	view := m.member.View()
	b := daisygap.Heartbeat{
		Domain: d.Settings.Domain, Name: d.Settings.Host, Incarnation: d.incarnation,
		Epoch: view.Epoch, Seq: view.Seq,
		Ack:        m.member.Ack(shrunk, now),
		HoldsLease: m.member.LeaseValid(now), Leaving: d.stopping.Load() && d.left.Load(),
		Version: d.Version(), RecordsChecksum: d.gossip.sum(),
		Loads: loads, RefusalTotals: d.tally.unsaved(),
	}
	host := d.self
	host.Unavailable = d.stopping.Load() || !m.member.LeaseValid(now)
	host.Leaving = d.stopping.Load()
	b.Host = &host
	return b
}

// brief leaves out of a heartbeat what the leaseholder was told last.
func (m *members) brief(b daisygap.Heartbeat, leader string) daisygap.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.toldTo != leader {
		return b
	}
	b.Domain, b.Name = "", ""
	if m.told.Host != nil && *m.told.Host == *b.Host {
		b.Host = nil
	}
	if m.told.RecordsChecksum == b.RecordsChecksum {
		b.RecordsChecksum = 0
	}
	if maps.Equal(m.told.Loads, b.Loads) {
		b.Loads = nil
	}
	return b
}

// noteTold remembers what a leaseholder has now; one that asks for a full heartbeat has nothing.
func (m *members) noteTold(full daisygap.Heartbeat, leader string, again bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told, m.toldTo = full, leader
	if again {
		m.toldTo = ""
	}
}

// beatLeader sends a heartbeat and takes in the answer.
func (d *Daemon) beatLeader(leader string) {
	b := d.beat()
	sent := d.Clock.Now()
	m := &d.members
	g, err := d.callLeader(leader, b)
	if err != nil {
		m.mu.Lock()
		m.failures++
		lost := m.failures >= beatFailures
		m.mu.Unlock()
		d.Log.With("member").Debugf("heartbeat failed: %v", err)
		if lost {
			d.findLeader()
		}
		return
	}
	if g.LeaseholderAddress != "" && g.LeaseholderAddress != leader {
		d.setLeader(g.LeaseholderAddress)
		return
	}
	if g.LeaseRemaining <= 0 && g.View == nil && g.Epoch == 0 {
		d.findLeader()
		return
	}
	m.noteTold(b, leader, g.FullHeartbeatNeeded)
	d.granted(g, sent)
	d.tally.kept(b.RefusalTotals)
	if g.OutOfSync {
		d.syncWith(leader)
	}
	d.gossip.setLost(g.LostDomains, d.replan)
}

// callLeader sends a heartbeat in brief, and in full when the leaseholder doesn't know this daemon any more.
func (d *Daemon) callLeader(leader string, b daisygap.Heartbeat) (daisygap.HeartbeatReply, error) {
	g, err := d.Peers.Heartbeat(d.ctx, leader, d.members.brief(b, leader))
	if err == nil && g.FullHeartbeatNeeded && g.Epoch == 0 {
		return d.Peers.Heartbeat(d.ctx, leader, b)
	}
	return g, err
}

// granted takes in a leaseholder's answer.
func (d *Daemon) granted(g daisygap.HeartbeatReply, sent daisygap.Millis) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	m.failures = 0
	before := m.member.View()
	view := before
	if g.View != nil {
		view = *g.View
	} else if g.Epoch != view.Epoch {
		return
	}
	m.member.HandleLease(membership.Lease{Duration: g.LeaseRemaining, View: view, Timing: membership.Timing{Lease: g.LeaseLength, MaxRequestTime: g.LongestDeadline}}, sent, now)
	m.publish(now)
	if m.member.View().Epoch != before.Epoch {
		d.tally.resend()
	}
	if after := m.member.View(); after.Seq != before.Seq || after.Epoch != before.Epoch {
		d.replan()
	}
}

// setLeader switches to another leaseholder.
func (d *Daemon) setLeader(leader string) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if leader == d.Settings.PeerAddress {
		leader = ""
	}
	m.leader = leader
	m.failures = 0
}

// findLeader asks the store for the leaseholder, takes over when there is none, and asks neighbours when the store is away.
func (d *Daemon) findLeader() {
	entry, err := d.Store.Get(d.ctx, d.leaseKey())
	if err != nil {
		d.askNeighbours()
		return
	}
	if entry.Revision == 0 {
		if !d.stopping.Load() {
			d.takeOver()
		}
		return
	}
	var value leaseValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		d.Log.With("member").Warnf("the lease key can't be read: %v", err)
		return
	}
	if value.Incarnation == d.incarnation {
		return
	}
	if value.Peer != d.Settings.PeerAddress {
		d.setLeader(value.Peer)
	}
}

// askNeighbours finds the leaseholder through daemons of the own domain.
func (d *Daemon) askNeighbours() {
	for _, address := range d.neighbours() {
		g, err := d.Peers.Heartbeat(d.ctx, address, d.beat())
		if err != nil {
			continue
		}
		leader := g.LeaseholderAddress
		if leader == "" && g.LeaseRemaining > 0 {
			leader = address
		}
		if leader != "" && leader != d.Settings.PeerAddress {
			d.setLeader(leader)
			return
		}
	}
}

// neighbours returns the peer addresses of the own domain's other daemons, as far as they are known.
func (d *Daemon) neighbours() []string {
	var list []string
	hosts := d.gossip.hostsOf(d.Settings.Domain)
	if len(hosts) == 0 {
		for _, address := range d.Settings.Peers {
			if address != d.Settings.PeerAddress {
				list = append(list, address)
			}
		}
		return list
	}
	for _, h := range hosts {
		if h.Name != d.Settings.Host {
			list = append(list, h.PeerAddress)
		}
	}
	return list
}
