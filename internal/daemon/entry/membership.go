package entry

import (
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/membership"
)

// maxHeartbeatFailures is the number of failed heartbeats after which the store is asked for the leaseholder.
const maxHeartbeatFailures = 2

// members is the daemon's state as a member, and possibly the leaseholder, of its domain.
type members struct {
	mu           sync.Mutex
	member       membership.Member
	leaseholder  *membership.Leaseholder
	storeLease   string
	viewRevision daisygap.StoreRevision
	renewedAt    daisygap.Millis
	// renewTriedAt is the time of the last renewal attempt, and reacquireAt when to reacquire an expired lease, or 0.
	renewTriedAt       daisygap.Millis
	reacquireAt        daisygap.Millis
	leaseholderAddress string
	heartbeatFailures  int
	reports            map[string]memberReport
	// lastSent is the heartbeat that the leaseholder at lastSentTo has of this daemon.
	lastSent   daisygap.Heartbeat
	lastSentTo string

	// leaseExpiry is the expiry of this daemon's lease, or 0. Requests read it without the lock.
	leaseExpiry   atomic.Int64
	isLeaseholder atomic.Bool
}

// leaseValid reports whether new work may start on this daemon's shares.
func (d *Daemon) leaseValid() bool {
	return int64(d.Clock.Now()) < d.members.leaseExpiry.Load()
}

func (d *Daemon) holdsStoreLease() bool {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseholder != nil && m.leaseholder.StoreLeaseValid(d.Clock.Now())
}

// IsLeaseholder reports whether this daemon is its domain's leaseholder.
func (d *Daemon) IsLeaseholder() bool {
	return d.members.isLeaseholder.Load()
}

// memberLists returns the lists of members by which the shares are computed.
func (m *members) memberLists() [][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member.MemberLists()
}

// publishLease publishes the lease for the request path; the lock must be held.
func (m *members) publishLease(now daisygap.Millis) {
	until := int64(0)
	if m.member.LeaseValid(now) {
		until = int64(m.member.LeaseExpiry())
	}
	m.leaseExpiry.Store(until)
	m.isLeaseholder.Store(m.leaseholder != nil)
}

func (d *Daemon) membershipTiming() membership.Timing {
	return membership.Timing{Lease: d.Timing.MemberLease, MaxRequestTime: d.config().LongestDeadline()}
}

// heartbeatInterval returns the interval between heartbeats. It grows with the number of members to keep the
// leaseholder's load constant. The leaseholder uses the shortest interval, because it has to renew the store lease.
func (d *Daemon) heartbeatInterval() daisygap.Millis {
	if d.IsLeaseholder() {
		return d.Timing.HeartbeatInterval
	}
	n := daisygap.Millis(len(d.members.memberLists()[0]))
	return min(max(d.Timing.HeartbeatInterval, n*d.Timing.HeartbeatPerMember), d.Timing.MemberLease/3)
}

func (d *Daemon) runMembership() {
	for {
		d.heartbeatOnce()
		if !d.pause(d.withJitter(d.heartbeatInterval())) {
			return
		}
	}
}

// heartbeatOnce renews this daemon's lease: locally if it is the leaseholder, else with the known leaseholder. If none is
// known, it looks for one.
func (d *Daemon) heartbeatOnce() {
	m := &d.members
	m.mu.Lock()
	isLeaseholder, leaseholder := m.leaseholder != nil, m.leaseholderAddress
	m.mu.Unlock()
	switch {
	case isLeaseholder:
		d.maintainDomain()
	case leaseholder != "":
		d.heartbeatTo(leaseholder)
	default:
		d.findLeaseholder()
	}
}

func (d *Daemon) newHeartbeat() daisygap.Heartbeat {
	loads := d.poolLoads()
	withinShares := d.withinShares()
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	view := m.member.View()
	b := daisygap.Heartbeat{
		Domain: d.Settings.Domain, Name: d.Settings.Host, Incarnation: d.incarnation,
		Epoch: view.Epoch, Seq: view.Seq,
		Ack:        m.member.Ack(withinShares, now),
		HoldsLease: m.member.LeaseValid(now), Leaving: d.stopping.Load() && d.drained.Load(),
		Version: d.Version(), RecordsChecksum: d.gossip.checksum(),
		Loads: loads, RefusalTotals: d.totals.unacked(),
	}
	host := d.self
	host.Unavailable = d.stopping.Load() || !m.member.LeaseValid(now)
	host.Leaving = d.stopping.Load()
	b.Host = &host
	return b
}

// compact removes from a heartbeat what the leaseholder already has from the last one.
func (m *members) compact(b daisygap.Heartbeat, leaseholder string) daisygap.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastSentTo != leaseholder {
		return b
	}
	b.Domain, b.Name = "", ""
	if m.lastSent.Host != nil && *m.lastSent.Host == *b.Host {
		b.Host = nil
	}
	if m.lastSent.RecordsChecksum == b.RecordsChecksum {
		b.RecordsChecksum = 0
	}
	if maps.Equal(m.lastSent.Loads, b.Loads) {
		b.Loads = nil
	}
	return b
}

// recordSent stores the heartbeat that a leaseholder has now. A leaseholder that asks for a full heartbeat has none.
func (m *members) recordSent(full daisygap.Heartbeat, leaseholder string, fullNeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSent, m.lastSentTo = full, leaseholder
	if fullNeeded {
		m.lastSentTo = ""
	}
}

// heartbeatTo sends a heartbeat to the leaseholder and handles the response.
func (d *Daemon) heartbeatTo(leaseholder string) {
	b := d.newHeartbeat()
	sentAt := d.Clock.Now()
	m := &d.members
	reply, err := d.sendHeartbeat(leaseholder, b)
	if err != nil {
		m.mu.Lock()
		m.heartbeatFailures++
		lost := m.heartbeatFailures >= maxHeartbeatFailures
		m.mu.Unlock()
		d.Log.With("member").Debugf("heartbeat failed: %v", err)
		if lost {
			d.findLeaseholder()
		}
		return
	}
	if reply.LeaseholderAddress != "" && reply.LeaseholderAddress != leaseholder {
		d.setLeaseholder(reply.LeaseholderAddress)
		return
	}
	if reply.LeaseDuration <= 0 && reply.View == nil && reply.Epoch == 0 {
		d.findLeaseholder()
		return
	}
	m.recordSent(b, leaseholder, reply.FullHeartbeatNeeded)
	d.handleHeartbeatReply(reply, sentAt)
	d.totals.acknowledge(b.RefusalTotals)
	if reply.OutOfSync {
		d.syncWith(leaseholder)
	}
	d.gossip.setLost(reply.LostDomains, d.replan)
}

// sendHeartbeat sends a compact heartbeat, and a full one if the leaseholder doesn't know this daemon.
func (d *Daemon) sendHeartbeat(leaseholder string, b daisygap.Heartbeat) (daisygap.HeartbeatReply, error) {
	reply, err := d.Peers.Heartbeat(d.ctx, leaseholder, d.members.compact(b, leaseholder))
	if err == nil && reply.FullHeartbeatNeeded && reply.Epoch == 0 {
		return d.Peers.Heartbeat(d.ctx, leaseholder, b)
	}
	return reply, err
}

// handleHeartbeatReply applies a leaseholder's response to a heartbeat that was sent at the given time.
func (d *Daemon) handleHeartbeatReply(reply daisygap.HeartbeatReply, sentAt daisygap.Millis) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	m.heartbeatFailures = 0
	before := m.member.View()
	view := before
	if reply.View != nil {
		view = *reply.View
	} else if reply.Epoch != view.Epoch {
		return
	}
	m.member.HandleLease(membership.Lease{Duration: reply.LeaseDuration, View: view, Timing: membership.Timing{Lease: reply.LeaseLength, MaxRequestTime: reply.LongestDeadline}}, sentAt, now)
	m.publishLease(now)
	if m.member.View().Epoch != before.Epoch {
		d.totals.resetAcked()
	}
	if after := m.member.View(); after.Seq != before.Seq || after.Epoch != before.Epoch {
		d.replan()
	}
}

// setLeaseholder sets the peer address of the leaseholder.
func (d *Daemon) setLeaseholder(leaseholder string) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if leaseholder == d.Settings.PeerAddress {
		leaseholder = ""
	}
	m.leaseholderAddress = leaseholder
	m.heartbeatFailures = 0
}

// findLeaseholder reads the leaseholder from the store, and takes over if there is none. If the store is unreachable, it
// asks other daemons of the domain.
func (d *Daemon) findLeaseholder() {
	entry, err := d.Store.Get(d.ctx, d.leaseKey())
	if err != nil {
		d.askDomainPeers()
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
		d.Log.With("member").Warnf("cannot decode the lease key: %v", err)
		return
	}
	if value.Incarnation == d.incarnation {
		return
	}
	if value.Peer != d.Settings.PeerAddress {
		d.setLeaseholder(value.Peer)
	}
}

// askDomainPeers finds the leaseholder through other daemons of the local domain.
func (d *Daemon) askDomainPeers() {
	for _, address := range d.domainPeerAddresses() {
		reply, err := d.Peers.Heartbeat(d.ctx, address, d.newHeartbeat())
		if err != nil {
			continue
		}
		leaseholder := reply.LeaseholderAddress
		if leaseholder == "" && reply.LeaseDuration > 0 {
			leaseholder = address
		}
		if leaseholder != "" && leaseholder != d.Settings.PeerAddress {
			d.setLeaseholder(leaseholder)
			return
		}
	}
}

// domainPeerAddresses returns the peer addresses of the local domain's other daemons, or the peers in the settings if no
// host of the domain is known.
func (d *Daemon) domainPeerAddresses() []string {
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
