package placement

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

// minColdRatePerDaemon is the least rate a second that one daemon may send to a cold upstream; fewer daemons share what is less.
const minColdRatePerDaemon = 2

// Fleet holds all pools of the steering configuration; it is safe for concurrent use.
type Fleet struct {
	// Name, Region and Domain are this daemon's own.
	Name   string
	Region string
	Domain string
	// Regions names the region of each domain.
	Regions map[string]string

	mu        sync.Mutex
	upstreams map[string]*Upstream
	pools     atomic.Pointer[map[string]*Pool]
	daemons   atomic.Pointer[[]string]
	// byShortID finds upstreams by their names in messages.
	byShortID    atomic.Pointer[map[uint32]*Upstream]
	observations loadRing
	shifts       shiftLimiter
}

// Pool returns a pool by name, or nil.
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

// SetDaemons names all daemons that may send to cold upstreams, this one included.
func (f *Fleet) SetDaemons(names []string) {
	f.daemons.Store(&names)
}

// Replace sets the pools and the instances, without those that are draining or lie in an evacuated domain.
func (f *Fleet) Replace(limits map[string]daisygap.PoolLimits, instances []daisygap.Instance, evacuated map[string]bool, now daisygap.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.upstreams
	f.upstreams = make(map[string]*Upstream, len(instances))
	lists := make(map[string][]*Upstream)
	for _, i := range instances {
		u := f.updateUpstream(known[i.ID], i, now)
		f.upstreams[i.ID] = u
		if !i.Draining && !evacuated[i.Domain] {
			lists[i.Pool] = append(lists[i.Pool], u)
		}
	}
	marks := make(map[uint32]*Upstream, len(f.upstreams))
	for _, u := range f.upstreams {
		marks[u.shortID()] = u
	}
	f.byShortID.Store(&marks)
	old := f.Pools()
	pools := make(map[string]*Pool, len(limits))
	for name, l := range limits {
		p := old[name]
		if p == nil {
			p = &Pool{Region: f.Region, Domain: f.Domain, coldShareOf: f.coldShare, shifts: &f.shifts, observations: &f.observations}
		}
		list := lists[name]
		sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
		p.replace(l, list, now)
		pools[name] = p
	}
	f.pools.Store(&pools)
}

// updateUpstream returns the known upstream of an instance if it is the same process.
func (f *Fleet) updateUpstream(u *Upstream, i daisygap.Instance, now daisygap.Millis) *Upstream {
	if u == nil || u.StartTime != i.StartTime || u.Address != i.Address || u.Pool != i.Pool || u.Domain != i.Domain {
		return newUpstream(i, f.Regions[i.Domain], now)
	}
	if p := f.Pool(i.Pool); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	if u.Sequence != i.Sequence {
		u.setCold(i.ColdRemaining, now)
	}
	// The other fields don't change in a process's life, and are read without the lock.
	u.Sequence, u.Slots, u.Draining, u.ColdRemaining = i.Sequence, i.Slots, i.Draining, i.ColdRemaining
	return u
}

// coldShare returns this daemon's part of the rate that a cold upstream bears, or 0 if others serve it.
func (f *Fleet) coldShare(id string, rate float64) float64 {
	names := f.daemons.Load()
	if names == nil || len(*names) == 0 {
		return 0
	}
	own, ahead := xxhash.Sum64String(f.Name+"\x00"+id), 0
	for _, n := range *names {
		if n != f.Name && xxhash.Sum64String(n+"\x00"+id) > own {
			ahead++
		}
	}
	most := max(1, int(rate/minColdRatePerDaemon))
	if ahead >= most {
		return 0
	}
	return 1 / float64(min(most, len(*names)))
}
