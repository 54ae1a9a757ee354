package poison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

const (
	modelCulprit  = uint64(1)
	modelPopular  = uint64(100)
	modelInnocent = 3
	// modelLatency is the longest time of a message, modelRound the time between two gossip exchanges of a daemon, and modelAnswer
	// the time in which an innocent request is answered.
	modelLatency = 35
	modelRound   = daisygap.Millis(400)
	modelAnswer  = daisygap.Millis(30)
	// modelLapse is the time from the end of a process to the end of its entry in the store.
	modelLapse = daisygap.Millis(4_500)
	// modelSecondDial is the time between the two dials of a probe.
	modelSecondDial = daisygap.Millis(100)
)

// model simulates daemons that send a request which crashes each server that runs it, beside requests that don't.
type model struct {
	t       *rapid.T
	random  *rand.Rand
	now     daisygap.Millis
	queue   eventQueue
	daemons []*modelDaemon
	servers []*modelServer
	// attempts is the largest number of servers for one request, and refuses is false if servers are back before a dial is refused.
	attempts int
	refuses  bool
	downtime daisygap.Millis
	keepIDs  bool

	crashes int
	blocked int
	served  int
}

type modelDaemon struct {
	tracker Tracker
	// offset is the difference between the daemon's clock and the model's.
	offset     daisygap.Millis
	cut        bool
	generation int
	inFlight   []*modelRun
}

type modelServer struct {
	process daisygap.Process
	life    int
	downAt  daisygap.Millis
	down    bool
}

// modelRun is an innocent request that a server runs.
type modelRun struct {
	fingerprint uint64
	sent        daisygap.Millis
	server      *modelServer
	process     daisygap.Process
	over        bool
}

type event struct {
	at daisygap.Millis
	f  func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (m *model) after(d daisygap.Millis, f func()) {
	heap.Push(&m.queue, event{m.now + d, f})
}

func (m *model) runUntil(end daisygap.Millis) {
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.f()
	}
	m.now = end
}

func (m *model) draw(low, high int) int {
	return low + m.random.IntN(high-low+1)
}

func (d *modelDaemon) clock(m *model) daisygap.Millis { return m.now + d.offset }

func newModel(t *rapid.T, daemons int) *model {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: 1_000, attempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		downtime: 2_500, refuses: true, keepIDs: rapid.Bool().Draw(t, "old ids"),
	}
	for range daemons {
		m.daemons = append(m.daemons, new(modelDaemon))
		m.restart(len(m.daemons) - 1)
	}
	for i := range 20 {
		m.servers = append(m.servers, &modelServer{process: daisygap.Process{ID: fmt.Sprint("s", i), StartTime: 1}})
	}
	for i := range m.daemons {
		m.after(daisygap.Millis(10*i), func() { m.gossip(i) })
	}
	return m
}

// restart replaces a daemon by one without any reports, which asks another one for all reports before it serves.
func (m *model) restart(i int) {
	d := m.daemons[i]
	d.generation++
	d.offset = daisygap.Millis(m.draw(0, 1_000_000)) - m.now
	d.tracker = Tracker{Host: fmt.Sprintf("host-%d.%d", i, d.generation)}
	d.inFlight = nil
	if len(m.daemons) > 1 {
		m.deliver(m.daemons[(i+1)%len(m.daemons)], d, true)
	}
}

// deliver merges one daemon's reports into another's.
func (m *model) deliver(from, to *modelDaemon, all bool) {
	if from.cut || to.cut {
		return
	}
	crashes, answers := from.tracker.Reports(all, from.clock(m))
	to.tracker.Merge(crashes, answers, to.clock(m))
	to.tracker.TakeChanges()
}

func (m *model) gossip(i int) {
	if len(m.daemons) > 1 {
		other := m.draw(0, len(m.daemons)-2)
		if other >= i {
			other++
		}
		m.deliver(m.daemons[i], m.daemons[other], false)
		m.deliver(m.daemons[other], m.daemons[i], false)
	}
	m.after(modelRound, func() { m.gossip(i) })
}

// push sends a daemon's new reports to all others.
func (m *model) push(d *modelDaemon) {
	d.tracker.TakeChanges()
	news := d.tracker.TakeNews(false, d.clock(m))
	for _, to := range m.daemons {
		if to != d && !d.cut && len(news) > 0 {
			m.after(daisygap.Millis(m.draw(1, modelLatency)), func() {
				if !to.cut {
					to.tracker.Merge(news, nil, to.clock(m))
				}
			})
		}
	}
}

// crash ends a server's process. The connections of all requests that run there break.
func (m *model) crash(s *modelServer) {
	s.down, s.downAt = true, m.now
	old := s.process
	for _, d := range m.daemons {
		for _, r := range d.inFlight {
			if r.process == old && !r.over {
				r.over = true
				d.tracker.Break(daisygap.CrashReport{
					Fingerprint: r.fingerprint, Process: old, Sent: r.sent + d.offset, Broken: d.clock(m),
				}, d.clock(m))
				m.probe(d, s, old)
			}
		}
	}
	back := m.downtime
	if !m.refuses {
		back = 1
	}
	m.after(back, func() {
		s.down = false
		s.life++
		s.process.StartTime++
		if !m.keepIDs {
			s.process.ID = fmt.Sprintf("%s.%d", s.process.ID, s.life)
		}
		// The new process registers at once.
		m.after(20, func() { m.end(old, Replaced) })
	})
	m.after(modelLapse, func() { m.end(old, Removed) })
}

// end records at all daemons that the store shows the end of a process.
func (m *model) end(p daisygap.Process, e Evidence) {
	for _, d := range m.daemons {
		d.tracker.End(p, e, d.clock(m))
		m.push(d)
	}
}

// probe opens a connection to a process whose connection broke.
func (m *model) probe(d *modelDaemon, s *modelServer, p daisygap.Process) {
	m.after(2, func() {
		if s.down && m.refuses {
			d.tracker.End(p, Refused, d.clock(m))
			m.push(d)
			return
		}
		m.after(modelSecondDial, func() {
			if !s.down {
				d.tracker.Survive(p, d.clock(m))
			}
		})
	})
}

func (m *model) upServers() int {
	n := 0
	for _, s := range m.servers {
		if !s.down {
			n++
		}
	}
	return n
}

// choose returns a server that is up, or nil if there is none.
func (m *model) choose() *modelServer {
	n := m.upServers()
	if n == 0 {
		return nil
	}
	at := m.draw(0, n-1)
	for _, s := range m.servers {
		if s.down {
			continue
		}
		if at == 0 {
			return s
		}
		at--
	}
	return nil
}

// sendCulprit sends the crashing request as a daemon does.
func (m *model) sendCulprit(d *modelDaemon) {
	switch d.tracker.Admit(modelCulprit, d.clock(m)) {
	case Blocked:
		m.blocked++
	case Alone:
		m.attemptCulprit(d, 1, true)
	case Free:
		m.attemptCulprit(d, m.attempts, false)
	}
}

func (m *model) attemptCulprit(d *modelDaemon, left int, alone bool) {
	s := m.choose()
	if s == nil {
		return
	}
	m.crashes++
	p, sent := s.process, d.clock(m)
	m.crash(s)
	m.after(1, func() {
		now := d.clock(m)
		d.tracker.Break(daisygap.CrashReport{Fingerprint: modelCulprit, Process: p, Sent: sent, Broken: now, Alone: alone}, now)
		m.push(d)
		m.probe(d, s, p)
		wait := daisygap.Millis(0)
		if d.tracker.Breaks(modelCulprit, now) >= 2 {
			wait = 3
		}
		m.after(wait, func() {
			if alone {
				d.tracker.Release(modelCulprit)
			} else if left > 1 && !d.tracker.Blocked(modelCulprit, d.clock(m)) {
				m.attemptCulprit(d, left-1, false)
			}
		})
	})
}

// sendInnocent sends a request that is answered unless its server crashes meanwhile, or its connection is reset.
func (m *model) sendInnocent(d *modelDaemon, fingerprint uint64, reset bool) {
	if d.tracker.Admit(fingerprint, d.clock(m)) == Blocked {
		m.t.Fatalf("request %d is blocked at %d ms", fingerprint, m.now)
	}
	s := m.choose()
	if s == nil {
		return
	}
	r := &modelRun{fingerprint: fingerprint, sent: m.now, server: s, process: s.process}
	d.inFlight = append(d.inFlight, r)
	m.after(modelAnswer, func() {
		if r.over {
			return
		}
		r.over = true
		now := d.clock(m)
		if reset {
			d.tracker.Break(daisygap.CrashReport{Fingerprint: fingerprint, Process: r.process, Sent: r.sent + d.offset, Broken: now}, now)
			m.probe(d, r.server, r.process)
			return
		}
		m.served++
		d.tracker.Answer(fingerprint, r.sent+d.offset, now)
		d.tracker.TakeChanges()
	})
	if len(d.inFlight) > 100 {
		d.inFlight = d.inFlight[50:]
	}
}

// traffic sends innocent requests for some popular objects at random daemons.
func (m *model) traffic(interval daisygap.Millis, end daisygap.Millis, resets int) {
	if m.now >= end {
		return
	}
	d := m.daemons[m.draw(0, len(m.daemons)-1)]
	m.sendInnocent(d, modelPopular+uint64(m.draw(0, modelInnocent-1)), m.draw(0, 99) < resets)
	m.after(interval, func() { m.traffic(interval, end, resets) })
}
