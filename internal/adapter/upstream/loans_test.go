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

// TestMain fixes the seed of the property tests, so that a run gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	testLongest = daisygap.Millis(2_000)
	testSlots   = 5
)

// lender is one daemon's pool with the requests that run on its slots.
type lender struct {
	name    string
	pool    *Pool
	running []*run
	waiting []*wait
	paused  daisygap.Millis
}

type run struct {
	slot *Slot
	end  daisygap.Millis
}

type wait struct {
	request *daisygap.Request
	item    *admission.QueuedRequest
	ch      chan grant
}

// message is a loan call or answer that arrives later, perhaps twice, perhaps never.
type message struct {
	at      daisygap.Millis
	to      *lender
	deliver func()
}

type exchangeModel struct {
	clock    *daisygap.Clock
	random   *rand.Rand
	lenders  []*lender
	messages []message
	faults   bool
}

func newExchange(n int, seed uint64, faults bool) *exchangeModel {
	m := &exchangeModel{clock: daisygap.NewManualClock(10_000), random: rand.New(rand.NewPCG(seed, 0)), faults: faults}
	var names []string
	for i := range n {
		names = append(names, string(rune('a'+i)))
	}
	for _, name := range names {
		l := &lender{name: name, pool: &Pool{
			Clock: m.clock, LeaseValid: func() bool { return true }, Suspect: func(uint64) bool { return false }, OnShortage: func() {}, Seed: seed + 1,
		}}
		var targets []balance.Target
		for u := range 3 {
			target := fmt.Sprintf("u%d", u)
			targets = append(targets, balance.Target{
				Name: target, Address: target, Slots: testSlots, Share: int(quota.Share(testSlots, target, name, names)),
			})
		}
		l.pool.SetPlan(Plan{Rules: []admission.Rule{{Name: "k", MaxQueued: 50}}, Targets: targets, Eject: 0.3, MaxRunTime: testLongest})
		m.lenders = append(m.lenders, l)
	}
	return m
}

// send delivers something to a daemon: late, twice or not at all when there are faults.
func (m *exchangeModel) send(to *lender, deliver func()) {
	times := 1
	delay := daisygap.Millis(1)
	if m.faults {
		times = []int{0, 1, 1, 1, 1, 2}[m.random.IntN(6)]
		delay = []daisygap.Millis{1, 1, 5, 100, 1_200, 4_000}[m.random.IntN(6)]
	}
	for i := range times {
		m.messages = append(m.messages, message{at: m.clock.Now() + delay*daisygap.Millis(i+1), to: to, deliver: deliver})
	}
}

func (m *exchangeModel) deliver() {
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

// act lets one daemon do what its loan part does.
func (m *exchangeModel) act(l *lender) {
	for _, due := range l.pool.DueLoans() {
		m.keepUp(l, due)
	}
	if l.pool.NeedsRecall() {
		for _, o := range m.lenders {
			if o != l {
				m.send(o, func() { o.pool.Recall(l.name) })
			}
		}
	}
	want, rank := l.pool.SlotDemand()
	if want == 0 {
		return
	}
	o := m.lenders[m.random.IntN(len(m.lenders))]
	if o == l {
		return
	}
	asked := m.clock.Now()
	m.send(o, func() {
		lent := o.pool.Lend(l.name, want, rank)
		m.send(l, func() { l.pool.AddBorrowed(o.name, lent, asked) })
	})
}

func (m *exchangeModel) keepUp(l *lender, due DueLoans) {
	asked := m.clock.Now()
	for _, o := range m.lenders {
		if o.name == due.Peer {
			m.send(o, func() {
				o.pool.CloseReturned(l.name, due.Return)
				extended := o.pool.ExtendLent(l.name, due.Extend)
				m.send(l, func() { l.pool.ExtendBorrowed(o.name, extended, asked) })
			})
		}
	}
}

func (m *exchangeModel) request(l *lender) {
	r := &daisygap.Request{Kind: "k", Caller: "c", Deadline: m.clock.Now() + testLongest}
	if item, ch, denial := l.pool.enter(r); denial == nil {
		l.waiting = append(l.waiting, &wait{request: r, item: item, ch: ch})
	}
}

// collect starts granted requests and ends finished ones; a request that reaches its deadline ends at its upstream in any case.
func (m *exchangeModel) collect(l *lender) {
	now := m.clock.Now()
	l.waiting = slices.DeleteFunc(l.waiting, func(w *wait) bool {
		select {
		case g := <-w.ch:
			if slot, denial := l.pool.granted(w.request, g); denial == nil {
				l.running = append(l.running, &run{slot: slot, end: w.request.Deadline})
			}
			return true
		default:
			return false
		}
	})
	if now < l.paused {
		return
	}
	l.running = slices.DeleteFunc(l.running, func(r *run) bool {
		if now < r.end && m.random.IntN(20) > 0 {
			return false
		}
		r.slot.Done(balance.Succeeded)
		return true
	})
	for _, w := range slices.Clone(l.waiting) {
		if now >= w.request.Deadline {
			l.pool.mu.Lock()
			l.pool.withdraw(w.item)
			l.pool.mu.Unlock()
			l.waiting = slices.DeleteFunc(l.waiting, func(o *wait) bool { return o == w })
		}
	}
}

// inUse counts the requests that each upstream runs now.
func (m *exchangeModel) inUse() map[string]int {
	used := make(map[string]int)
	for _, l := range m.lenders {
		for _, r := range l.running {
			if m.clock.Now() < r.end {
				used[r.slot.Name]++
			}
		}
	}
	return used
}

// TestLoansNeverExceedSlots drives lenders and borrowers through lost, late and repeated messages and pauses.
func TestLoansNeverExceedSlots(t *testing.T) {
	borrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newExchange(rapid.IntRange(2, 4).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"), true)
		for range 1_500 {
			m.clock.Advance(daisygap.Millis(1 + m.random.IntN(40)))
			m.deliver()
			for _, l := range m.lenders {
				if m.random.IntN(400) == 0 {
					l.paused = m.clock.Now() + daisygap.Millis(m.random.IntN(6_000))
				}
				if m.clock.Now() < l.paused {
					continue
				}
				if m.random.IntN(3) == 0 {
					m.request(l)
				}
				m.act(l)
				l.pool.Tick()
				for _, u := range l.pool.Upstreams() {
					borrowed += u.Borrowed
				}
			}
			for _, l := range m.lenders {
				m.collect(l)
			}
			for name, used := range m.inUse() {
				if used > testSlots {
					t.Fatalf("at %d: %d requests run at %s, which has %d slots", m.clock.Now(), used, name, testSlots)
				}
			}
		}
	})
	if borrowed == 0 {
		t.Error("no slot was ever borrowed")
	}
}

// TestIdleSlotsSoonUsableElsewhere gives one of two daemons all the load and none of the faults.
func TestIdleSlotsSoonUsableElsewhere(t *testing.T) {
	m := newExchange(2, 1, false)
	busy := m.lenders[0]
	for range 30 {
		m.request(busy)
	}
	start := m.clock.Now()
	for m.clock.Now()-start < 100 {
		m.clock.Advance(1)
		m.deliver()
		m.act(busy)
		m.collect(busy)
		for len(busy.waiting) < 20 {
			m.request(busy)
		}
	}
	total := 0
	for _, used := range m.inUse() {
		total += used
	}
	if got := float64(total) / (3 * testSlots); got < 0.9 {
		t.Errorf("one daemon uses %.2f of all slots after 100 ms, want 0.9", got)
	}
}
