package membership

import (
	"slices"

	"github.com/daisygap/daisygap"
)

// Member is the member's side of a lease, with all times on its own clock. It is not safe for concurrent use.
type Member struct {
	Host string
	// Started is the time when this incarnation started.
	Started daisygap.Millis

	view         daisygap.View
	leaseEnd     daisygap.Millis
	granterEpoch uint64
	// bindingEnd is the time until which the leaseholder may count this member's lease towards its majority, and formerBindingEnd
	// the same for former leaseholders.
	formerBindingEnd daisygap.Millis
	bindingEnd       daisygap.Millis
	// usableFrom is the time by which all requests of the host's former incarnations have ended.
	usableFrom daisygap.Millis
	// hasReply is set after the first reply to a heartbeat.
	hasReply bool
}

// waitForPredecessor makes a new incarnation wait for what a former incarnation of its host may have left: requests that still
// run at upstreams, and a lease that a leaseholder may still count towards its majority.
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

// HandleLease records a leaseholder's reply to the heartbeat sent at the given time, and reports whether the reply grants a lease.
// Replies of earlier epochs are ignored.
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

// LeaseValid reports whether the lease is valid, so that new requests may use the member's shares.
func (m *Member) LeaseValid(now daisygap.Millis) bool {
	return now >= m.usableFrom && now < m.leaseEnd && slices.Contains(m.view.Members, m.Host)
}

// LeaseExpiry returns the end of the lease on the member's clock.
func (m *Member) LeaseExpiry() daisygap.Millis {
	return m.leaseEnd
}

// View returns the latest view received.
func (m *Member) View() daisygap.View {
	return m.view
}

// MemberLists returns the member lists in force: two while the view changes, when the smaller of the two shares applies.
func (m *Member) MemberLists() [][]string {
	if m.view.Next == nil {
		return [][]string{m.view.Members}
	}
	return [][]string{m.view.Members, m.view.Next}
}

// Ack returns the sequence number up to which this member follows the views. The flag withinShares reports that its use fits
// the smaller of its shares.
func (m *Member) Ack(withinShares bool, now daisygap.Millis) uint64 {
	if m.view.Next == nil {
		return m.view.Seq
	}
	inOldView := slices.Contains(m.view.Members, m.Host)
	if inOldView && (!withinShares || now < m.formerBindingEnd || now < m.usableFrom) {
		return m.view.Seq - 1
	}
	return m.view.Seq
}
