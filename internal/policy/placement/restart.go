package placement

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// restartNewsPeriod is how long daemons forward the result of a status check, which covers the spread of gossip through a large fleet.
	restartNewsPeriod = daisygap.Millis(4_000)
	// maxRestartsPerMessage is the largest number of restart reports in one message.
	maxRestartsPerMessage = 64
	// maxRestartAge is the age up to which restart reports of other daemons count.
	maxRestartAge = daisygap.Millis(600_000)
	// checkTurn is the time after which one more daemon may check an upstream whose process has ended, in case the former ones can't.
	checkTurn = daisygap.Millis(2_000)
	// maxCheckAge is the time after which a status check without a result no longer prevents another one.
	maxCheckAge = daisygap.Millis(5_000)
	// brokenCheckInterval is the minimum time between status checks because connections broke.
	brokenCheckInterval = daisygap.Millis(1_000)
	// ignoreEndsPeriod is how long early ends of connections are no evidence after a status check found a process that isn't cold.
	ignoreEndsPeriod = daisygap.Millis(30_000)
)

// restart is what this daemon knows about the process at an upstream's address since the registered one may have ended. A process that
// starts again may keep its ID and its address, and its new entry in the store arrives later than its first requests would.
type restart struct {
	// endedAt is the time of the latest evidence that the process ended, or 0 if there is none or a status check reached a process since
	// then.
	endedAt daisygap.Millis
	// unreached is set if this daemon couldn't connect for another reason than that nothing listened there. doubtedAt is when the upstream
	// ended an idle connection early, or 0 if a status check reached it since. Both may be faults of this daemon or its network, so they
	// count here alone.
	unreached bool
	doubtedAt daisygap.Millis
	// checkedAt is when the latest known status check reached a process, and checkStarted when this daemon started its own pending one.
	checkedAt    daisygap.Millis
	checkStarted daisygap.Millis
	// ignoreEndsUntil is the time until which early ends of connections are no evidence, because the process has them without ending.
	ignoreEndsUntil daisygap.Millis
}

// isUnknown reports whether a status check must reach the upstream before its next request.
func (r *restart) isUnknown() bool {
	return r.endedAt > 0 || r.unreached || r.doubtedAt > 0
}

// StatusCheck is the result of a status check of an upstream.
type StatusCheck struct {
	// Reached reports whether a process accepted the connection, and Refused whether the connection was refused, which shows that no
	// process listens.
	Reached bool
	Refused bool
	// Instance is the ID of the process that responded, or "" if the response doesn't name it.
	Instance string
	// KnowsCold reports whether the response names the time for which the process is still cold, which is Cold.
	KnowsCold bool
	Cold      daisygap.Millis
}

// CheckResult is what a status check changed.
type CheckResult struct {
	// Failures is the number of connection failures in a row before the check reached the upstream, or 0.
	Failures int
	// News reports whether other daemons need to know of the result.
	News bool
}

// Checked records the result of a status check that Check started.
func (f *Fleet) Checked(u *Upstream, s StatusCheck, now daisygap.Millis) CheckResult {
	p := f.Pool(u.Pool)
	if p == nil {
		return CheckResult{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	started := u.restart.checkStarted
	u.restart.checkStarted = 0
	switch {
	case !s.Reached:
		p.recordUnreachable(u, s.Refused, now)
		return CheckResult{News: s.Refused && f.markEnded(u, now)}
	case s.Instance != "" && s.Instance != u.ID:
		u.downUntil = now + maxDownPeriod
		return CheckResult{}
	case u.restart.endedAt > started:
		// The process may have ended after it responded.
		return CheckResult{}
	}
	if !s.KnowsCold {
		s.Cold = 0
		if u.restart.endedAt > 0 || u.restart.unreached {
			s.Cold = p.limits.ColdPeriod
		}
	}
	r := CheckResult{Failures: u.connectFailures, News: u.restart.endedAt > 0 || s.Cold > 0 && !u.isCold(now)}
	u.setCold(s.Cold, now)
	u.connectFailures, u.downUntil = 0, 0
	u.restart = restart{checkedAt: now}
	if s.KnowsCold && s.Cold == 0 {
		u.restart.ignoreEndsUntil = now + ignoreEndsPeriod
	}
	if r.News {
		f.restarts.add(u.shortID(), now)
	}
	return r
}

// NoteEnded records evidence that an upstream's process ended, and reports whether other daemons need to know of it.
func (f *Fleet) NoteEnded(process daisygap.Process, now daisygap.Millis) bool {
	u, p := f.findByShortID(uint32(xxhash.Sum64String(process.ID)))
	if u == nil || u.ID != process.ID || u.StartTime > process.StartTime {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.markEnded(u, now)
}

// markEnded marks an upstream's process as ended; the caller holds the lock of the pool.
func (f *Fleet) markEnded(u *Upstream, at daisygap.Millis) bool {
	news := u.restart.endedAt == 0
	u.restart.endedAt = max(u.restart.endedAt, at)
	if news {
		f.restarts.add(u.shortID(), at)
	}
	return news
}

// NoteEarlyEnd records that an upstream ended an idle connection soon after a response without announcing it, which a process that ends does
// to all its connections. It reports whether that leads to a status check.
func (f *Fleet) NoteEarlyEnd(address string, now daisygap.Millis) bool {
	u, p := findUpstream(f, &f.byAddress, address)
	if u == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if u.leaving || u.Draining || now < u.restart.ignoreEndsUntil || u.restart.isUnknown() {
		return false
	}
	u.restart.doubtedAt = now
	return true
}

// GuardedAddresses returns the addresses of the upstreams for which this daemon comes first. It watches whether their processes end.
func (f *Fleet) GuardedAddresses() []string {
	var list []string
	for _, p := range f.Pools() {
		p.mu.Lock()
		for _, u := range p.upstreams {
			if f.coldRankOf(u) == 0 && !u.leaving {
				list = append(list, u.Address)
			}
		}
		p.mu.Unlock()
	}
	return list
}

// ProcessAt returns the process that is registered at an address.
func (f *Fleet) ProcessAt(address string) (daisygap.Process, bool) {
	u, _ := findUpstream(f, &f.byAddress, address)
	if u == nil {
		return daisygap.Process{}, false
	}
	return daisygap.Process{ID: u.ID, StartTime: u.StartTime}, true
}

// Recheck starts a status check of the upstream at an address, which may have ended and started again.
func (f *Fleet) Recheck(address string, now daisygap.Millis) {
	u, p := findUpstream(f, &f.byAddress, address)
	if u == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startCheck(u, now)
}

// findByShortID returns the upstream with an ID of gossip messages, and its pool, or nil.
func (f *Fleet) findByShortID(id uint32) (*Upstream, *Pool) {
	return findUpstream(f, &f.byShortID, id)
}

// findUpstream returns the upstream with a key of one of the fleet's indexes, and its pool, or nil.
func findUpstream[K comparable](f *Fleet, index *atomic.Pointer[map[K]*Upstream], key K) (*Upstream, *Pool) {
	known := index.Load()
	if known == nil || (*known)[key] == nil {
		return nil, nil
	}
	u := (*known)[key]
	if p := f.Pool(u.Pool); p != nil {
		return u, p
	}
	return nil, nil
}

// checkUnknown starts a status check of an upstream that gets no requests before one reaches it, if this daemon is to make it; the caller
// holds the lock of the pool. The daemons that may send to the upstream while it is cold check it first, since the process that answers
// may be cold.
func (p *Pool) checkUnknown(u *Upstream, now daisygap.Millis) {
	r := &u.restart
	if !r.isUnknown() || now < u.downUntil {
		return
	}
	if r.endedAt > 0 && !r.unreached && r.doubtedAt == 0 && p.coldRankOf != nil {
		senders := coldSenders(p.limits.ColdRate) + int((now-r.endedAt)/checkTurn)
		if p.coldRankOf(u) >= senders {
			return
		}
	}
	p.startCheck(u, now)
}

func (p *Pool) startCheck(u *Upstream, now daisygap.Millis) {
	r := &u.restart
	if p.check == nil || r.checkStarted > 0 && now-r.checkStarted < maxCheckAge {
		return
	}
	r.checkStarted = now
	p.check(u)
}

// CheckBroken starts a status check of an upstream whose connection broke under a request. Its process may have ended and another one
// started before this daemon could find its connections refused.
func (p *Pool) CheckBroken(u *Upstream, now daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-u.brokenCheckAt >= brokenCheckInterval || u.brokenCheckAt == 0 {
		u.brokenCheckAt = now
		p.startCheck(u, now)
	}
}

// HealthPath returns the path of the pool's status checks, or "" if it has none.
func (p *Pool) HealthPath() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.HealthPath
}

// recordUnreachable records that no connection to an upstream could be opened; the caller holds the lock.
func (p *Pool) recordUnreachable(u *Upstream, refused bool, now daisygap.Millis) {
	u.connectFailures++
	u.downUntil = now + min(minDownPeriod<<min(u.connectFailures-1, 4), maxDownPeriod)
	u.restart.unreached = u.restart.unreached || !refused
	p.unlimitedUntil = now + unlimitedPeriod
}

// restartNews holds the upstreams whose restarts this daemon learned of, by their IDs in gossip messages, and when.
type restartNews struct {
	mu sync.Mutex
	at map[uint32]daisygap.Millis
	// unsent holds those that weren't sent at once yet.
	unsent []uint32
}

func (n *restartNews) add(id uint32, now daisygap.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at == nil {
		n.at = make(map[uint32]daisygap.Millis)
	}
	n.at[id] = now
	n.unsent = append(n.unsent, id)
}

func (n *restartNews) list() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]uint32, 0, len(n.at))
	for id := range n.at {
		list = append(list, id)
	}
	return list
}

func (n *restartNews) takeUnsent() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.unsent
	n.unsent = nil
	return list
}

func (n *restartNews) forget(id uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.at, id)
}

// RecentRestarts returns the processes that ended and have no known successor, and the recent results of status checks.
func (f *Fleet) RecentRestarts(now daisygap.Millis) []daisygap.RestartReport {
	return f.restartReports(f.restarts.list(), now)
}

// TakeRestartNews returns the reports that are to be sent at once, and returns each of them only once.
func (f *Fleet) TakeRestartNews(now daisygap.Millis) []daisygap.RestartReport {
	return f.restartReports(f.restarts.takeUnsent(), now)
}

func (f *Fleet) restartReports(ids []uint32, now daisygap.Millis) []daisygap.RestartReport {
	var list []daisygap.RestartReport
	for _, id := range ids {
		if len(list) == maxRestartsPerMessage {
			break
		}
		r, ok := f.restartReport(id, now)
		if !ok {
			f.restarts.forget(id)
			continue
		}
		list = append(list, r)
	}
	return list
}

// restartReport returns what other daemons need to know about an upstream's restart, and whether there is anything.
func (f *Fleet) restartReport(id uint32, now daisygap.Millis) (daisygap.RestartReport, bool) {
	u, p := f.findByShortID(id)
	if u == nil {
		return daisygap.RestartReport{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := daisygap.RestartReport{Upstream: id, StartTime: u.StartTime}
	switch {
	case u.restart.endedAt > 0:
		r.Age = now - u.restart.endedAt
	case u.restart.checkedAt > 0 && now-u.restart.checkedAt < restartNewsPeriod:
		r.Checked, r.Age, r.Cold = true, now-u.restart.checkedAt, max(0, u.coldUntil-now)
	default:
		return r, false
	}
	return r, true
}

// MergeRestarts merges restart reports of other daemons, and reports whether any of them was new.
func (f *Fleet) MergeRestarts(list []daisygap.RestartReport, now daisygap.Millis) bool {
	news := false
	for _, r := range list {
		u, p := f.findByShortID(r.Upstream)
		if u == nil || r.StartTime < u.StartTime || r.Age < 0 || r.Age > maxRestartAge || r.Cold < 0 {
			continue
		}
		p.mu.Lock()
		if r.Checked {
			news = f.mergeCheck(p, u, r, now) || news
		} else if at := now - r.Age - reportDelay; at > u.restart.checkedAt {
			news = f.markEnded(u, max(at, 1)) || news
		}
		p.mu.Unlock()
	}
	return news
}

// mergeCheck merges another daemon's status check; the caller holds the lock of the pool.
func (f *Fleet) mergeCheck(p *Pool, u *Upstream, r daisygap.RestartReport, now daisygap.Millis) bool {
	at := now - r.Age
	wasCold := u.isCold(now)
	if at+reportDelay < max(u.restart.endedAt, u.restart.doubtedAt) || !u.restart.isUnknown() && (r.Cold == 0 || wasCold) {
		return false
	}
	u.setCold(min(r.Cold, p.limits.ColdPeriod), now)
	if !u.restart.unreached {
		u.connectFailures, u.downUntil = 0, 0
	}
	u.restart.endedAt, u.restart.doubtedAt, u.restart.checkedAt = 0, 0, max(u.restart.checkedAt, at)
	if r.Cold == 0 {
		u.restart.ignoreEndsUntil = now + ignoreEndsPeriod
	}
	f.restarts.add(u.shortID(), now)
	return true
}
