package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

const (
	// restartColdRate is the rate of the test's pool, and maxColdPerSecond the largest number of requests that a cold upstream may get in
	// one second.
	restartColdRate  = 13
	maxColdPerSecond = 1.5*restartColdRate + 5
	// restartColdPeriod is the cold time of a process that starts again.
	restartColdPeriod = daisygap.Millis(3_000)
	// noticePeriod is how long before the process starts again the first daemon must have found its connection refused. It covers the
	// spread of the report.
	noticePeriod = daisygap.Millis(400)
)

// restartModel has several daemons send requests to one upstream beside others, on a manual clock. The upstream's process ends and another
// one starts at its address under its ID, whose entry in the store follows.
type restartModel struct {
	t      *rapid.T
	random *rand.Rand
	now    daisygap.Millis
	events eventHeap
	fleets []*Fleet
	// object is one whose owner is the upstream.
	object    uint64
	downFrom  daisygap.Millis
	downUntil daisygap.Millis
	// serviceTime is that of the new process.
	serviceTime daisygap.Millis
	// refusedAt is the time of the first refused connection.
	refusedAt daisygap.Millis
	// arrivals are the times of the requests that reached the new process.
	arrivals []daisygap.Millis
}

type modelEvent struct {
	at  daisygap.Millis
	run func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *restartModel) after(delay daisygap.Millis, run func()) {
	heap.Push(&m.events, modelEvent{m.now + delay, run})
}

// entry returns the store's entry of the upstream's process.
func (m *restartModel) entry(startTime int64, cold daisygap.Millis) []daisygap.Instance {
	list := instances("n-1", 3, 6)
	list[0].StartTime, list[0].ColdRemaining = startTime, cold
	return list
}

func (m *restartModel) isDown() bool {
	return m.now >= m.downFrom && m.now < m.downUntil
}

func (m *restartModel) addFleet(i int, names []string) {
	f := newFleet(names[i], "n-1")
	f.SetDaemons(names)
	f.Check = func(u *Upstream) {
		m.after(m.delay(40), func() {
			s := StatusCheck{Reached: true, Instance: u.ID, KnowsCold: true}
			switch {
			case u.ID != "n-1-0":
			case m.isDown():
				s = StatusCheck{Refused: true}
			case m.now >= m.downUntil:
				s.Cold = max(0, m.downUntil+restartColdPeriod-m.now)
			}
			m.after(m.delay(40), func() {
				if f.Checked(u, s, m.now).News {
					m.push(i)
				}
			})
		})
	}
	f.Replace(limits, m.entry(1, 0), nil, m.now)
	m.fleets = append(m.fleets, f)
}

func (m *restartModel) delay(most daisygap.Millis) daisygap.Millis {
	return 1 + daisygap.Millis(m.random.Int64N(int64(most)))
}

// ownedObject returns an object whose owner is the first of the upstreams.
func ownedObject(list []daisygap.Instance) uint64 {
	f := newFleet("a", "n-1")
	f.Replace(limits, list, nil, 0)
	for object := uint64(0); ; object++ {
		c := f.Pool("p").Choose(query(reads(), object), 1)
		f.Pool("p").Done(c, "r", Outcome{Result: Canceled}, 1)
		if c.Upstream.ID == list[0].ID {
			return object
		}
	}
}

// push sends a daemon's news to all others, one of which may miss them.
func (m *restartModel) push(from int) {
	news := m.fleets[from].TakeRestartNews(m.now)
	missed := m.random.IntN(2 * len(m.fleets))
	for i, f := range m.fleets {
		if i != from && i != missed {
			m.after(m.delay(80), func() { f.MergeRestarts(news, m.now) })
		}
	}
}

// gossip sends a daemon's reports to another one, again and again.
func (m *restartModel) gossip(from int) {
	list := m.fleets[from].RecentRestarts(m.now)
	to := m.fleets[m.random.IntN(len(m.fleets))]
	m.after(m.delay(80), func() { to.MergeRestarts(list, m.now) })
	m.after(300+m.delay(200), func() { m.gossip(from) })
}

// load sends requests through a daemon at a mean interval.
func (m *restartModel) load(i int, interval daisygap.Millis) {
	f := m.fleets[i]
	p := f.Pool("p")
	if c := p.Choose(query(reads(), m.object), m.now); c.Upstream != nil {
		m.send(i, p, c)
	}
	m.after(m.delay(2*interval), func() { m.load(i, interval) })
}

func (m *restartModel) send(i int, p *Pool, c Choice) {
	m.after(m.delay(5), func() {
		restarted := m.now >= m.downUntil
		switch {
		case c.Upstream.ID == "n-1-0" && m.isDown():
			if m.refusedAt == 0 {
				m.refusedAt = m.now
			}
			news := m.fleets[i].NoteEnded(daisygap.Process{ID: c.Upstream.ID, StartTime: c.Upstream.StartTime}, m.now)
			p.Done(c, "r", Outcome{Result: Unreachable, Refused: true}, m.now)
			if news {
				m.push(i)
			}
			return
		case c.Upstream.ID == "n-1-0" && restarted:
			m.arrivals = append(m.arrivals, m.now)
		}
		took := daisygap.Millis(20)
		if c.Upstream.ID == "n-1-0" && restarted {
			took = m.serviceTime
		}
		m.after(took, func() {
			if c.Upstream.ID == "n-1-0" && m.now >= m.downFrom && !restarted {
				p.Done(c, "r", Outcome{Result: Failed}, m.now)
				return
			}
			p.Done(c, "r", Outcome{Result: Answered, ResponseTime: took}, m.now)
		})
	})
}

func (m *restartModel) runUntil(end daisygap.Millis) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// mostPerSecond returns the largest number of arrivals in one second of the cold time.
func (m *restartModel) mostPerSecond() int {
	most, first := 0, 0
	for i, at := range m.arrivals {
		for m.arrivals[first] <= at-1_000 {
			first++
		}
		if at < m.downUntil+restartColdPeriod {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestProcessThatKeepsItsIDIsColdBeforeItsEntryArrives guards against daemons that take the process at a known address for the former one
// until the store shows its start, and against daemons that then never use it again.
func TestProcessThatKeepsItsIDIsColdBeforeItsEntryArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restartModel{
			t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			downFrom: 2_000, serviceTime: daisygap.Millis(rapid.IntRange(10, 600).Draw(t, "service time")),
		}
		m.downUntil = m.downFrom + daisygap.Millis(rapid.IntRange(100, 8_000).Draw(t, "down"))
		entryAt := m.downUntil + daisygap.Millis(rapid.IntRange(0, 12_000).Draw(t, "entry delay"))
		m.object = ownedObject(m.entry(1, 0))
		var names []string
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			names = append(names, fmt.Sprintf("host-%d", i))
		}
		for i := range names {
			m.addFleet(i, names)
		}
		for i, f := range m.fleets {
			interval := daisygap.Millis(rapid.IntRange(4, 400).Draw(t, "interval"))
			start := daisygap.Millis(0)
			if rapid.Bool().Draw(t, "idle until the restart") {
				start = m.downUntil + daisygap.Millis(rapid.IntRange(0, 300).Draw(t, "start"))
			}
			m.after(start, func() { m.load(i, interval) })
			m.after(1, func() { m.gossip(i) })
			m.after(entryAt+daisygap.Millis(m.random.IntN(300)), func() {
				f.Replace(limits, m.entry(2, max(0, m.downUntil+restartColdPeriod-entryAt)), nil, m.now)
			})
		}
		m.runUntil(entryAt + restartColdPeriod + 9_000)
		if n := m.mostPerSecond(); m.refusedAt > 0 && m.refusedAt < m.downUntil-noticePeriod && float64(n) > maxColdPerSecond {
			t.Fatalf("%d requests in one second of the cold time, at most %.0f allowed", n, maxColdPerSecond)
		}
		if len(m.arrivals) == 0 || m.now-m.arrivals[len(m.arrivals)-1] > 3_000 {
			t.Fatalf("%d requests reached the new process, the last at %v of %v", len(m.arrivals), m.arrivals[max(0, len(m.arrivals)-1):], m.now)
		}
	})
}

// TestServerThatClosesIdleConnectionsKeepsItsRequests guards against a server that loses its requests again and again, or at other daemons,
// because it ends idle connections early although its process goes on.
func TestServerThatClosesIdleConnectionsKeepsItsRequests(t *testing.T) {
	for _, check := range []StatusCheck{{Reached: true, Instance: "n-1-0", KnowsCold: true}, {Reached: true}} {
		f := newFleet("a", "n-1")
		var checks []*Upstream
		f.Check = func(u *Upstream) { checks = append(checks, u) }
		f.Replace(limits, instances("n-1", 1, 6), nil, 0)
		verdict := func(now daisygap.Millis) Verdict {
			c := f.Pool("p").Choose(query(reads(), 1), now)
			if c.Upstream != nil {
				f.Pool("p").Done(c, "r", Outcome{Result: Canceled}, now)
			}
			return c.Verdict
		}
		if !f.NoteEarlyEnd("10.0.0.0:80", 1_000) {
			t.Error("the first early end leads to no check")
		}
		if v := verdict(1_010); v != Down || len(checks) != 1 {
			t.Fatalf("verdict %s, %d checks, want down and one check", v, len(checks))
		}
		if r := f.Checked(checks[0], check, 1_030); r.News || len(f.TakeRestartNews(1_030)) > 0 {
			t.Error("other daemons get news of a process that goes on")
		}
		if v := verdict(1_040); v != Owner {
			t.Errorf("verdict %s after the check %+v", v, check)
		}
		for now := daisygap.Millis(1_050); check.KnowsCold && now < 1_050+ignoreEndsPeriod-100; now += 500 {
			if f.NoteEarlyEnd("10.0.0.0:80", now) || verdict(now) != Owner {
				t.Fatalf("an early end counts %d ms after the check", now-1_030)
			}
		}
	}
}

// TestEachUpstreamHasOneGuard guards against upstreams whose end no daemon notices, and against connections of all daemons to each of them.
func TestEachUpstreamHasOneGuard(t *testing.T) {
	var names []string
	for i := range 7 {
		names = append(names, fmt.Sprint("host-", i))
	}
	guards := make(map[string]int)
	for _, name := range names {
		f := newFleet(name, "n-1")
		f.SetDaemons(names)
		f.Replace(map[string]daisygap.PoolLimits{"p": {}}, instances("n-1", 40, 6), nil, 0)
		for _, address := range f.GuardedAddresses() {
			guards[address]++
		}
	}
	if len(guards) != 40 {
		t.Errorf("%d upstreams are guarded, want 40", len(guards))
	}
	for address, n := range guards {
		if n != 1 {
			t.Errorf("%d daemons guard %s, want 1", n, address)
		}
	}
}
