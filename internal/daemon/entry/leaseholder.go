package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/membership"
)

// memberReport is what the leaseholder knows about a member from its heartbeats.
type memberReport struct {
	host    daisygap.Host
	loads   map[string]daisygap.Load
	seenAt  daisygap.Millis
	version uint64
	// incarnation identifies the sender of a compact heartbeat.
	incarnation     string
	recordsChecksum uint64
}

// leaseValue is the value of the domain's lease key.
type leaseValue struct {
	Host        string `json:"host"`
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
}

// viewValue is the value of the domain's view key.
type viewValue struct {
	View daisygap.View `json:"view"`
	By   string        `json:"by"`
}

func (d *Daemon) leaseKey() string { return "lease/" + d.Settings.Domain }

func (d *Daemon) viewKey() string { return "view/" + d.Settings.Domain }

// takeOver acquires the domain's store lease and starts a new epoch of its view.
func (d *Daemon) takeOver() {
	requestedAt := d.Clock.Now()
	lease, err := d.Store.Grant(d.ctx, d.Timing.StoreLease)
	if err != nil {
		return
	}
	value, err := json.Marshal(leaseValue{Host: d.Settings.Host, Peer: d.Settings.PeerAddress, Incarnation: d.incarnation})
	if err != nil {
		return
	}
	if _, err := d.Store.Swap(d.ctx, d.leaseKey(), value, 0, lease); err != nil {
		d.abortTakeOver(lease, err)
		return
	}
	view, revision, first, err := d.startEpoch()
	if err != nil {
		d.abortTakeOver(lease, err)
		return
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	m.leaseholder = &membership.Leaseholder{Self: d.Settings.Host, Timing: d.membershipTiming()}
	m.leaseholder.TakeOver(view, first, now, requestedAt+d.Timing.StoreLease)
	m.storeLease, m.viewRevision, m.renewedAt, m.reacquireAt = lease, revision, requestedAt, 0
	m.leaseholderAddress, m.heartbeatFailures = "", 0
	m.publishLease(now)
	d.Log.With("member").Infof("%s acquired the lease of domain %s, epoch %d", d.Settings.Host, d.Settings.Domain, view.Epoch)
}

func (d *Daemon) abortTakeOver(lease string, err error) {
	d.Log.With("member").Debugf("take-over failed: %v", err)
	if err := d.Store.Revoke(d.ctx, lease); err != nil {
		d.Log.With("member").Debugf("cannot revoke the store lease: %v", err)
	}
}

// startEpoch increments the epoch in the view key, which fences the writes of a former leaseholder. It reports first if the
// domain had no view before.
func (d *Daemon) startEpoch() (view daisygap.View, revision daisygap.StoreRevision, first bool, err error) {
	entry, err := d.Store.Get(d.ctx, d.viewKey())
	if err != nil {
		return view, 0, false, err
	}
	first = entry.Revision == 0
	view = daisygap.View{Epoch: 1, Seq: 1, Members: []string{d.Settings.Host}}
	if !first {
		var stored viewValue
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return view, 0, false, err
		}
		view = stored.View
		view.Epoch++
		view.Seq++
	}
	revision, err = d.writeView(view, entry.Revision)
	return view, revision, first, err
}

// writeView stores a view. If the response is lost, it reads the key back to learn whether the write took effect.
func (d *Daemon) writeView(view daisygap.View, expect daisygap.StoreRevision) (daisygap.StoreRevision, error) {
	value, err := json.Marshal(viewValue{View: view, By: d.incarnation})
	if err != nil {
		return 0, err
	}
	entry, err := d.Store.Swap(d.ctx, d.viewKey(), value, expect, "")
	if err == nil || errors.Is(err, daisygap.ErrConflict) {
		return entry.Revision, err
	}
	held, getErr := d.Store.Get(d.ctx, d.viewKey())
	if getErr != nil {
		return 0, err
	}
	var stored viewValue
	if json.Unmarshal(held.Value, &stored) == nil && stored.By == d.incarnation && stored.View.Seq == view.Seq && stored.View.Epoch == view.Epoch {
		return held.Revision, nil
	}
	return 0, err
}

// maintainDomain does the leaseholder's periodic work: it renews the store lease and its own member lease, propagates its
// totals and commits due changes of the view.
func (d *Daemon) maintainDomain() {
	d.renewStoreLease()
	b := d.newHeartbeat()
	sentAt := d.Clock.Now()
	d.handleHeartbeatReply(d.ServeHeartbeat(b), sentAt)
	d.totals.acknowledge(b.RefusalTotals)
	if len(b.RefusalTotals) > 0 {
		d.broadcast(daisygap.Push{RefusalTotals: b.RefusalTotals, Incarnation: d.incarnation})
	}
	m := &d.members
	m.mu.Lock()
	if m.leaseholder == nil {
		m.mu.Unlock()
		return
	}
	m.leaseholder.Timing = d.membershipTiming()
	next, due := m.leaseholder.NextView(d.Clock.Now())
	revision := m.viewRevision
	m.mu.Unlock()
	if due {
		d.commitView(next, revision)
	}
}

// commitView stores a view and activates it.
func (d *Daemon) commitView(next daisygap.View, expect daisygap.StoreRevision) {
	revision, err := d.writeView(next, expect)
	if err != nil {
		d.Log.With("member").Warnf("cannot store the view: %v", err)
		if errors.Is(err, daisygap.ErrConflict) {
			d.stepDown("another daemon changed the view")
		}
		return
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaseholder == nil {
		return
	}
	m.leaseholder.ViewCommitted(next)
	m.viewRevision = revision
	d.Log.With("member").Infof("view %d of domain %s: members %v, next members %v", next.Seq, d.Settings.Domain, next.Members, next.Next)
}

// renewStoreLease renews the domain's store lease when a third of its duration has passed. If it has expired, another
// daemon may have taken over.
func (d *Daemon) renewStoreLease() {
	m := &d.members
	m.mu.Lock()
	lease := m.storeLease
	requestedAt := d.Clock.Now()
	due := requestedAt-max(m.renewedAt, m.renewTriedAt) >= d.Timing.StoreLease/3
	if due {
		m.renewTriedAt = requestedAt
	}
	m.mu.Unlock()
	if !due {
		return
	}
	err := d.Store.Renew(d.ctx, lease)
	switch {
	case err == nil:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.renewedAt = requestedAt
		if m.leaseholder != nil {
			m.leaseholder.StoreLeaseRenewed(requestedAt + d.Timing.StoreLease)
		}
	case errors.Is(err, daisygap.ErrLeaseExpired):
		d.reacquire()
	default:
		d.Log.With("member").Debugf("cannot renew the store lease: %v", err)
	}
}

// reacquire acquires an expired store lease again, unless another daemon holds it.
func (d *Daemon) reacquire() {
	entry, err := d.Store.Get(d.ctx, d.leaseKey())
	if err != nil {
		return
	}
	if entry.Revision == 0 {
		if d.reacquireDue() {
			d.takeOver()
		}
		return
	}
	var value leaseValue
	if err := json.Unmarshal(entry.Value, &value); err == nil && value.Incarnation != d.incarnation {
		d.stepDown(fmt.Sprintf("%s acquired the lease", value.Host))
		d.setLeaseholder(value.Peer)
	}
}

// reacquireDue reports whether an expired store lease may be acquired now. After a store outage, a leaseholder from
// which more than half of its members still hold leases waits a random time, so that the take-overs don't reach the store
// all at once.
func (d *Daemon) reacquireDue() bool {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	if m.leaseholder == nil || !m.leaseholder.CanGrantLeases(now) {
		return true
	}
	if m.reacquireAt == 0 {
		m.reacquireAt = now + daisygap.Millis(d.randomIndex(int(reacquireSpread)))
	}
	return now >= m.reacquireAt
}

// reacquireSpread is the time over which leaseholders reacquire their leases after a store outage, in milliseconds.
const reacquireSpread = daisygap.Millis(10_000)

func (d *Daemon) stepDown(reason string) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaseholder == nil {
		return
	}
	m.leaseholder = nil
	m.publishLease(d.Clock.Now())
	d.Log.With("member").Infof("%s stepped down as leaseholder: %s", d.Settings.Host, reason)
}

// ServeHeartbeat answers a heartbeat of a daemon of the local domain.
func (d *Daemon) ServeHeartbeat(b daisygap.Heartbeat) daisygap.HeartbeatReply {
	if b.Name != "" && b.Domain != d.Settings.Domain {
		return daisygap.HeartbeatReply{}
	}
	m := &d.members
	m.mu.Lock()
	now := d.Clock.Now()
	if m.leaseholder == nil || !m.leaseholder.CanGrantLeases(now) {
		leaseholder := m.leaseholderAddress
		m.mu.Unlock()
		return daisygap.HeartbeatReply{LeaseholderAddress: leaseholder}
	}
	if b.Name == "" {
		if !m.identifySender(&b) {
			m.mu.Unlock()
			return daisygap.HeartbeatReply{FullHeartbeatNeeded: true}
		}
	}
	lease := m.leaseholder.HandleHeartbeat(membership.Heartbeat{
		Host: b.Name, Incarnation: b.Incarnation, Ack: b.Ack, Leaving: b.Leaving, HasLease: b.HoldsLease,
	}, now)
	reply := daisygap.HeartbeatReply{LeaseDuration: lease.Duration, Epoch: lease.View.Epoch}
	if b.Epoch != lease.View.Epoch || b.Seq != lease.View.Seq {
		reply.View, reply.LeaseLength, reply.LongestDeadline = &lease.View, lease.Timing.Lease, lease.Timing.MaxRequestTime
	}
	reply.FullHeartbeatNeeded = !m.recordReport(b, now)
	m.mu.Unlock()
	d.totals.merge(b.Incarnation, b.RefusalTotals)
	reply.OutOfSync = b.Version != d.Version() || b.RecordsChecksum != d.gossip.checksum()
	reply.LostDomains = d.gossip.lostDomains()
	return reply
}

// identifySender fills in a compact heartbeat from the sender's last report, and reports whether the sender is known. The
// lock must be held.
func (m *members) identifySender(b *daisygap.Heartbeat) bool {
	for name, c := range m.reports {
		if c.incarnation != b.Incarnation {
			continue
		}
		b.Name = name
		if b.RecordsChecksum == 0 {
			b.RecordsChecksum = c.recordsChecksum
		}
		return true
	}
	return false
}

// recordReport stores the contents of a heartbeat, and reports false if a full heartbeat is needed. The lock must be
// held.
func (m *members) recordReport(b daisygap.Heartbeat, now daisygap.Millis) bool {
	if b.Leaving {
		delete(m.reports, b.Name)
		return true
	}
	c, known := m.reports[b.Name]
	if b.Host != nil {
		c.host = *b.Host
	}
	if b.Loads != nil {
		c.loads = b.Loads
	}
	if !known && b.Host == nil {
		return false
	}
	c.seenAt, c.version, c.incarnation, c.recordsChecksum = now, b.Version, b.Incarnation, b.RecordsChecksum
	m.reports[b.Name] = c
	return true
}

// aliveMembers returns the members with a recent heartbeat in the order of their names, including this daemon.
func (d *Daemon) aliveMembers() []memberReport {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	var list []memberReport
	for name, c := range m.reports {
		if now-c.seenAt > d.Timing.MemberLease {
			delete(m.reports, name)
			continue
		}
		if now-c.seenAt < d.Timing.MemberLease/2 {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].host.Name < list[j].host.Name })
	return list
}

// resign ends this daemon's membership at a planned stop: a member sends a last heartbeat, and a leaseholder gives up the
// store lease.
func (d *Daemon) resign(ctx context.Context) {
	m := &d.members
	m.mu.Lock()
	isLeaseholder, lease, leaseholder := m.leaseholder != nil, m.storeLease, m.leaseholderAddress
	m.mu.Unlock()
	if !isLeaseholder {
		if leaseholder == "" {
			return
		}
		if _, err := d.Peers.Heartbeat(ctx, leaseholder, d.newHeartbeat()); err != nil {
			d.Log.With("member").Debugf("cannot send the last heartbeat: %v", err)
		}
		return
	}
	d.removeSelfFromView()
	d.stepDown("planned stop")
	if err := d.Store.Revoke(ctx, lease); err != nil {
		d.Log.With("member").Debugf("cannot revoke the store lease: %v", err)
	}
}

// removeSelfFromView removes this daemon's share from the view before it resigns. No request is in flight here any more,
// so the change needs no confirmation.
func (d *Daemon) removeSelfFromView() {
	m := &d.members
	m.mu.Lock()
	now := d.Clock.Now()
	m.leaseholder.HandleHeartbeat(membership.Heartbeat{Host: d.Settings.Host, Incarnation: d.incarnation, Leaving: true}, now)
	next, due := m.leaseholder.NextView(now)
	revision := m.viewRevision
	m.mu.Unlock()
	if due && next.Next != nil {
		d.commitView(next, revision)
	}
}
