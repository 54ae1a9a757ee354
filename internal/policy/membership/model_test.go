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
	modelLimit   = 7
	modelLease   = 8_000
	modelLongest = 3_000
	modelStore   = 3_000
)

// modelStoreState is the platform's service: a lease key and a view key.
type modelStoreState struct {
	owner    string
	until    daisygap.Millis
	view     daisygap.View
	revision int
}

type modelDaemon struct {
	name        string
	incarnation int
	member      Member
	holder      *Leaseholder
	viewRev     int
	leader      string
	paused      daisygap.Millis
	// units are the ends of the requests that run on this host.
	units []daisygap.Millis
}

// reply is an answer to a heartbeat that is still on its way.
type reply struct {
	to          *modelDaemon
	incarnation int
	lease       Lease
	sent, at    daisygap.Millis
}

type model struct {
	now     daisygap.Millis
	store   modelStoreState
	daemons []*modelDaemon
	cut     map[string]bool
	// orphans are the ends of requests of crashed incarnations that their upstreams still run.
	orphans []daisygap.Millis
	replies []reply
	timing  Timing
	random  *rand.Rand
}

// between returns a number of a range, both ends included.
func (m *model) between(low, high int) int { return low + m.random.IntN(high-low+1) }

func (m *model) id(d *modelDaemon) string { return fmt.Sprintf("%s/%d", d.name, d.incarnation) }

func (m *model) find(name string) *modelDaemon {
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (m *model) reaches(a, b string) bool { return !m.cut[a+b] && !m.cut[b+a] }

// step lets one daemon do what its membership loop does.
func (m *model) step(d *modelDaemon) {
	if m.now < d.paused {
		return
	}
	if d.holder != nil {
		m.hold(d)
		return
	}
	leader := m.find(d.leader)
	if leader == nil || leader == d || !m.reaches(d.name, leader.name) || m.now < leader.paused || leader.holder == nil {
		d.leader = ""
		m.findLeader(d)
		return
	}
	m.beat(d, leader)
}

func (m *model) heartbeat(d *modelDaemon) Heartbeat {
	shrunk := len(d.live(m.now)) <= d.share()
	return Heartbeat{Host: d.name, Incarnation: m.id(d), Ack: d.member.Ack(shrunk, m.now), HasLease: d.member.LeaseValid(m.now)}
}

func (m *model) beat(d, leader *modelDaemon) {
	h := m.heartbeat(d)
	lease := leader.holder.HandleHeartbeat(h, m.now)
	if m.between(0, 9) == 0 {
		return
	}
	delay := []daisygap.Millis{0, 0, 0, 200, 2_500, 9_000}[m.between(0, 5)]
	m.replies = append(m.replies, reply{to: d, incarnation: d.incarnation, lease: lease, sent: m.now, at: m.now + delay})
}

func (m *model) findLeader(d *modelDaemon) {
	if m.cut[d.name] {
		for _, o := range m.daemons {
			if o != d && o.holder != nil && m.reaches(d.name, o.name) && m.now >= o.paused && o.holder.CanGrantLeases(m.now) {
				d.leader = o.name
			}
		}
		return
	}
	if m.now < m.store.until {
		if m.store.owner != m.id(d) {
			d.leader = m.store.owner[:1]
		}
		return
	}
	m.store.owner, m.store.until = m.id(d), m.now+modelStore
	first := m.store.revision == 0
	view := daisygap.View{Epoch: 1, Seq: 1, Members: []string{d.name}}
	if !first {
		view = m.store.view
		view.Epoch++
		view.Seq++
	}
	m.store.view = view
	m.store.revision++
	if m.between(0, 9) == 0 {
		return
	}
	d.holder = &Leaseholder{Self: d.name, Timing: m.timing}
	d.holder.TakeOver(view, first, m.now, m.now+modelStore)
	d.viewRev = m.store.revision
}

func (m *model) hold(d *modelDaemon) {
	if !m.cut[d.name] {
		switch {
		case m.store.owner == m.id(d) && m.now < m.store.until:
			m.store.until = m.now + modelStore
			if m.between(0, 9) > 0 {
				d.holder.StoreLeaseRenewed(m.now + modelStore)
			}
		case m.now < m.store.until:
			d.holder = nil
			return
		default:
			d.holder = nil
			m.findLeader(d)
			return
		}
	}
	lease := d.holder.HandleHeartbeat(m.heartbeat(d), m.now)
	d.member.HandleLease(lease, m.now, m.now)
	view, due := d.holder.NextView(m.now)
	if !due || m.cut[d.name] {
		return
	}
	if m.store.revision != d.viewRev {
		d.holder = nil
		return
	}
	m.store.view = view
	m.store.revision++
	d.viewRev = m.store.revision
	d.holder.ViewCommitted(view)
}

// share returns the daemon's share under all lists, as the pools compute it.
func (d *modelDaemon) share() int {
	least := int64(modelLimit)
	for _, list := range d.member.MemberLists() {
		least = min(least, quota.Share(modelLimit, "limit", d.name, list))
	}
	return int(least)
}

func (d *modelDaemon) live(now daisygap.Millis) []daisygap.Millis {
	d.units = slices.DeleteFunc(d.units, func(end daisygap.Millis) bool { return now >= end })
	return d.units
}

func (m *model) check(t *rapid.T) {
	m.orphans = slices.DeleteFunc(m.orphans, func(end daisygap.Millis) bool { return m.now >= end })
	used := len(m.orphans)
	for _, d := range m.daemons {
		used += len(d.live(m.now))
	}
	if used > modelLimit {
		for _, d := range m.daemons {
			t.Logf("%s: %d in use, lease until %d, view %+v", m.id(d), len(d.units), d.member.LeaseExpiry(), d.member.View())
		}
		t.Fatalf("at %d: %d in use of %d; store %+v", m.now, used, modelLimit, m.store)
	}
}

// TestSharesNeverExceedLimit drives a domain's daemons through lost and late answers, cuts from each other and from the
// store, pauses, crashes and restarts, and checks that requests in flight never exceed the shared limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	busy := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: 100_000, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), cut: make(map[string]bool), timing: Timing{Lease: modelLease, MaxRequestTime: modelLongest}}
		for i := range rapid.IntRange(2, 5).Draw(t, "daemons") {
			name := string(rune('a' + i))
			m.daemons = append(m.daemons, &modelDaemon{name: name, member: Member{Host: name, Started: m.now}})
		}
		for range m.between(50, 1200) {
			m.act()
			m.check(t)
			for _, d := range m.daemons {
				busy += len(d.units)
			}
		}
	})
	if busy == 0 {
		t.Error("no daemon ever used a share")
	}
}

func (m *model) act() {
	d := m.daemons[m.between(0, len(m.daemons)-1)]
	other := m.daemons[m.between(0, len(m.daemons)-1)]
	switch m.between(0, 60) {
	case 0:
		m.cut[d.name+other.name] = !m.cut[d.name+other.name]
	case 1:
		m.cut[d.name] = !m.cut[d.name]
	case 2:
		d.paused = m.now + daisygap.Millis(m.between(1, 25_000))
	case 3:
		m.crash(d)
	case 4:
		m.now += daisygap.Millis(m.between(1_000, 6_000))
	case 5:
		m.cut = make(map[string]bool)
	default:
		m.now += daisygap.Millis(m.between(50, 500))
		for _, each := range m.daemons {
			m.step(each)
		}
	}
	m.deliver()
	for _, each := range m.daemons {
		m.use(each)
	}
}

// crash replaces a host: the new incarnation knows nothing, the old one's requests may still run at their upstreams.
func (m *model) crash(d *modelDaemon) {
	m.orphans = append(m.orphans, d.units...)
	d.units = nil
	d.incarnation++
	d.member = Member{Host: d.name, Started: m.now}
	d.holder, d.leader, d.paused = nil, "", 0
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

// use starts as many and as long requests as it may while the lease and the share allow it.
func (m *model) use(d *modelDaemon) {
	if m.now < d.paused || !d.member.LeaseValid(m.now) {
		return
	}
	for len(d.live(m.now)) < d.share() {
		d.units = append(d.units, m.now+modelLongest)
	}
}
