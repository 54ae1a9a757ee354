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

// Pool queues the requests for one group of upstreams and assigns them to the slots that this daemon may use. The exported
// fields must be set before the first call. A Pool is safe for concurrent use.
type Pool struct {
	Group string
	Clock *daisygap.Clock
	// LeaseValid reports whether the daemon's membership lease is valid.
	LeaseValid func() bool
	// Suspect reports whether a request with the fingerprint was running at an upstream when that crashed.
	Suspect func(hash uint64) bool
	// OnShortage is called while requests wait and no slot is free, so that slots are borrowed. It must not block.
	OnShortage func()
	// Seed makes the choice among equal upstreams reproducible in tests. 0 stands for a random seed.
	Seed uint64

	mu       sync.Mutex
	queue    admission.Queue
	balancer balance.Balancer
	lender   quota.Lender
	borrowed map[loanKey]borrowedLoan
	waiters  map[*admission.QueuedRequest]chan grant
	// parked holds suspects that left the queue but found no upstream without another suspect.
	parked     []*admission.QueuedRequest
	maxRunTime daisygap.Millis
	soleMember bool
	// timer triggers the next dispatch while the queue delays the start of waiting requests.
	timer *time.Timer
}

// grant is the decision on a waiting request: an upstream with a slot or a denial.
type grant struct {
	upstream *balance.Upstream
	suspect  bool
	denial   *admission.Denial
}

// Plan holds the parameters of a pool that follow from the configuration and from the domain's current members.
type Plan struct {
	Rules   []admission.Rule
	Targets []balance.Target
	// WarmUp is the time over which a new or recovered upstream gets more and more of its slots.
	WarmUp daisygap.Millis
	// Eject is the largest fraction of the upstreams that may be ejected at the same time.
	Eject float64
	// MaxRunTime is the longest time that a request may run at an upstream.
	MaxRunTime daisygap.Millis
	// SoleMember is set if there is no other daemon that could lend slots.
	SoleMember bool
}

// Slot is the right to run one request at one upstream. It must be released with Done.
type Slot struct {
	Name    string
	Address string
	// Suspect is set if a request with the same fingerprint was running at an upstream when that crashed.
	Suspect bool

	pool     *Pool
	upstream *balance.Upstream
	kind     string
	started  daisygap.Millis
}

// SetPlan applies a new configuration or list of members. Waiting requests of kinds that no longer exist are denied.
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

// Acquire queues a request and waits until it gets a slot or is denied, or until the context ends.
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

// enqueue adds a request to the queue, and returns the channel on which its grant will be sent.
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

// unavailable returns a denial if the pool can't serve any request now, or nil. Without slots of its own, a pool still queues
// requests if another daemon may lend it slots.
func (p *Pool) unavailable(r *daisygap.Request, now daisygap.Millis) *admission.Denial {
	if !p.LeaseValid() {
		return &admission.Denial{Reason: daisygap.ReasonFenced, Metrics: p.queue.Metrics(r, now)}
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
	return &admission.Denial{Reason: reason, Metrics: p.queue.Metrics(r, now)}
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

// cancelWait removes a request whose context has ended from the queue, or releases a slot that was granted at the same time.
func (p *Pool) cancelWait(ctx context.Context, r *daisygap.Request, it *admission.QueuedRequest, ch chan grant) (*Slot, *admission.Denial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	reason := daisygap.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = daisygap.ReasonExpired
	}
	denial := &admission.Denial{Reason: reason, Metrics: p.queue.Metrics(r, now)}
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

// dispatch assigns free slots to waiting requests. The caller must hold the lock.
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

// scheduleDispatch dispatches again after the given time. With a time of 0, the next change of the pool triggers the dispatch.
func (p *Pool) scheduleDispatch(wait daisygap.Millis) {
	switch {
	case wait <= 0:
	case p.timer == nil:
		p.timer = time.AfterFunc(wait.Duration(), p.Tick)
	default:
		p.timer.Reset(wait.Duration())
	}
}

// signalShortage calls OnShortage if another daemon could lend slots.
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

// assignParked tries again to assign the parked suspects.
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
	ch <- grant{denial: &admission.Denial{Reason: reason, Metrics: p.queue.Metrics(it.Request, now)}}
}

// Done releases the slot and records the outcome of the attempt. After an abandoned attempt it releases the slot only after
// CloseDetectionDelay, because the upstream runs the request until it detects that the connection was closed.
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

// SignalDrain records that the slot's upstream has signalled in a response that it is draining.
func (s *Slot) SignalDrain() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.balancer.MarkDraining(s.upstream, s.pool.Clock.Now())
}

// NoteDrain records that the named upstream has signalled at its health endpoint that it is draining.
func (p *Pool) NoteDrain(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.balancer.Find(name); u != nil {
		p.balancer.MarkDraining(u, p.Clock.Now())
	}
}

// Load returns the number of slots that this daemon may use, and of its running and waiting requests.
func (p *Pool) Load() daisygap.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return daisygap.Load{
		Slots:   p.balancer.Capacity(p.Clock.Now()),
		Running: p.queue.Running(),
		Waiting: p.queue.Waiting() + len(p.parked),
	}
}

// Pressure returns the number of waiting requests that would precede a new request of the kind, divided by the number of
// slots. It returns 1 if there are no slots.
func (p *Pool) Pressure(kind string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := p.balancer.Capacity(p.Clock.Now())
	if slots == 0 {
		return 1
	}
	return float64(p.queue.WaitingAheadOf(kind)) / float64(slots)
}

// WithinShares reports whether the running requests and lent slots at every upstream fit into the daemon's share and its
// borrowed slots.
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

// LentOut reports whether another daemon may still use slots of this one.
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

// Tick assigns slots that became free by the passing of time, such as the end of a loan, an ejection or a warm-up.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(p.Clock.Now())
}

// Upstreams returns the status of each upstream.
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
