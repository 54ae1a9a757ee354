package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

// TestLateResponseChangesNoRate merges responses in the order in which they arrive, which isn't the order in which they were sent.
func TestLateResponseChangesNoRate(t *testing.T) {
	var l rateLimit
	steps := []struct {
		response rateLimit
		named    bool
		rate     float64
	}{
		{rateLimit{sentAt: 10, receivedAt: 20}, false, 0},
		{rateLimit{named: true, rate: 5, sentAt: 30, receivedAt: 60}, true, 5},
		// These were sent before the response that names the rate arrived, so they may be older.
		{rateLimit{sentAt: 25, receivedAt: 70}, true, 5},
		{rateLimit{sentAt: 59, receivedAt: 80}, true, 5},
		{rateLimit{named: true, rate: 9, sentAt: 20, receivedAt: 90}, true, 5},
		{rateLimit{named: true, rate: 7, sentAt: 61, receivedAt: 95}, true, 7},
		{rateLimit{sentAt: 95, receivedAt: 120}, false, 0},
		{rateLimit{named: true, rate: 7, sentAt: 90, receivedAt: 130}, false, 0},
		{rateLimit{named: true, rate: 0, sentAt: 140, receivedAt: 150}, true, 0},
	}
	for i, step := range steps {
		l.merge(step.response)
		if l.named != step.named || l.named && l.rate != step.rate {
			t.Errorf("step %d: limited %t to %g, want %t, %g", i, l.named, l.rate, step.named, step.rate)
		}
	}
}

// rateHost is a daemon of the test deployment.
type rateHost struct {
	fleet *Fleet
	up    bool
	// excusedUntil is the time until which the daemon's requests don't count, because it was restarted, frozen or cut off.
	excusedUntil daisygap.Millis
	frozenUntil  daisygap.Millis
	cutUntil     daisygap.Millis
	informedAt   daisygap.Millis
}

const (
	// rateWindow is the window in which requests are counted, and rateNotice the time that daemons have until they must keep a rate.
	rateWindow = daisygap.Millis(4_000)
	rateNotice = daisygap.Millis(4_000)
	// informedDelay is the time after which the requests of a daemon count that passed on a response with the rate.
	informedDelay = daisygap.Millis(500)
)

// rateModel plays daemons that send requests to one upstream.
type rateModel struct {
	hosts   []*rateHost
	rate    float64
	limited bool
	named   daisygap.Millis
	// all holds the times of all requests, and sent of those that count for the bound.
	all  []daisygap.Millis
	sent []daisygap.Millis
}

func newRateModel(hosts int) *rateModel {
	m := &rateModel{}
	for i := range hosts {
		m.hosts = append(m.hosts, &rateHost{})
		m.restart(i, 1)
	}
	return m
}

// restart starts a daemon without any report of the rate.
func (m *rateModel) restart(i int, now daisygap.Millis) {
	h := m.hosts[i]
	f := &Fleet{Name: fmt.Sprint("host-", i), Region: "r", Domain: "d", Regions: map[string]string{"d": "r"}}
	f.Replace(map[string]daisygap.PoolLimits{"p": {}}, []daisygap.Instance{{ID: "u", Pool: "p", Address: "a", Domain: "d", Slots: 10_000}}, nil, now)
	*h = rateHost{fleet: f, up: true, excusedUntil: h.excusedUntil}
}

// updateViews tells each daemon that isn't cut off which daemons are alive.
func (m *rateModel) updateViews(now daisygap.Millis) {
	var list []daisygap.Peer
	for _, h := range m.hosts {
		if h.up && now >= h.cutUntil && now >= h.frozenUntil {
			list = append(list, daisygap.Peer{Name: h.fleet.Name, Region: "r"})
		}
	}
	for _, h := range m.hosts {
		if h.up && now >= h.frozenUntil && now >= h.cutUntil {
			h.fleet.SetArbiters(list, 1)
		}
	}
}

// send has a daemon send a request if it may.
func (m *rateModel) send(h *rateHost, now daisygap.Millis) {
	if !h.up || now < h.frozenUntil {
		return
	}
	p := h.fleet.Pool("p")
	c := p.Choose(Query{Route: &daisygap.Route{Name: "r", TargetLatency: 1_000, MaxAttempts: 2}, Remaining: 5_000}, now)
	if c.Upstream == nil {
		return
	}
	if c.NeedsPermit && !m.permit(h, c, now) {
		return
	}
	p.Done(c, "r", Outcome{ResponseTime: 5, KnowsRate: true, NamesRate: m.limited, Rate: m.rate, SentAt: now - 5}, now)
	m.all = append(m.all, now)
	if h.informedAt == 0 && m.limited {
		h.informedAt = now
	}
	if m.limited && h.informedAt > 0 && now >= h.informedAt+informedDelay && now >= h.excusedUntil && now >= m.named+rateNotice {
		m.sent = append(m.sent, now)
	}
}

// permit asks the arbiter for a permit.
func (m *rateModel) permit(h *rateHost, c Choice, now daisygap.Millis) bool {
	reply, ok := m.ask(h, c.Upstream, true, now)
	if !reply.Granted {
		h.fleet.Pool("p").RefusePermit(c, max(reply.Wait, 100), now)
	}
	return ok && reply.Granted
}

func (m *rateModel) ask(h *rateHost, u *Upstream, waiting bool, now daisygap.Millis) (daisygap.PermitReply, bool) {
	p := h.fleet.Pool("p")
	r := p.PermitRequest(u, waiting, 0, now)
	r.From = h.fleet.Name
	arbiter, known := h.fleet.Arbiter(u)
	for _, o := range m.hosts {
		if !known || o.fleet.Name != arbiter.Name || !o.up || now < o.frozenUntil || o != h && (now < o.cutUntil || now < h.cutUntil) {
			continue
		}
		reply, _ := o.fleet.ServePermit(r, now)
		p.SetAllowance(u, reply, now, now)
		if reply.Report != nil {
			h.fleet.MergeRates([]daisygap.RateReport{*reply.Report}, now)
		}
		return reply, true
	}
	return daisygap.PermitReply{}, false
}

// renew renews what the daemons were lent.
func (m *rateModel) renew(now daisygap.Millis) {
	for _, h := range m.hosts {
		if h.up && now >= h.frozenUntil {
			for _, u := range h.fleet.Pool("p").Renewals(now) {
				m.ask(h, u, false, now)
			}
		}
	}
}

// gossip has two daemons exchange what they know.
func (m *rateModel) gossip(a, b *rateHost, now daisygap.Millis) {
	if a.up && b.up && now >= max(a.cutUntil, b.cutUntil, a.frozenUntil, b.frozenUntil) {
		b.fleet.MergeRates(a.fleet.RecentRates(now), now)
	}
}

// busiest returns the largest number of requests in a window.
func (m *rateModel) busiest() int {
	most, from := 0, 0
	for i, at := range m.sent {
		for at-m.sent[from] >= rateWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestRateOfAllDaemonsIsBounded plays daemons that restart, freeze, are cut off and learn of it late, at an upstream with a limited rate, and
// counts the requests of those that know the rate.
func TestRateOfAllDaemonsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRateModel(rapid.SampledFrom([]int{1, 3, 12, 40}).Draw(t, "hosts"))
		m.rate = rapid.SampledFrom([]float64{0, 0.5, 3, 20}).Draw(t, "rate")
		load := rapid.SampledFrom([]float64{0.3, 2, 10}).Draw(t, "load") * max(m.rate, 1)
		random := rapid.Uint64().Draw(t, "seed")
		next := func(n int) int {
			random = mixBits(random + 0x9e3779b97f4a7c15)
			return int(random>>1) % n
		}
		m.updateViews(1)
		const step = daisygap.Millis(20)
		for now := daisygap.Millis(1); now < 20_000; now += step {
			if now > 1_000 && !m.limited {
				m.limited, m.named = true, now
			}
			if next(1_000) < 5 {
				h := m.hosts[next(len(m.hosts))]
				until := now + daisygap.Millis(next(3_000))
				switch next(3) {
				case 0:
					h.up = false
				case 1:
					h.frozenUntil = until
				case 2:
					h.cutUntil = until
				}
				h.excusedUntil = until + rateNotice
			}
			for i, h := range m.hosts {
				if !h.up && next(50) == 0 {
					m.restart(i, now)
					h.excusedUntil = now + rateNotice
				}
			}
			if now%1_000 < step {
				m.updateViews(now)
			}
			if now%400 < step {
				m.renew(now)
				for _, h := range m.hosts {
					m.gossip(h, m.hosts[next(len(m.hosts))], now)
				}
			}
			for expected := load * float64(step) / 1_000; expected > 0; expected-- {
				if float64(next(1_000)) < 1_000*expected {
					m.send(m.hosts[next(len(m.hosts))], now)
				}
			}
		}
		if n, bound := m.busiest(), 1.5*m.rate*rateWindow.Duration().Seconds()+5; float64(n) > bound {
			t.Fatalf("%d requests within %d ms, want at most %.0f", n, rateWindow, bound)
		}
	})
}

// TestNamedRateIsUsed has steady demand of one and a half times an upstream's rate, spread over all daemons.
func TestNamedRateIsUsed(t *testing.T) {
	for _, hosts := range []int{12, 88, 295} {
		for _, rate := range []float64{0.5, 3, 20} {
			t.Run(fmt.Sprintf("%d hosts, %g per second", hosts, rate), func(t *testing.T) {
				t.Parallel()
				m := newRateModel(hosts)
				m.rate, m.limited = rate, true
				m.updateViews(1)
				random := uint64(hosts)
				next := func(n int) int {
					random = mixBits(random + 0x9e3779b97f4a7c15)
					return int(random>>1) % n
				}
				const step, end = daisygap.Millis(5), daisygap.Millis(300_000)
				for now := daisygap.Millis(1); now < end; now += step {
					if now%400 < step {
						m.renew(now)
						for _, h := range m.hosts {
							m.gossip(h, m.hosts[next(len(m.hosts))], now)
						}
					}
					if float64(next(1_000_000)) < 1.5*rate*float64(step)*1_000 {
						m.send(m.hosts[next(len(m.hosts))], now)
					}
				}
				used := 0
				const from = daisygap.Millis(15_000)
				for _, at := range m.all {
					if at >= from {
						used++
					}
				}
				if ratio := float64(used) / (rate * (end - from).Duration().Seconds()); ratio < 0.9 || ratio > 1.1 {
					t.Errorf("%.2f of the rate was used, want 0.9 to 1.1", ratio)
				}
			})
		}
	}
}

func BenchmarkPermitOfAllowance(b *testing.B) {
	u := &Upstream{limit: rateLimit{named: true, rate: 1e9, receivedAt: 1}, allowance: allowance{rate: 1e9, until: 1 << 60}}
	b.ReportAllocs()
	for n := range b.N {
		if u.availability(daisygap.Millis(n)) == available {
			u.usePermit(daisygap.Millis(n))
		}
	}
}
