package upstream

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/admission"
	"github.com/daisygap/daisygap/internal/policy/balance"
	"github.com/daisygap/daisygap/internal/policy/quota"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	testMaxRunTime = daisygap.Millis(2_000)
	testSlots      = 5
)

// testDaemon is the pool of one daemon with its running and waiting requests. It does nothing before the paused time.
type testDaemon struct {
	name    string
	pool    *Pool
	running []*runningRequest
	waiting []*waitingRequest
	paused  daisygap.Millis
}

type runningRequest struct {
	slot *Slot
	end  daisygap.Millis
}

type waitingRequest struct {
	request *daisygap.Request
	item    *admission.QueuedRequest
	ch      chan grant
}

// message is a request or response of the loan protocol that is delivered to a daemon at a time.
type message struct {
	at      daisygap.Millis
	to      *testDaemon
	deliver func()
}

// loanModel simulates daemons that lend slots to each other over a network that loses, delays and duplicates messages if
// faults is set.
type loanModel struct {
	clock    *daisygap.Clock
	random   *rand.Rand
	daemons  []*testDaemon
	messages []message
	faults   bool
}

func newLoanModel(daemons int, seed uint64, faults bool) *loanModel {
	m := &loanModel{clock: daisygap.NewManualClock(10_000), random: rand.New(rand.NewPCG(seed, 0)), faults: faults}
	var names []string
	for i := range daemons {
		names = append(names, string(rune('a'+i)))
	}
	for _, name := range names {
		d := &testDaemon{name: name, pool: &Pool{
			Clock: m.clock, LeaseValid: func() bool { return true }, Suspect: func(uint64) bool { return false }, OnShortage: func() {}, Seed: seed + 1,
		}}
		var targets []balance.Target
		for u := range 3 {
			target := fmt.Sprintf("u%d", u)
			targets = append(targets, balance.Target{
				Name: target, Address: target, Slots: testSlots, Share: int(quota.Share(testSlots, target, name, names)),
			})
		}
		d.pool.SetPlan(Plan{Rules: []admission.Rule{{Name: "k", MaxQueued: 50}}, Targets: targets, Eject: 0.3, MaxRunTime: testMaxRunTime})
		m.daemons = append(m.daemons, d)
	}
	return m
}

// send schedules the delivery of a message. With faults, the message may be late, duplicated or lost.
func (m *loanModel) send(to *testDaemon, deliver func()) {
	deliveries := 1
	delay := daisygap.Millis(1)
	if m.faults {
		deliveries = []int{0, 1, 1, 1, 1, 2}[m.random.IntN(6)]
		delay = []daisygap.Millis{1, 1, 5, 100, 1_200, 4_000}[m.random.IntN(6)]
	}
	for i := range deliveries {
		m.messages = append(m.messages, message{at: m.clock.Now() + delay*daisygap.Millis(i+1), to: to, deliver: deliver})
	}
}

func (m *loanModel) deliver() {
	for {
		i := slices.IndexFunc(m.messages, func(x message) bool { return m.clock.Now() >= x.at && m.clock.Now() >= x.to.paused })
		if i < 0 {
			return
		}
		x := m.messages[i]
		m.messages = slices.Delete(m.messages, i, i+1)
		x.deliver()
	}
}

// manageLoans sends the loan messages that are due at one daemon: extensions, returns, recalls and requests for slots.
func (m *loanModel) manageLoans(d *testDaemon) {
	for _, due := range d.pool.DueLoans() {
		m.maintainLoans(d, due)
	}
	if d.pool.NeedsRecall() {
		for _, o := range m.daemons {
			if o != d {
				m.send(o, func() { o.pool.Recall(d.name) })
			}
		}
	}
	want, rank := d.pool.SlotDemand()
	if want == 0 {
		return
	}
	other := m.daemons[m.random.IntN(len(m.daemons))]
	if other == d {
		return
	}
	requestedAt := m.clock.Now()
	m.send(other, func() {
		lent := other.pool.Lend(d.name, want, rank)
		m.send(d, func() { d.pool.AddBorrowed(other.name, lent, requestedAt) })
	})
}

func (m *loanModel) maintainLoans(d *testDaemon, due DueLoans) {
	requestedAt := m.clock.Now()
	for _, o := range m.daemons {
		if o.name == due.Peer {
			m.send(o, func() {
				o.pool.CloseReturned(d.name, due.Return)
				extended := o.pool.ExtendLent(d.name, due.Extend)
				m.send(d, func() { d.pool.ExtendBorrowed(o.name, extended, requestedAt) })
			})
		}
	}
}

func (m *loanModel) request(d *testDaemon) {
	r := &daisygap.Request{Kind: "k", Caller: "c", Deadline: m.clock.Now() + testMaxRunTime}
	if item, ch, denial := d.pool.enqueue(r); denial == nil {
		d.waiting = append(d.waiting, &waitingRequest{request: r, item: item, ch: ch})
	}
}

// startAndFinishRequests starts the granted requests of a daemon and ends running ones at random, or at their deadline. A
// paused daemon doesn't release slots, although its requests end at the upstreams at their deadline.
func (m *loanModel) startAndFinishRequests(d *testDaemon) {
	now := m.clock.Now()
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waitingRequest) bool {
		select {
		case g := <-w.ch:
			if slot, denial := d.pool.slotFromGrant(w.request, g); denial == nil {
				d.running = append(d.running, &runningRequest{slot: slot, end: w.request.Deadline})
			}
			return true
		default:
			return false
		}
	})
	if now < d.paused {
		return
	}
	d.running = slices.DeleteFunc(d.running, func(r *runningRequest) bool {
		if now < r.end && m.random.IntN(20) > 0 {
			return false
		}
		r.slot.Done(balance.Succeeded)
		return true
	})
	for _, w := range slices.Clone(d.waiting) {
		if now >= w.request.Deadline {
			d.pool.mu.Lock()
			d.pool.dequeue(w.item)
			d.pool.mu.Unlock()
			d.waiting = slices.DeleteFunc(d.waiting, func(o *waitingRequest) bool { return o == w })
		}
	}
}

// runningByUpstream returns the number of requests that each upstream runs now.
func (m *loanModel) runningByUpstream() map[string]int {
	used := make(map[string]int)
	for _, d := range m.daemons {
		for _, r := range d.running {
			if m.clock.Now() < r.end {
				used[r.slot.Name]++
			}
		}
	}
	return used
}

// TestLoansNeverExceedSlots guards against slots that a lender and a borrower use at the same time, because messages were
// lost, late or duplicated, or because a daemon paused.
func TestLoansNeverExceedSlots(t *testing.T) {
	borrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLoanModel(rapid.IntRange(2, 4).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"), true)
		for range 1_500 {
			m.clock.Advance(daisygap.Millis(1 + m.random.IntN(40)))
			m.deliver()
			for _, d := range m.daemons {
				if m.random.IntN(400) == 0 {
					d.paused = m.clock.Now() + daisygap.Millis(m.random.IntN(6_000))
				}
				if m.clock.Now() < d.paused {
					continue
				}
				if m.random.IntN(3) == 0 {
					m.request(d)
				}
				m.manageLoans(d)
				d.pool.Tick()
				for _, u := range d.pool.Upstreams() {
					borrowed += u.Borrowed
				}
			}
			for _, d := range m.daemons {
				m.startAndFinishRequests(d)
			}
			for name, used := range m.runningByUpstream() {
				if used > testSlots {
					t.Fatalf("at %d ms: %d requests run at %s, which has %d slots", m.clock.Now(), used, name, testSlots)
				}
			}
		}
	})
	if borrowed == 0 {
		t.Error("no slot was borrowed in any run")
	}
}

// TestIdleSlotsAreLentWithin100ms guards against slots that stay idle at one daemon while requests wait at another: one of
// two daemons gets all requests, and no message is lost.
func TestIdleSlotsAreLentWithin100ms(t *testing.T) {
	m := newLoanModel(2, 1, false)
	loaded := m.daemons[0]
	for range 30 {
		m.request(loaded)
	}
	start := m.clock.Now()
	for m.clock.Now()-start < 100 {
		m.clock.Advance(1)
		m.deliver()
		m.manageLoans(loaded)
		m.startAndFinishRequests(loaded)
		for len(loaded.waiting) < 20 {
			m.request(loaded)
		}
	}
	total := 0
	for _, used := range m.runningByUpstream() {
		total += used
	}
	if got := float64(total) / (3 * testSlots); got < 0.9 {
		t.Errorf("the loaded daemon uses %.2f of all slots after 100 ms, want at least 0.9", got)
	}
}
