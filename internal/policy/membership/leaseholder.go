package membership

import (
	"slices"
	"sort"

	"github.com/daisygap/daisygap"
)

// Heartbeat holds the fields of a member's heartbeat that decide on its lease.
type Heartbeat struct {
	Host        string
	Incarnation string
	// Ack is the sequence number up to which the member follows the views.
	Ack     uint64
	Leaving bool
	// HasLease is set if the daemon holds a lease from an earlier heartbeat, possibly of a former leaseholder.
	HasLease bool
}

// Lease is the reply to a heartbeat.
type Lease struct {
	// Duration is the length of the lease from the sending of the heartbeat, or 0 if none is granted.
	Duration daisygap.Millis
	View     daisygap.View
	// Timing is the leaseholder's timing.
	Timing Timing
}

type member struct {
	incarnation string
	// leaseEnd is the end of the last lease, on the leaseholder's clock.
	leaseEnd      daisygap.Millis
	ack           uint64
	left          bool
	lastHeartbeat daisygap.Millis
}

// Leaseholder is the leaseholder's side of a domain's membership. It is not safe for concurrent use.
type Leaseholder struct {
	Self   string
	Timing Timing

	view          daisygap.View
	members       map[string]*member
	storeLeaseEnd daisygap.Millis
	tookOverAt    daisygap.Millis
	// quorumAt is the time when at least half of the old view's members had acknowledged the change of the view, or -1.
	quorumAt daisygap.Millis
}

// TakeOver starts a new epoch with the view from the store, which already carries the epoch's number. The flag first reports
// that the domain never had a leaseholder.
func (h *Leaseholder) TakeOver(view daisygap.View, first bool, now, storeLeaseEnd daisygap.Millis) {
	h.view = view
	h.tookOverAt = now
	h.storeLeaseEnd = storeLeaseEnd
	h.quorumAt = -1
	h.members = make(map[string]*member)
	if first {
		h.tookOverAt = now - h.Timing.Lease - h.Timing.MaxRequestTime
		return
	}
	for _, host := range view.Members {
		// The leases that the former leaseholder granted are unknown, so the longest possible ones are assumed.
		h.members[host] = &member{leaseEnd: now + h.Timing.Lease}
	}
}

// StoreLeaseRenewed records that the store extended the domain's lease. Its end counts from the sending of the renewal request.
func (h *Leaseholder) StoreLeaseRenewed(end daisygap.Millis) {
	h.storeLeaseEnd = max(h.storeLeaseEnd, end)
}

// CanGrantLeases reports whether the leaseholder may grant leases: while its lease in the store is valid, or without it while
// more than half of the view's members hold a lease from this leaseholder.
func (h *Leaseholder) CanGrantLeases(now daisygap.Millis) bool {
	if h.members == nil {
		return false
	}
	return now < h.storeLeaseEnd || h.countBound(now) > len(h.view.Members)/2
}

// StoreLeaseValid reports whether the domain's lease in the store is valid.
func (h *Leaseholder) StoreLeaseValid(now daisygap.Millis) bool {
	return h.members != nil && now < h.storeLeaseEnd
}

// HandleHeartbeat records a heartbeat and returns the reply, which grants a lease if that is safe.
func (h *Leaseholder) HandleHeartbeat(b Heartbeat, now daisygap.Millis) Lease {
	if !h.CanGrantLeases(now) {
		return Lease{View: h.view, Timing: h.Timing}
	}
	m := h.members[b.Host]
	if m == nil {
		m = &member{incarnation: b.Incarnation}
		h.members[b.Host] = m
	}
	if b.Leaving {
		if m.incarnation == b.Incarnation || m.incarnation == "" {
			m.left = true
			m.leaseEnd = now
		}
		return Lease{View: h.view, Timing: h.Timing}
	}
	m.lastHeartbeat = now
	if !h.admit(m, b, now) {
		return Lease{View: h.view, Timing: h.Timing}
	}
	m.ack = max(m.ack, b.Ack)
	m.leaseEnd = now + h.Timing.Lease
	return Lease{Duration: h.Timing.Lease, View: h.view, Timing: h.Timing}
}

// admit reports whether a heartbeat's incarnation may hold the host's lease. A new incarnation is admitted only when the old
// one can no longer use its shares.
func (h *Leaseholder) admit(m *member, b Heartbeat, now daisygap.Millis) bool {
	if m.incarnation == "" && b.HasLease {
		m.incarnation = b.Incarnation
	}
	if m.incarnation == b.Incarnation {
		m.left = false
		return true
	}
	if !m.left && now < m.leaseEnd+h.Timing.MaxRequestTime {
		return false
	}
	m.incarnation = b.Incarnation
	m.ack = 0
	m.left = false
	return true
}

// NextView returns the view to write to the store next, and whether the membership has to change.
func (h *Leaseholder) NextView(now daisygap.Millis) (daisygap.View, bool) {
	if !h.StoreLeaseValid(now) {
		return daisygap.View{}, false
	}
	if h.view.Next != nil {
		return h.activationView(now)
	}
	members := h.wantedMembers(now)
	if len(members) == 0 || slices.Equal(members, h.view.Members) {
		return daisygap.View{}, false
	}
	return daisygap.View{Epoch: h.view.Epoch, Seq: h.view.Seq + 1, Members: h.view.Members, Next: members}, true
}

// ViewCommitted records that a view was written to the store.
func (h *Leaseholder) ViewCommitted(view daisygap.View) {
	h.view = view
	h.quorumAt = -1
	for host, m := range h.members {
		if m.left && !slices.Contains(view.Members, host) {
			delete(h.members, host)
		}
	}
}

// View returns the current view.
func (h *Leaseholder) View() daisygap.View {
	return h.view
}

// Alive returns the hosts that hold a lease from this leaseholder, sorted.
func (h *Leaseholder) Alive(now daisygap.Millis) []string {
	var alive []string
	for host, m := range h.members {
		if !m.left && m.lastHeartbeat > 0 && now < m.leaseEnd {
			alive = append(alive, host)
		}
	}
	sort.Strings(alive)
	return alive
}

// wantedMembers returns the hosts that should hold shares, sorted: those that have a lease or may still have one from a former
// leaseholder.
func (h *Leaseholder) wantedMembers(now daisygap.Millis) []string {
	var hosts []string
	for host, m := range h.members {
		if !m.left && now < m.leaseEnd {
			hosts = append(hosts, host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

// activationView returns the view that completes a change, once every member of the old view has reduced its use to its
// smaller share, has left, or can no longer have a lease.
func (h *Leaseholder) activationView(now daisygap.Millis) (daisygap.View, bool) {
	acked := 0
	for _, host := range h.view.Members {
		m := h.members[host]
		if m != nil && (m.left || m.ack >= h.view.Seq) {
			acked++
		}
	}
	if h.quorumAt < 0 && acked >= (len(h.view.Members)+1)/2 {
		h.quorumAt = now
	}
	if h.quorumAt < 0 {
		return daisygap.View{}, false
	}
	for _, host := range h.view.Members {
		if !h.hasShrunk(h.members[host], now) {
			return daisygap.View{}, false
		}
	}
	return daisygap.View{Epoch: h.view.Epoch, Seq: h.view.Seq + 1, Members: h.view.Next}, true
}

// hasShrunk reports whether a member of the old view can no longer use more than the smaller of its shares. Without an
// acknowledgment this takes the longest lease that this or a former leaseholder may have granted, and then the time that
// requests may still run.
func (h *Leaseholder) hasShrunk(m *member, now daisygap.Millis) bool {
	if m == nil || m.left || m.ack >= h.view.Seq {
		return true
	}
	lastLeaseEnd := max(m.leaseEnd, h.quorumAt+h.Timing.Lease, h.tookOverAt+h.Timing.Lease)
	return now >= lastLeaseEnd+h.Timing.MaxRequestTime
}

// countBound returns the number of the view's members that hold a lease from this leaseholder.
func (h *Leaseholder) countBound(now daisygap.Millis) int {
	n := 0
	for _, host := range h.view.Members {
		m := h.members[host]
		if m != nil && !m.left && m.lastHeartbeat > 0 && now < m.leaseEnd {
			n++
		}
	}
	return n
}
