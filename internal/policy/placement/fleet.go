package placement

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// minColdRatePerDaemon is the minimum number of requests per second that one daemon may send to a cold upstream. If the rate
// is too low to give each daemon this much, fewer daemons send to the upstream.
const minColdRatePerDaemon = 2

// Fleet holds all pools of the steering configuration. It is safe for concurrent use.
type Fleet struct {
	// Name, Region and Domain are this daemon's own.
	Name   string
	Region string
	Domain string
	// Regions maps each domain to its region.
	Regions map[string]string
	// Check starts a status check of an upstream, whose result is to be passed to Checked. It is called under a lock and must not block.
	Check func(*Upstream)

	mu        sync.Mutex
	hint      daisygap.PlacementHint
	upstreams map[string]*Upstream
	pools     atomic.Pointer[map[string]*Pool]
	daemons   atomic.Pointer[[]string]
	// byShortID finds upstreams by the ID that gossip messages use.
	byShortID atomic.Pointer[map[uint32]*Upstream]
	// byAddress finds upstreams by their addresses.
	byAddress    atomic.Pointer[map[string]*Upstream]
	observations loadRing
	shifts       shiftLimiter
	notices      notices
	arbiters     atomic.Pointer[arbiters]
	// startedAt is when the fleet got its first upstreams.
	startedAt daisygap.Millis
	rateNews  rateNews
	restarts  restartNews
}

// Pool returns the pool with the given name, or nil.
func (f *Fleet) Pool(name string) *Pool {
	pools := f.pools.Load()
	if pools == nil {
		return nil
	}
	return (*pools)[name]
}

// Pools returns all pools by name.
func (f *Fleet) Pools() map[string]*Pool {
	pools := f.pools.Load()
	if pools == nil {
		return nil
	}
	return *pools
}

// SetDaemons sets the names of all daemons that may send to cold upstreams, including this one, in any order that doesn't change.
func (f *Fleet) SetDaemons(names []string) {
	if old := f.daemons.Load(); old != nil && slices.Equal(*old, names) {
		return
	}
	f.daemons.Store(&names)
}

// daemonCount returns the number of live daemons, including this one.
func (f *Fleet) daemonCount() int {
	names := f.daemons.Load()
	if names == nil {
		return 1
	}
	return len(*names)
}

// Replace sets the pools and their instances. Instances that are draining or in an evacuated domain get no requests.
func (f *Fleet) Replace(limits map[string]daisygap.PoolLimits, instances []daisygap.Instance, evacuated map[string]bool, now daisygap.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.upstreams
	if f.startedAt == 0 {
		f.startedAt = now
	}
	f.upstreams = make(map[string]*Upstream, len(instances))
	lists := make(map[string][]*Upstream)
	for _, i := range instances {
		u := f.updateUpstream(known[i.ID], i, now)
		f.upstreams[i.ID] = u
		if !i.Draining && !evacuated[i.Domain] {
			lists[i.Pool] = append(lists[i.Pool], u)
		}
	}
	byShortID := make(map[uint32]*Upstream, len(f.upstreams))
	byAddress := make(map[string]*Upstream, len(f.upstreams))
	for _, u := range f.upstreams {
		byShortID[u.shortID()] = u
		if other := byAddress[u.Address]; other == nil || other.StartTime < u.StartTime {
			byAddress[u.Address] = u
		}
	}
	f.byShortID.Store(&byShortID)
	f.byAddress.Store(&byAddress)
	old := f.Pools()
	pools := make(map[string]*Pool, len(limits))
	for name, l := range limits {
		p := old[name]
		if p == nil {
			p = &Pool{
				Region: f.Region, Domain: f.Domain, coldShareOf: f.coldShareOf, coldRankOf: f.coldRankOf, check: f.Check, shifts: &f.shifts, observations: &f.observations,
				largeLocalShare: 1, notices: &f.notices, rateNews: &f.rateNews, seed: xxhash.Sum64String(f.Name),
				daemonCount: f.daemonCount,
			}
			if h, known := f.hint.Pools[name]; known {
				p.applyHint(h)
			}
		}
		list := lists[name]
		sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
		p.replace(l, list, now)
		pools[name] = p
	}
	f.pools.Store(&pools)
}

// updateUpstream updates and returns the known upstream if the instance is still the same process, else a new upstream.
func (f *Fleet) updateUpstream(u *Upstream, i daisygap.Instance, now daisygap.Millis) *Upstream {
	if u == nil || u.StartTime != i.StartTime || u.Address != i.Address || u.Pool != i.Pool || u.Domain != i.Domain {
		u = newUpstream(i, f.Regions[i.Domain], now)
		f.notices.restore(u)
		return u
	}
	if p := f.Pool(i.Pool); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	if u.Sequence != i.Sequence {
		u.setCold(i.ColdRemaining, now)
	}
	// The other fields don't change during the lifetime of a process and are read without the lock.
	u.Sequence, u.Slots, u.Draining, u.ColdRemaining = i.Sequence, i.Slots, i.Draining, i.ColdRemaining
	return u
}

// coldShareOf returns the fraction of a cold upstream's request rate that this daemon may use, or 0 if other daemons use it all; the
// caller holds the lock of the upstream's pool.
func (f *Fleet) coldShareOf(u *Upstream, rate float64) float64 {
	names := f.daemons.Load()
	if names == nil || len(*names) == 0 {
		return 0
	}
	senders := coldSenders(rate)
	if f.coldRankOf(u) >= senders {
		return 0
	}
	return 1 / float64(min(senders, len(*names)))
}

// coldSenders returns the number of daemons that send to a cold upstream.
func coldSenders(rate float64) int {
	return max(1, int(rate/minColdRatePerDaemon))
}

// coldRankOf returns the number of daemons that come before this one in the order in which they send to a cold upstream. Rendezvous
// hashing orders the daemons, so that they agree without coordination. It is computed once for each set of daemons; the caller holds
// the lock of the upstream's pool.
func (f *Fleet) coldRankOf(u *Upstream) int {
	names := f.daemons.Load()
	if names == nil {
		return 0
	}
	if u.cold.daemons != names {
		own := xxhash.Sum64String(f.Name + "\x00" + u.ID)
		u.cold = coldRank{daemons: names}
		for _, n := range *names {
			if n != f.Name && xxhash.Sum64String(n+"\x00"+u.ID) > own {
				u.cold.ahead++
			}
		}
	}
	return u.cold.ahead
}
