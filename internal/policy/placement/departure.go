package placement

import (
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// maxNotices is the number of upstreams whose notices are remembered after their entries ended.
	maxNotices = 4_096
	// maxResumeSpread bounds the random time that is added to a pause, and resumeSpreadRatio is its largest fraction of the pause, so that
	// the daemons that an upstream asked for a pause don't all return at once.
	maxResumeSpread   = daisygap.Millis(1_000)
	resumeSpreadRatio = 0.25
)

// notices remembers what upstream processes announced in their responses, because their entries in the store may end and be written
// again.
type notices struct {
	mu sync.Mutex
	// byID holds the notice of the latest process of each upstream, and order their IDs, the oldest first.
	byID  map[string]processNotice
	order []string
}

// processNotice is what one process announced, which is identified by its start time.
type processNotice struct {
	startTime   int64
	leaving     bool
	pausedUntil daisygap.Millis
	limit       rateLimit
}

// record keeps the notices of an upstream's process.
func (n *notices) record(u *Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byID == nil {
		n.byID = make(map[string]processNotice)
	}
	if _, known := n.byID[u.ID]; !known {
		n.order = append(n.order, u.ID)
	}
	n.byID[u.ID] = processNotice{startTime: u.StartTime, leaving: u.leaving, pausedUntil: u.pausedUntil, limit: u.limit}
	if len(n.order) > maxNotices {
		delete(n.byID, n.order[0])
		n.order = n.order[1:]
	}
}

// restore applies what an upstream's process announced before its entry was written again.
func (n *notices) restore(u *Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if notice, known := n.byID[u.ID]; known && notice.startTime == u.StartTime {
		u.leaving, u.pausedUntil, u.limit = notice.leaving, notice.pausedUntil, notice.limit
	}
}

// availability says whether an upstream accepts new requests of this daemon.
type availability int

const (
	available availability = iota
	// leaving means that the upstream's process is about to stop.
	leaving
	// paused means that the upstream asked this daemon for a pause.
	paused
	// limited means that this daemon gets no permit, because all daemons together send as much as the upstream takes.
	limited
)

// availability is what every choice asks before it sends a request to an upstream.
func (u *Upstream) availability(now daisygap.Millis) availability {
	switch {
	case u.leaving:
		return leaving
	case now < u.pausedUntil:
		return paused
	case u.limit.named && !u.hasPermit(now) && now < u.noPermitUntil:
		return limited
	}
	return available
}

// Notice is what the response of an upstream changed in its availability.
type Notice struct {
	// LeavingBegan and PauseBegan report whether the upstream became unavailable, and PausedFor the length of the pause in ms.
	LeavingBegan bool
	PauseBegan   bool
	PausedFor    daisygap.Millis
	// Rate is the change of the rate that the upstream takes, or nil.
	Rate *RateChange
}

// recordAvailability applies an upstream's notices; the caller holds the lock of the pool.
func (p *Pool) recordAvailability(u *Upstream, o Outcome, now daisygap.Millis) Notice {
	var n Notice
	if o.Leaving && !u.leaving {
		u.leaving, n.LeavingBegan = true, true
		// Other upstreams take over at once, so requests may leave their region as after any change of the pool.
		p.unlimitedUntil = now + unlimitedPeriod
	}
	if o.Pause > 0 {
		n.PauseBegan = now >= u.pausedUntil
		n.PausedFor = o.Pause + resumeSpread(u.hash^p.seed, o.Pause)
		u.pausedUntil = max(u.pausedUntil, now+n.PausedFor)
	}
	if o.KnowsRate {
		n.Rate = p.mergeRate(u, rateLimit{named: o.NamesRate, rate: o.Rate, sentAt: o.SentAt, receivedAt: now}, now)
	}
	if (n.LeavingBegan || o.Pause > 0) && p.notices != nil {
		p.notices.record(u)
	}
	return n
}

// resumeSpread returns the time that is added to a pause, which differs between seeds.
func resumeSpread(seed uint64, pause daisygap.Millis) daisygap.Millis {
	longest := min(float64(maxResumeSpread), resumeSpreadRatio*float64(pause))
	return daisygap.Millis(longest * toUnitInterval(mixBits(seed)))
}

// EndedPauses returns the upstreams whose pauses have ended since the last call.
func (p *Pool) EndedPauses(now daisygap.Millis) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, u := range p.upstreams {
		if u.pausedUntil > 0 && now >= u.pausedUntil {
			u.pausedUntil = 0
			list = append(list, u.ID)
		}
	}
	return list
}
