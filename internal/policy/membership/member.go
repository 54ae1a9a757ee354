package membership

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// Member is a daemon's own side of its lease, on its own clock; it is not safe for concurrent use.
type Member struct {
	Host string
	// Started is when this incarnation began.
	Started daisygap.Millis

	view         daisygap.View
	leaseEnd     daisygap.Millis
	granterEpoch uint64
	// formerBindingEnd is the time until which a former leaseholder may still count this member as bound to it.
	formerBindingEnd daisygap.Millis
	bindingEnd       daisygap.Millis
	// usableFrom is when requests of a former incarnation of the host have surely ended.
	usableFrom daisygap.Millis
	hasReply   bool
}

// waitForPredecessor makes a new incarnation wait out what a former one of its host may have left: requests at upstreams, and a lease
// that a leaseholder may still count as a binding.
func (m *Member) waitForPredecessor(view daisygap.View, timing Timing) {
	if m.hasReply {
		return
	}
	m.hasReply = true
	firstView := view.Epoch == 1 && view.Seq == 1
	if slices.Contains(view.Members, m.Host) && !firstView {
		m.usableFrom = m.Started + timing.MaxRequestTime
		m.bindingEnd = m.Started + timing.Lease
	}
}

// HandleLease takes in a leaseholder's answer to a heartbeat that was sent at a time and answered by now; it reports whether the lease was accepted.
func (m *Member) HandleLease(g Lease, sent, now daisygap.Millis) bool {
	if g.View.Epoch < m.view.Epoch {
		return false
	}
	m.waitForPredecessor(g.View, g.Timing)
	if g.View.Epoch > m.granterEpoch {
		m.formerBindingEnd = max(m.formerBindingEnd, m.bindingEnd)
		m.granterEpoch = g.View.Epoch
	}
	if newer(g.View, m.view) {
		m.view = g.View
	}
	if g.Duration <= 0 {
		return false
	}
	m.leaseEnd = max(m.leaseEnd, sent+g.Duration)
	m.bindingEnd = max(m.bindingEnd, now+g.Duration)
	return true
}

// LeaseValid tells whether the lease stands, so that new work may use the shares.
func (m *Member) LeaseValid(now daisygap.Millis) bool {
	return now >= m.usableFrom && now < m.leaseEnd && slices.Contains(m.view.Members, m.Host)
}

// LeaseExpiry returns the end of the lease.
func (m *Member) LeaseExpiry() daisygap.Millis {
	return m.leaseEnd
}

// View returns the last view heard of.
func (m *Member) View() daisygap.View {
	return m.view
}

// MemberLists returns the member lists under which the smaller share counts.
func (m *Member) MemberLists() [][]string {
	if m.view.Next == nil {
		return [][]string{m.view.Members}
	}
	return [][]string{m.view.Members, m.view.Next}
}

// Ack returns the sequence number up to which this member follows the views; shrunk tells that its use fits the smaller shares.
func (m *Member) Ack(shrunk bool, now daisygap.Millis) uint64 {
	if m.view.Next == nil {
		return m.view.Seq
	}
	leaving := slices.Contains(m.view.Members, m.Host)
	if leaving && (!shrunk || now < m.formerBindingEnd || now < m.usableFrom) {
		return m.view.Seq - 1
	}
	return m.view.Seq
}
