package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/admission"
	"github.com/daisygap/daisygap/internal/policy/balance"
	"github.com/daisygap/daisygap/internal/policy/quota"
)

// Pool admits the requests of one group to the slots that this daemon may use; it is safe for concurrent use.
type Pool struct {
	Group string
	Clock *daisygap.Clock
	// LeaseValid tells whether the daemon's membership lease stands.
	LeaseValid func() bool
	// Suspect tells whether a fingerprint was at a crash.
	Suspect func(hash uint64) bool
	// OnShortage is called when requests wait and no slot is free; it must not block.
	OnShortage func()
	// Seed makes the choice among equal upstreams repeatable in tests; 0 takes a random one.
	Seed uint64

	mu         sync.Mutex
	queue      admission.Queue
	balancer   balance.Balancer
	lender     quota.Lender
	borrowed   map[loanKey]borrowedLoan
	waiters    map[*admission.QueuedRequest]chan grant
	parked     []*admission.QueuedRequest
	maxRunTime daisygap.Millis
	soleMember bool
	// timer wakes the work that is held back for a while.
	timer *time.Timer
}

type grant struct {
	upstream *balance.Upstream
	suspect  bool
	denial   *admission.Denial
}

// Plan is what the configuration and the view give to a pool.
type Plan struct {
	Rules   []admission.Rule
	Targets []balance.Target
	WarmUp  daisygap.Millis
	Eject   float64
	// MaxRunTime is the longest time that a request may run.
	MaxRunTime daisygap.Millis
	// SoleMember tells that no other daemon could lend slots.
	SoleMember bool
}

// Slot is the right to run one request at one upstream.
type Slot struct {
	Name    string
	Address string
	// Suspect tells that the request was at a crash before.
	Suspect bool

	pool     *Pool
	upstream *balance.Upstream
	kind     string
	started  daisygap.Millis
}

// SetPlan takes in a new configuration or view.
func (p *Pool) SetPlan(plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiters == nil {
		p.waiters = make(map[*admission.QueuedRequest]chan grant)
		p.borrowed = make(map[loanKey]borrowedLoan)
		seed := p.Seed
		if seed == 0 {
			seed = rand.Uint64()
		}
		p.balancer.Random = rand.New(rand.NewPCG(seed, 0))
	}
	now := p.Clock.Now()
	p.balancer.WarmUp, p.balancer.MaxEjectedRatio = plan.WarmUp, plan.Eject
	p.maxRunTime, p.soleMember = plan.MaxRunTime, plan.SoleMember
	for _, it := range p.queue.SetRules(plan.Rules) {
		p.deny(it, daisygap.ReasonUnknownKind, now)
	}
	p.balancer.SetTargets(plan.Targets, now)
	p.dispatch(now)
}

// Acquire waits for a slot; the denial says why there is none.
func (p *Pool) Acquire(ctx context.Context, r *daisygap.Request) (*Slot, *admission.Denial) {
	item, ch, denial := p.enqueue(r)
	if denial != nil {
		return nil, denial
	}
	select {
	case g := <-ch:
		return p.slotFromGrant(r, g)
	case <-ctx.Done():
		return p.cancelWait(ctx, r, item, ch)
	}
}

func (p *Pool) enqueue(r *daisygap.Request) (*admission.QueuedRequest, chan grant, *admission.Denial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if denial := p.unavailable(r, now); denial != nil {
		return nil, nil, denial
	}
	offered := p.queue.Offer(r, now)
	if offered.Evicted != nil {
		p.deny(offered.Evicted, daisygap.ReasonQueueFull, now)
	}
	if offered.Denial != nil {
		p.signalShortage()
		return nil, nil, offered.Denial
	}
	ch := make(chan grant, 1)
	p.waiters[offered.Queued] = ch
	p.dispatch(now)
	return offered.Queued, ch, nil
}

// unavailable returns why the pool takes nothing at all now, or nil.
func (p *Pool) unavailable(r *daisygap.Request, now daisygap.Millis) *admission.Denial {
	if !p.LeaseValid() {
		return &admission.Denial{Reason: daisygap.ReasonFenced, Figures: p.queue.Figures(r, now)}
	}
	capacity := p.balancer.Capacity(now)
	p.queue.SetLimit(capacity)
	if capacity > 0 || (!p.soleMember && !p.allDrained(now)) {
		return nil
	}
	reason := daisygap.ReasonNoCapacity
	if p.allDrained(now) && len(p.balancer.Upstreams()) > 0 {
		reason = daisygap.ReasonDraining
	}
	return &admission.Denial{Reason: reason, Figures: p.queue.Figures(r, now)}
}

func (p *Pool) allDrained(now daisygap.Millis) bool {
	for _, u := range p.balancer.Upstreams() {
		if !p.balancer.Draining(u, now) {
			return false
		}
	}
	return true
}

func (p *Pool) slotFromGrant(r *daisygap.Request, g grant) (*Slot, *admission.Denial) {
	if g.denial != nil {
		return nil, g.denial
	}
	return &Slot{
		Name: g.upstream.Name, Address: g.upstream.Address, Suspect: g.suspect,
		pool: p, upstream: g.upstream, kind: r.Kind, started: p.Clock.Now(),
	}, nil
}

// cancelWait takes a request whose context ended out of the queue, or gives back a slot granted at the same time.
func (p *Pool) cancelWait(ctx context.Context, r *daisygap.Request, it *admission.QueuedRequest, ch chan grant) (*Slot, *admission.Denial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	reason := daisygap.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = daisygap.ReasonExpired
	}
	denial := &admission.Denial{Reason: reason, Figures: p.queue.Figures(r, now)}
	select {
	case g := <-ch:
		if g.denial != nil {
			return nil, g.denial
		}
		p.balancer.Done(g.upstream, g.suspect, balance.Abandoned, 0, now)
		p.queue.Finish(r.Kind, -1)
		p.dispatch(now)
	default:
		p.dequeue(it)
	}
	return nil, denial
}

func (p *Pool) dequeue(it *admission.QueuedRequest) {
	delete(p.waiters, it)
	for i, o := range p.parked {
		if o == it {
			p.parked = append(p.parked[:i], p.parked[i+1:]...)
			p.queue.Finish(it.Request.Kind, -1)
			return
		}
	}
	p.queue.Remove(it)
}

// dispatch gives free slots to waiting requests; the caller holds the lock.
func (p *Pool) dispatch(now daisygap.Millis) {
	p.expireLoans(now)
	p.queue.SetLimit(p.balancer.Capacity(now))
	if !p.LeaseValid() {
		return
	}
	p.assignParked(now)
	for p.queue.Waiting() > 0 && p.hasFreeSlot(now) {
		popped := p.queue.Pop(now)
		for _, late := range popped.Late {
			p.deny(late, daisygap.ReasonDeadline, now)
		}
		if popped.Next == nil {
			p.scheduleDispatch(popped.Wait)
			return
		}
		if !p.assign(popped.Next, now) {
			p.parked = append(p.parked, popped.Next)
		}
	}
	if p.queue.Waiting() > 0 {
		p.signalShortage()
	}
}

// scheduleDispatch dispatches again after a wait; 0 waits for the next change.
func (p *Pool) scheduleDispatch(wait daisygap.Millis) {
	switch {
	case wait <= 0:
	case p.timer == nil:
		p.timer = time.AfterFunc(wait.Duration(), p.Tick)
	default:
		p.timer.Reset(wait.Duration())
	}
}

func (p *Pool) signalShortage() {
	if !p.soleMember {
		p.OnShortage()
	}
}

func (p *Pool) hasFreeSlot(now daisygap.Millis) bool {
	for _, u := range p.balancer.Upstreams() {
		if u.Running < p.balancer.Limit(u, now) {
			return true
		}
	}
	return false
}

// assignParked retries suspects that found no upstream without another suspect.
func (p *Pool) assignParked(now daisygap.Millis) {
	kept := p.parked[:0]
	for _, it := range p.parked {
		if !p.assign(it, now) {
			kept = append(kept, it)
		}
	}
	p.parked = kept
}

func (p *Pool) assign(it *admission.QueuedRequest, now daisygap.Millis) bool {
	suspect := p.Suspect(it.Request.Fingerprint)
	u := p.balancer.Pick(suspect, now)
	if u == nil {
		return false
	}
	p.waiters[it] <- grant{upstream: u, suspect: suspect}
	delete(p.waiters, it)
	return true
}

func (p *Pool) deny(it *admission.QueuedRequest, reason daisygap.Reason, now daisygap.Millis) {
	ch := p.waiters[it]
	if ch == nil {
		return
	}
	delete(p.waiters, it)
	ch <- grant{denial: &admission.Denial{Reason: reason, Figures: p.queue.Figures(it.Request, now)}}
}

// Done gives the slot back and tells how the attempt ended; after an abandoned one the slot rests until the upstream has surely noticed.
func (s *Slot) Done(outcome balance.Outcome) {
	if outcome == balance.Abandoned {
		time.AfterFunc(daisygap.CloseDetectionDelay.Duration(), func() { s.release(outcome) })
		return
	}
	s.release(outcome)
}

func (s *Slot) release(outcome balance.Outcome) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	service := now - s.started
	p.balancer.Done(s.upstream, s.Suspect, outcome, service, now)
	if outcome != balance.Succeeded {
		service = -1
	}
	p.queue.Finish(s.kind, service)
	p.dispatch(now)
}

// SignalDrain notes that the slot's upstream said it is leaving.
func (s *Slot) SignalDrain() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.balancer.MarkDraining(s.upstream, s.pool.Clock.Now())
}

// NoteDrain notes that a named upstream said it is leaving, by its health endpoint.
func (p *Pool) NoteDrain(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.balancer.Find(name); u != nil {
		p.balancer.MarkDraining(u, p.Clock.Now())
	}
}

// Load returns the use of the slots that this daemon may use.
func (p *Pool) Load() daisygap.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return daisygap.Load{
		Slots:   p.balancer.Capacity(p.Clock.Now()),
		Running: p.queue.Running(),
		Waiting: p.queue.Waiting() + len(p.parked),
	}
}

// Pressure returns the waiting requests that go before a new one of a kind, as a part of the slots; 1 without slots.
func (p *Pool) Pressure(kind string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := p.balancer.Capacity(p.Clock.Now())
	if slots == 0 {
		return 1
	}
	return float64(p.queue.WaitingAheadOf(kind)) / float64(slots)
}

// WithinShares tells whether the use of every upstream fits the daemon's shares.
func (p *Pool) WithinShares() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.balancer.Upstreams() {
		if u.Running+u.Lent > u.Share+u.Borrowed {
			return false
		}
	}
	return true
}

// LentOut tells whether another daemon may still use slots of this one.
func (p *Pool) LentOut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLoans(p.Clock.Now())
	for _, u := range p.balancer.Upstreams() {
		if u.Lent > 0 {
			return true
		}
	}
	return false
}

// Tick gives slots out that became free by time alone.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(p.Clock.Now())
}

// Upstreams returns what the daemon knows of each upstream.
func (p *Pool) Upstreams() []daisygap.UpstreamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var statuses []daisygap.UpstreamStatus
	for _, u := range p.balancer.Upstreams() {
		statuses = append(statuses, daisygap.UpstreamStatus{
			Name: u.Name, Slots: u.Slots, Share: u.Share, Lent: u.Lent, Borrowed: u.Borrowed,
			Running: u.Running, Drained: p.balancer.Draining(u, now),
		})
	}
	return statuses
}
