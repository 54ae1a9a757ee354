package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/quota"
)

const (
	modelLimit          = 7
	modelLease          = 8_000
	modelMaxRequestTime = 3_000
	modelStoreLease     = 3_000
)

// modelStoreState models the store: a lease key and a view key with its revision.
type modelStoreState struct {
	owner    string
	until    daisygap.Millis
	view     daisygap.View
	revision int
}

type modelDaemon struct {
	name         string
	incarnation  int
	member       Member
	leaseholder  *Leaseholder
	viewRevision int
	leaderName   string
	paused       daisygap.Millis
	// requestEnds holds the end times of the requests that run on this host.
	requestEnds []daisygap.Millis
}

// reply is a reply to a heartbeat that has not arrived yet.
type reply struct {
	to          *modelDaemon
	incarnation int
	lease       Lease
	sent, at    daisygap.Millis
}

type model struct {
	now         daisygap.Millis
	store       modelStoreState
	daemons     []*modelDaemon
	partitioned map[string]bool
	// orphanEnds holds the end times of requests of crashed incarnations that upstreams still run.
	orphanEnds []daisygap.Millis
	replies    []reply
	timing     Timing
	random     *rand.Rand
}

// intBetween returns a random number in [low, high].
func (m *model) intBetween(low, high int) int { return low + m.random.IntN(high-low+1) }

func (m *model) id(d *modelDaemon) string { return fmt.Sprintf("%s/%d", d.name, d.incarnation) }

func (m *model) find(name string) *modelDaemon {
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (m *model) canReach(a, b string) bool { return !m.partitioned[a+b] && !m.partitioned[b+a] }

// step runs one iteration of a daemon's membership loop.
func (m *model) step(d *modelDaemon) {
	if m.now < d.paused {
		return
	}
	if d.leaseholder != nil {
		m.stepLeaseholder(d)
		return
	}
	leader := m.find(d.leaderName)
	if leader == nil || leader == d || !m.canReach(d.name, leader.name) || m.now < leader.paused || leader.leaseholder == nil {
		d.leaderName = ""
		m.findLeader(d)
		return
	}
	m.sendHeartbeat(d, leader)
}

func (m *model) heartbeat(d *modelDaemon) Heartbeat {
	withinShares := len(d.activeRequests(m.now)) <= d.share()
	return Heartbeat{Host: d.name, Incarnation: m.id(d), Ack: d.member.Ack(withinShares, m.now), HasLease: d.member.LeaseValid(m.now)}
}

func (m *model) sendHeartbeat(d, leader *modelDaemon) {
	h := m.heartbeat(d)
	lease := leader.leaseholder.HandleHeartbeat(h, m.now)
	if m.intBetween(0, 9) == 0 {
		return
	}
	delay := []daisygap.Millis{0, 0, 0, 200, 2_500, 9_000}[m.intBetween(0, 5)]
	m.replies = append(m.replies, reply{to: d, incarnation: d.incarnation, lease: lease, sent: m.now, at: m.now + delay})
}

func (m *model) findLeader(d *modelDaemon) {
	if m.partitioned[d.name] {
		for _, o := range m.daemons {
			if o != d && o.leaseholder != nil && m.canReach(d.name, o.name) && m.now >= o.paused && o.leaseholder.CanGrantLeases(m.now) {
				d.leaderName = o.name
			}
		}
		return
	}
	if m.now < m.store.until {
		if m.store.owner != m.id(d) {
			d.leaderName = m.store.owner[:1]
		}
		return
	}
	m.store.owner, m.store.until = m.id(d), m.now+modelStoreLease
	first := m.store.revision == 0
	view := daisygap.View{Epoch: 1, Seq: 1, Members: []string{d.name}}
	if !first {
		view = m.store.view
		view.Epoch++
		view.Seq++
	}
	m.store.view = view
	m.store.revision++
	if m.intBetween(0, 9) == 0 {
		return
	}
	d.leaseholder = &Leaseholder{Self: d.name, Timing: m.timing}
	d.leaseholder.TakeOver(view, first, m.now, m.now+modelStoreLease)
	d.viewRevision = m.store.revision
}

func (m *model) stepLeaseholder(d *modelDaemon) {
	if !m.partitioned[d.name] {
		switch {
		case m.store.owner == m.id(d) && m.now < m.store.until:
			m.store.until = m.now + modelStoreLease
			if m.intBetween(0, 9) > 0 {
				d.leaseholder.StoreLeaseRenewed(m.now + modelStoreLease)
			}
		case m.now < m.store.until:
			d.leaseholder = nil
			return
		default:
			d.leaseholder = nil
			m.findLeader(d)
			return
		}
	}
	lease := d.leaseholder.HandleHeartbeat(m.heartbeat(d), m.now)
	d.member.HandleLease(lease, m.now, m.now)
	view, due := d.leaseholder.NextView(m.now)
	if !due || m.partitioned[d.name] {
		return
	}
	if m.store.revision != d.viewRevision {
		d.leaseholder = nil
		return
	}
	m.store.view = view
	m.store.revision++
	d.viewRevision = m.store.revision
	d.leaseholder.ViewCommitted(view)
}

// share returns the daemon's smallest share under its member lists, as the pools compute it.
func (d *modelDaemon) share() int {
	smallest := int64(modelLimit)
	for _, list := range d.member.MemberLists() {
		smallest = min(smallest, quota.Share(modelLimit, "limit", d.name, list))
	}
	return int(smallest)
}

func (d *modelDaemon) activeRequests(now daisygap.Millis) []daisygap.Millis {
	d.requestEnds = slices.DeleteFunc(d.requestEnds, func(end daisygap.Millis) bool { return now >= end })
	return d.requestEnds
}

func (m *model) checkLimit(t *rapid.T) {
	m.orphanEnds = slices.DeleteFunc(m.orphanEnds, func(end daisygap.Millis) bool { return m.now >= end })
	used := len(m.orphanEnds)
	for _, d := range m.daemons {
		used += len(d.activeRequests(m.now))
	}
	if used > modelLimit {
		for _, d := range m.daemons {
			t.Logf("%s: %d requests in flight, lease until %d, view %+v", m.id(d), len(d.requestEnds), d.member.LeaseExpiry(), d.member.View())
		}
		t.Fatalf("at %d ms: %d requests in flight, limit %d; store %+v", m.now, used, modelLimit, m.store)
	}
}

// TestSharesNeverExceedLimit runs a domain's daemons through lost and late replies, network partitions between each other and
// from the store, pauses, crashes and restarts. It guards against two daemons using the same share at once: requests in flight
// must never exceed the shared limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	inFlight := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: 100_000, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), partitioned: make(map[string]bool), timing: Timing{Lease: modelLease, MaxRequestTime: modelMaxRequestTime}}
		for i := range rapid.IntRange(2, 5).Draw(t, "daemons") {
			name := string(rune('a' + i))
			m.daemons = append(m.daemons, &modelDaemon{name: name, member: Member{Host: name, Started: m.now}})
		}
		for range m.intBetween(50, 1200) {
			m.randomAction()
			m.checkLimit(t)
			for _, d := range m.daemons {
				inFlight += len(d.requestEnds)
			}
		}
	})
	if inFlight == 0 {
		t.Error("no daemon ever used a share")
	}
}

func (m *model) randomAction() {
	d := m.daemons[m.intBetween(0, len(m.daemons)-1)]
	other := m.daemons[m.intBetween(0, len(m.daemons)-1)]
	switch m.intBetween(0, 60) {
	case 0:
		m.partitioned[d.name+other.name] = !m.partitioned[d.name+other.name]
	case 1:
		m.partitioned[d.name] = !m.partitioned[d.name]
	case 2:
		d.paused = m.now + daisygap.Millis(m.intBetween(1, 25_000))
	case 3:
		m.crash(d)
	case 4:
		m.now += daisygap.Millis(m.intBetween(1_000, 6_000))
	case 5:
		m.partitioned = make(map[string]bool)
	default:
		m.now += daisygap.Millis(m.intBetween(50, 500))
		for _, each := range m.daemons {
			m.step(each)
		}
	}
	m.deliver()
	for _, each := range m.daemons {
		m.startRequests(each)
	}
}

// crash restarts a daemon. The new incarnation has no state, and requests of the old one may still run at their upstreams.
func (m *model) crash(d *modelDaemon) {
	m.orphanEnds = append(m.orphanEnds, d.requestEnds...)
	d.requestEnds = nil
	d.incarnation++
	d.member = Member{Host: d.name, Started: m.now}
	d.leaseholder, d.leaderName, d.paused = nil, "", 0
}

func (m *model) deliver() {
	m.replies = slices.DeleteFunc(m.replies, func(r reply) bool {
		if m.now < r.at || m.now < r.to.paused {
			return false
		}
		if r.incarnation == r.to.incarnation {
			r.to.member.HandleLease(r.lease, r.sent, m.now)
		}
		return true
	})
}

// startRequests fills the daemon's share with requests of the longest duration while its lease is valid.
func (m *model) startRequests(d *modelDaemon) {
	if m.now < d.paused || !d.member.LeaseValid(m.now) {
		return
	}
	for len(d.activeRequests(m.now)) < d.share() {
		d.requestEnds = append(d.requestEnds, m.now+modelMaxRequestTime)
	}
}
