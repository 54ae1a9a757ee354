package placement

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// rateNewsPeriod is how long daemons forward a change of an upstream's rate, which covers the spread of gossip through a large fleet.
	rateNewsPeriod = daisygap.Millis(10_000)
	// maxRatesPerMessage is the largest number of reports of rates in one gossip message.
	maxRatesPerMessage = 48
	// unknownProcessWait is how long a daemon waits for a permit if the arbiter doesn't know the upstream's process yet.
	unknownProcessWait = daisygap.Millis(300)
)

// arbiters holds the daemons that may grant permits.
type arbiters struct {
	list []daisygap.Peer
	// aliveRatio is the fraction of the known daemons that are alive. Each side of a network partition uses that part of every rate.
	aliveRatio float64
}

// arbiterChoice is the daemon that grants the permits of an upstream, for a list of daemons.
type arbiterChoice struct {
	from *arbiters
	peer daisygap.Peer
}

// SetArbiters sets the daemons that may grant permits, and the fraction of the known daemons that are alive.
func (f *Fleet) SetArbiters(list []daisygap.Peer, aliveRatio float64) {
	if old := f.arbiters.Load(); old != nil && old.aliveRatio == aliveRatio && slices.Equal(old.list, list) {
		return
	}
	f.arbiters.Store(&arbiters{list: list, aliveRatio: aliveRatio})
}

// Arbiter returns the daemon that grants the permits of an upstream, and whether there is one. All daemons choose the same one by
// rendezvous hashing, in the upstream's region if a daemon lives there.
func (f *Fleet) Arbiter(u *Upstream) (daisygap.Peer, bool) {
	a := f.arbiters.Load()
	if a == nil || len(a.list) == 0 {
		return daisygap.Peer{}, false
	}
	if c := u.arbiter.Load(); c != nil && c.from == a {
		return c.peer, true
	}
	best, highest := -1, uint64(0)
	for i, p := range a.list {
		near, nearest := p.Region == u.Region, best >= 0 && a.list[best].Region == u.Region
		hash := xxhash.Sum64String(p.Name + "\x00" + u.ID)
		if best < 0 || near && !nearest || near == nearest && hash > highest {
			best, highest = i, hash
		}
	}
	u.arbiter.Store(&arbiterChoice{from: a, peer: a.list[best]})
	return a.list[best], true
}

// PermitRequest returns the request to an upstream's arbiter.
func (p *Pool) PermitRequest(u *Upstream, waiting bool, priority int, now daisygap.Millis) daisygap.PermitRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := daisygap.PermitRequest{Report: u.report(now), Waiting: waiting, Priority: priority, Demand: u.demand}
	u.demand = 0
	return r
}

// Renewals returns the upstreams for which this daemon should ask for a new rate, because it uses one.
func (p *Pool) Renewals(now daisygap.Millis) []*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Upstream
	for _, u := range p.upstreams {
		if u.limit.named && now < u.allowance.until && u.demand > 0 {
			list = append(list, u)
		}
	}
	return list
}

// ServePermit grants a permit, or refuses it if the upstream's rate is used up or another daemon grants its permits.
func (f *Fleet) ServePermit(r daisygap.PermitRequest, now daisygap.Millis) (daisygap.PermitReply, *RateChange) {
	refused := daisygap.PermitReply{Wait: unknownProcessWait}
	u, p := f.findProcess(r.Report)
	if u == nil {
		return refused, nil
	}
	arbiter, _ := f.Arbiter(u)
	f.mu.Lock()
	startedAt := f.startedAt
	f.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	change := p.mergeRate(u, limitOf(r.Report, now), now)
	report := u.report(now)
	refused.Report = &report
	switch {
	case !u.limit.named:
		return daisygap.PermitReply{Granted: true, Report: &report}, change
	case arbiter.Name != f.Name:
		return refused, change
	}
	current := f.arbiters.Load()
	warmUp := u.permits.from != current && (now-startedAt < arbiterWarmUp || now-u.limit.beganAt > arbiterWarmUp)
	granted, lent, wait := u.permits.grant(r, u.limit.rate*current.aliveRatio, warmUp, now)
	u.permits.from = current
	return daisygap.PermitReply{Granted: granted, Lent: lent, Wait: wait, Report: &report}, change
}

// findProcess returns the upstream of a report and its pool. It returns nil if the upstream's process is another one.
func (f *Fleet) findProcess(r daisygap.RateReport) (*Upstream, *Pool) {
	known := f.byShortID.Load()
	if known == nil {
		return nil, nil
	}
	u := (*known)[r.Upstream]
	if u == nil || u.StartTime != r.StartTime || r.SentAge < 0 || r.Age < 0 {
		return nil, nil
	}
	p := f.Pool(u.Pool)
	if p == nil {
		return nil, nil
	}
	return u, p
}

// MergeRates applies the reports of another daemon and returns the changes.
func (f *Fleet) MergeRates(list []daisygap.RateReport, now daisygap.Millis) []RateChange {
	var changes []RateChange
	for _, r := range list {
		u, p := f.findProcess(r)
		if u == nil {
			continue
		}
		p.mu.Lock()
		if c := p.mergeRate(u, limitOf(r, now), now); c != nil {
			changes = append(changes, *c)
		}
		p.mu.Unlock()
	}
	return changes
}

// RecentRates returns reports of the rates that changed lately, to be sent to other daemons.
func (f *Fleet) RecentRates(now daisygap.Millis) []daisygap.RateReport {
	known := f.byShortID.Load()
	if known == nil {
		return nil
	}
	var list []daisygap.RateReport
	for _, id := range f.rateNews.draw(now) {
		u := (*known)[id]
		if u == nil {
			continue
		}
		if p := f.Pool(u.Pool); p != nil {
			p.mu.Lock()
			list = append(list, u.report(now))
			p.mu.Unlock()
		}
	}
	return list
}

// Limits returns the number of upstreams with a limited rate, and the sum of the rates that were lent to this daemon.
func (f *Fleet) Limits(now daisygap.Millis) (upstreams int, lent float64) {
	for _, p := range f.Pools() {
		p.mu.Lock()
		for _, u := range p.upstreams {
			if u.limit.named {
				upstreams++
			}
			if now < u.allowance.until {
				lent += u.allowance.rate
			}
		}
		p.mu.Unlock()
	}
	return upstreams, lent
}

// rateNews holds the upstreams whose rates changed lately, by their IDs in gossip messages, and when this daemon learned of it.
type rateNews struct {
	mu sync.Mutex
	at map[uint32]daisygap.Millis
}

func (n *rateNews) add(id uint32, now daisygap.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at == nil {
		n.at = make(map[uint32]daisygap.Millis)
	}
	n.at[id] = now
}

// draw returns up to maxRatesPerMessage of the upstreams, at random, and drops old ones.
func (n *rateNews) draw(now daisygap.Millis) []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []uint32
	for id, at := range n.at {
		switch {
		case now-at > rateNewsPeriod:
			delete(n.at, id)
		case len(list) < maxRatesPerMessage:
			list = append(list, id)
		}
	}
	return list
}
