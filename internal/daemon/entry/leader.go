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

// contact is what the leaseholder knows of a member from its heartbeats.
type contact struct {
	host    daisygap.Host
	loads   map[string]daisygap.Load
	seen    daisygap.Millis
	version uint64
	// incarnation names the sender of a heartbeat in brief.
	incarnation string
	sum         uint64
}

// leaseValue is what the domain's lease key holds.
type leaseValue struct {
	Host        string `json:"host"`
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
}

// viewValue is what the domain's view key holds.
type viewValue struct {
	View daisygap.View `json:"view"`
	By   string        `json:"by"`
}

func (d *Daemon) leaseKey() string { return "lease/" + d.Settings.Domain }

func (d *Daemon) viewKey() string { return "view/" + d.Settings.Domain }

// takeOver acquires the domain's lease and starts a new epoch of its view.
func (d *Daemon) takeOver() {
	asked := d.Clock.Now()
	lease, err := d.Store.Grant(d.ctx, d.Timing.StoreLease)
	if err != nil {
		return
	}
	value, err := json.Marshal(leaseValue{Host: d.Settings.Host, Peer: d.Settings.PeerAddress, Incarnation: d.incarnation})
	if err != nil {
		return
	}
	if _, err := d.Store.Swap(d.ctx, d.leaseKey(), value, 0, lease); err != nil {
		d.abandon(lease, err)
		return
	}
	view, revision, first, err := d.openEpoch()
	if err != nil {
		d.abandon(lease, err)
		return
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	m.holder = &membership.Leaseholder{Self: d.Settings.Host, Timing: d.timing()}
	m.holder.TakeOver(view, first, now, asked+d.Timing.StoreLease)
	m.lease, m.viewRev, m.renewed, m.reacquireAt = lease, revision, asked, 0
	m.leader, m.failures = "", 0
	m.publish(now)
	d.Log.With("member").Infof("%s holds the lease of %s, epoch %d", d.Settings.Host, d.Settings.Domain, view.Epoch)
}

func (d *Daemon) abandon(lease string, err error) {
	d.Log.With("member").Debugf("the take-over failed: %v", err)
	if err := d.Store.Revoke(d.ctx, lease); err != nil {
		d.Log.With("member").Debugf("the lease wasn't revoked: %v", err)
	}
}

// openEpoch raises the epoch in the view key, which fences the writes of a former leaseholder.
func (d *Daemon) openEpoch() (view daisygap.View, revision uint64, first bool, err error) {
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

// writeView stores a view; when the answer is lost, the key itself tells whether it took effect.
func (d *Daemon) writeView(view daisygap.View, expect uint64) (uint64, error) {
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

// hold does a leaseholder's upkeep: the lease in the store, its own lease, and changes of the view.
func (d *Daemon) hold() {
	d.renewStoreLease()
	b := d.beat()
	sent := d.Clock.Now()
	d.granted(d.ServeHeartbeat(b), sent)
	d.tally.kept(b.RefusalTotals)
	if len(b.RefusalTotals) > 0 {
		d.spread(daisygap.Push{RefusalTotals: b.RefusalTotals, Incarnation: d.incarnation})
	}
	m := &d.members
	m.mu.Lock()
	if m.holder == nil {
		m.mu.Unlock()
		return
	}
	m.holder.Timing = d.timing()
	plan, due := m.holder.NextView(d.Clock.Now())
	revision := m.viewRev
	m.mu.Unlock()
	if due {
		d.changeView(plan, revision)
	}
}

// changeView writes a view to the store and puts it in force.
func (d *Daemon) changeView(plan daisygap.View, expect uint64) {
	revision, err := d.writeView(plan, expect)
	if err != nil {
		d.Log.With("member").Warnf("the view wasn't stored: %v", err)
		if errors.Is(err, daisygap.ErrConflict) {
			d.stepDown("the view was changed by another daemon")
		}
		return
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return
	}
	m.holder.ViewCommitted(plan)
	m.viewRev = revision
	d.Log.With("member").Infof("view %d of %s: members %v, next %v", plan.Seq, d.Settings.Domain, plan.Members, plan.Next)
}

// renewStoreLease keeps the domain's lease; when it lapsed, another daemon may have taken over.
func (d *Daemon) renewStoreLease() {
	m := &d.members
	m.mu.Lock()
	lease := m.lease
	asked := d.Clock.Now()
	due := asked-max(m.renewed, m.tried) >= d.Timing.StoreLease/3
	if due {
		m.tried = asked
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
		m.renewed = asked
		if m.holder != nil {
			m.holder.StoreLeaseRenewed(asked + d.Timing.StoreLease)
		}
	case errors.Is(err, daisygap.ErrLeaseExpired):
		d.reacquire()
	default:
		d.Log.With("member").Debugf("the store lease wasn't renewed: %v", err)
	}
}

// reacquire takes a lapsed lease again, unless another daemon holds it.
func (d *Daemon) reacquire() {
	entry, err := d.Store.Get(d.ctx, d.leaseKey())
	if err != nil {
		return
	}
	if entry.Revision == 0 {
		if d.timeToReacquire() {
			d.takeOver()
		}
		return
	}
	var value leaseValue
	if err := json.Unmarshal(entry.Value, &value); err == nil && value.Incarnation != d.incarnation {
		d.stepDown(fmt.Sprintf("%s took over", value.Host))
		d.setLeader(value.Peer)
	}
}

// timeToReacquire spreads the take-overs after an outage of the store: a leaseholder to which most of its domain is still bound is in no hurry.
func (d *Daemon) timeToReacquire() bool {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	if m.holder == nil || !m.holder.CanGrantLeases(now) {
		return true
	}
	if m.reacquireAt == 0 {
		m.reacquireAt = now + daisygap.Millis(d.pick(int(reacquireSpread)))
	}
	return now >= m.reacquireAt
}

// reacquireSpread is the time over which leaseholders come back to a store that was away, in milliseconds.
const reacquireSpread = daisygap.Millis(10_000)

func (d *Daemon) stepDown(why string) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return
	}
	m.holder = nil
	m.publish(d.Clock.Now())
	d.Log.With("member").Infof("%s is no longer leaseholder: %s", d.Settings.Host, why)
}

// ServeHeartbeat answers a heartbeat of a daemon of the own domain.
func (d *Daemon) ServeHeartbeat(b daisygap.Heartbeat) daisygap.HeartbeatReply {
	if b.Name != "" && b.Domain != d.Settings.Domain {
		return daisygap.HeartbeatReply{}
	}
	m := &d.members
	m.mu.Lock()
	now := d.Clock.Now()
	if m.holder == nil || !m.holder.CanGrantLeases(now) {
		leader := m.leader
		m.mu.Unlock()
		return daisygap.HeartbeatReply{LeaseholderAddress: leader}
	}
	if b.Name == "" {
		if !m.fillIn(&b) {
			m.mu.Unlock()
			return daisygap.HeartbeatReply{FullHeartbeatNeeded: true}
		}
	}
	lease := m.holder.HandleHeartbeat(membership.Heartbeat{
		Host: b.Name, Incarnation: b.Incarnation, Ack: b.Ack, Leaving: b.Leaving, HasLease: b.HoldsLease,
	}, now)
	g := daisygap.HeartbeatReply{LeaseRemaining: lease.Duration, Epoch: lease.View.Epoch}
	if b.Epoch != lease.View.Epoch || b.Seq != lease.View.Seq {
		g.View, g.LeaseLength, g.LongestDeadline = &lease.View, lease.Timing.Lease, lease.Timing.MaxRequestTime
	}
	g.FullHeartbeatNeeded = !m.noteContact(b, now)
	m.mu.Unlock()
	d.tally.collect(b.Incarnation, b.RefusalTotals)
	g.OutOfSync = b.Version != d.Version() || b.RecordsChecksum != d.gossip.sum()
	g.LostDomains = d.gossip.lostDomains()
	return g
}

// fillIn adds to a heartbeat in brief what its sender told before, and reports whether that is known; the caller holds the lock.
func (m *members) fillIn(b *daisygap.Heartbeat) bool {
	for name, c := range m.contacts {
		if c.incarnation != b.Incarnation {
			continue
		}
		b.Name = name
		if b.RecordsChecksum == 0 {
			b.RecordsChecksum = c.sum
		}
		return true
	}
	return false
}

// noteContact keeps what a heartbeat says, and reports whether that is enough to know the member.
func (m *members) noteContact(b daisygap.Heartbeat, now daisygap.Millis) bool {
	if b.Leaving {
		delete(m.contacts, b.Name)
		return true
	}
	c, known := m.contacts[b.Name]
	if b.Host != nil {
		c.host = *b.Host
	}
	if b.Loads != nil {
		c.loads = b.Loads
	}
	if !known && b.Host == nil {
		return false
	}
	c.seen, c.version, c.incarnation, c.sum = now, b.Version, b.Incarnation, b.RecordsChecksum
	m.contacts[b.Name] = c
	return true
}

// alive returns the contacts with a fresh heartbeat in the order of their names, this daemon among them.
func (d *Daemon) alive() []contact {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	now := d.Clock.Now()
	var list []contact
	for name, c := range m.contacts {
		if now-c.seen > d.Timing.MemberLease {
			delete(m.contacts, name)
			continue
		}
		if now-c.seen < d.Timing.MemberLease/2 {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].host.Name < list[j].host.Name })
	return list
}

// resign hands the leaseholder's office over at a planned stop.
func (d *Daemon) resign(ctx context.Context) {
	m := &d.members
	m.mu.Lock()
	holding, lease, leader := m.holder != nil, m.lease, m.leader
	m.mu.Unlock()
	if !holding {
		if leader == "" {
			return
		}
		if _, err := d.Peers.Heartbeat(ctx, leader, d.beat()); err != nil {
			d.Log.With("member").Debugf("the goodbye failed: %v", err)
		}
		return
	}
	d.leaveView()
	d.stepDown("it is leaving")
	if err := d.Store.Revoke(ctx, lease); err != nil {
		d.Log.With("member").Debugf("the lease wasn't revoked: %v", err)
	}
}

// leaveView takes this daemon's share out of the view before it resigns; nothing runs here any more, so no confirmation is needed.
func (d *Daemon) leaveView() {
	m := &d.members
	m.mu.Lock()
	now := d.Clock.Now()
	m.holder.HandleHeartbeat(membership.Heartbeat{Host: d.Settings.Host, Incarnation: d.incarnation, Leaving: true}, now)
	plan, due := m.holder.NextView(now)
	revision := m.viewRev
	m.mu.Unlock()
	if due && plan.Next != nil {
		d.changeView(plan, revision)
	}
}
