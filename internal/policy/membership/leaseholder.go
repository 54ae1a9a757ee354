package membership

import (
	"slices"
	"sort"

	"github.com/daisygap/daisygap"
)

// Heartbeat is a member's heartbeat as the decisions need it.
type Heartbeat struct {
	Host        string
	Incarnation string
	Ack         uint64
	Leaving     bool
	// HasLease tells that the daemon holds a lease from an earlier heartbeat, maybe of a former leaseholder.
	HasLease bool
}

// Lease is the answer to a heartbeat; a span of 0 gives no lease.
type Lease struct {
	Duration daisygap.Millis
	View     daisygap.View
	// Timing is what the leaseholder counts with.
	Timing Timing
}

type member struct {
	incarnation   string
	leaseEnd      daisygap.Millis // end of the last lease, on the leaseholder's clock
	ack           uint64
	left          bool
	lastHeartbeat daisygap.Millis
}

// Leaseholder is the leaseholder's side of a domain's membership; it is not safe for concurrent use.
type Leaseholder struct {
	Self   string
	Timing Timing

	view          daisygap.View
	members       map[string]*member
	storeLeaseEnd daisygap.Millis
	tookOverAt    daisygap.Millis
	quorumAt      daisygap.Millis
}

// TakeOver starts a term of office with the view found in the store, which now carries the new epoch; first tells that nobody held it before.
func (h *Leaseholder) TakeOver(view daisygap.View, first bool, now, storeUntil daisygap.Millis) {
	h.view = view
	h.tookOverAt = now
	h.storeLeaseEnd = storeUntil
	h.quorumAt = -1
	h.members = make(map[string]*member)
	if first {
		h.tookOverAt = now - h.Timing.Lease - h.Timing.MaxRequestTime
		return
	}
	for _, host := range view.Members {
		// What the former leaseholder granted is unknown; the longest possible is assumed.
		h.members[host] = &member{leaseEnd: now + h.Timing.Lease}
	}
}

// StoreLeaseRenewed notes that the store extended the domain's lease, counted from when that was asked.
func (h *Leaseholder) StoreLeaseRenewed(until daisygap.Millis) {
	h.storeLeaseEnd = max(h.storeLeaseEnd, until)
}

// CanGrantLeases tells whether leases may be granted: under the lease in the store, or without it while more than half of the view is bound here.
func (h *Leaseholder) CanGrantLeases(now daisygap.Millis) bool {
	if h.members == nil {
		return false
	}
	return now < h.storeLeaseEnd || h.countBound(now) > len(h.view.Members)/2
}

// StoreLeaseValid tells whether the domain's lease in the store stands.
func (h *Leaseholder) StoreLeaseValid(now daisygap.Millis) bool {
	return h.members != nil && now < h.storeLeaseEnd
}

// HandleHeartbeat takes in a heartbeat and answers it.
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

// admit accepts a new incarnation of a host only when the old one can no longer use its shares.
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

// NextView returns the view to be written to the store next, if the membership has to change.
func (h *Leaseholder) NextView(now daisygap.Millis) (daisygap.View, bool) {
	if !h.StoreLeaseValid(now) {
		return daisygap.View{}, false
	}
	if h.view.Next != nil {
		return h.activationView(now)
	}
	want := h.wantedMembers(now)
	if len(want) == 0 || slices.Equal(want, h.view.Members) {
		return daisygap.View{}, false
	}
	return daisygap.View{Epoch: h.view.Epoch, Seq: h.view.Seq + 1, Members: h.view.Members, Next: want}, true
}

// ViewCommitted notes that the store holds a view now.
func (h *Leaseholder) ViewCommitted(view daisygap.View) {
	h.view = view
	h.quorumAt = -1
	for host, m := range h.members {
		if m.left && !slices.Contains(view.Members, host) {
			delete(h.members, host)
		}
	}
}

// View returns the view in force.
func (h *Leaseholder) View() daisygap.View {
	return h.view
}

// Alive returns the hosts that hold a lease now.
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

// wantedMembers returns the hosts that should hold shares: those with a lease, and those whose lease may still stand.
func (h *Leaseholder) wantedMembers(now daisygap.Millis) []string {
	var want []string
	for host, m := range h.members {
		if !m.left && now < m.leaseEnd {
			want = append(want, host)
		}
	}
	sort.Strings(want)
	return want
}

// activationView ends a change once every holder of old shares has shrunk, has left, or has surely lapsed.
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

// hasShrunk tells whether a member of the old view can no longer use more than its smaller share.
func (h *Leaseholder) hasShrunk(m *member, now daisygap.Millis) bool {
	if m == nil || m.left || m.ack >= h.view.Seq {
		return true
	}
	lapsed := max(m.leaseEnd, h.quorumAt+h.Timing.Lease, h.tookOverAt+h.Timing.Lease)
	return now >= lapsed+h.Timing.MaxRequestTime
}

// countBound counts the members of the view that hold a lease from this daemon.
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
