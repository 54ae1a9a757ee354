package admission

import (
	"math"
	"sort"

	"github.com/daisygap/daisygap"
)

// serviceEWMAWeight is the weight of a new sample in the moving averages of the service time.
const serviceEWMAWeight = 0.1

// Bounds of a kind's credit, as multiples of its own mean service time.
const (
	maxCreditFactor = 4
	// idleCreditFactor is the bound for a kind without queued requests. It is lower, so that other kinds can use the slots.
	// If it were lower still, a kind whose deadline is too short for queueing would lose a part of its floor in each pause
	// between its requests.
	idleCreditFactor = 2
)

// Rule is the configuration of one kind of requests in a group of upstreams.
type Rule struct {
	Name string
	Rank daisygap.Rank
	// Floor is the fraction of the slots guaranteed to the kind, from 0 to 1.
	Floor float64
	// Worth orders kinds of equal rank: the kind with the higher worth is served first.
	Worth float64
	// MaxQueued is the largest number of queued requests of the kind.
	MaxQueued int
	// Capped reports whether MaxRunning limits the requests of the kind that run at the same time.
	Capped     bool
	MaxRunning int
}

// QueuedRequest is a request that waits for a slot.
type QueuedRequest struct {
	Request *daisygap.Request
	// Arrived is when Offer queued the request.
	Arrived   daisygap.Millis
	queue     *kindQueue
	finishTag uint64
	index     int
}

// Denial is the reason why a request was refused, with the measurements that the decision was based on.
type Denial struct {
	Reason  daisygap.Reason
	Metrics daisygap.RefusalMetrics
}

// OfferResult is the result of Offer: either Queued or Denial is set. Evicted is a queued request that was removed to make
// room, if any.
type OfferResult struct {
	Queued  *QueuedRequest
	Denial  *Denial
	Evicted *QueuedRequest
}

// PopResult is the result of Pop. Next is the request to start, or nil. Late holds the requests that were removed because
// they could not end before their deadlines. If Wait is above 0, Pop is to be called again after that time even if no slot
// is released before.
type PopResult struct {
	Next *QueuedRequest
	Late []*QueuedRequest
	Wait daisygap.Millis
}

// Queue holds the queued requests of one group of upstreams. It is not safe for concurrent use.
type Queue struct {
	kinds  []*kindQueue
	byName map[string]*kindQueue
	limit  int
	pacer  startPacer
}

// SetRules replaces the rules. It returns the queued requests of kinds that are no longer listed, which are to be refused.
func (q *Queue) SetRules(rules []Rule) []*QueuedRequest {
	old := q.byName
	q.kinds = nil
	q.byName = make(map[string]*kindQueue, len(rules))
	for _, r := range rules {
		k := old[r.Name]
		if k == nil {
			k = &kindQueue{callers: make(map[string]*callerState)}
		}
		k.rule = r
		q.byName[r.Name] = k
		q.kinds = append(q.kinds, k)
	}
	sort.SliceStable(q.kinds, func(i, j int) bool {
		a, b := q.kinds[i].rule, q.kinds[j].rule
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.Worth > b.Worth
	})
	var orphans []*QueuedRequest
	for name, k := range old {
		if q.byName[name] == nil {
			orphans = append(orphans, k.requests...)
		}
	}
	return orphans
}

// SetLimit sets the number of slots that the group may use.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Offer queues a request, unless it can't be served before its deadline or the queue of its kind is full.
func (q *Queue) Offer(r *daisygap.Request, now daisygap.Millis) OfferResult {
	k := q.byName[r.Kind]
	if k == nil {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonUnknownKind}}
	}
	metrics := q.metrics(k, r, now)
	if k.rule.Capped && k.rule.MaxRunning <= 0 {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonNoCapacity, Metrics: metrics}}
	}
	if now >= r.Deadline {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonExpired, Metrics: metrics}}
	}
	if float64(metrics.Wait)+k.requiredTime(metrics.Wait > 0) > float64(metrics.TimeLeft) {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonDeadline, Metrics: metrics}}
	}
	var evicted *QueuedRequest
	if len(k.requests) >= k.rule.MaxQueued {
		evicted = k.evictFor(r.Caller)
		if evicted == nil {
			return OfferResult{Denial: &Denial{Reason: daisygap.ReasonQueueFull, Metrics: metrics}}
		}
	}
	return OfferResult{Queued: k.push(r, now), Evicted: evicted}
}

// Pop removes the request that takes a free slot from its queue and charges its kind for the slot.
func (q *Queue) Pop(now daisygap.Millis) PopResult {
	var p PopResult
	for {
		k := q.nextKind()
		if k == nil {
			return p
		}
		if !k.hasFloorCredit() && q.mustDefer(k, now) {
			p.Wait = q.pacer.delay(q.limit)
			return p
		}
		item := k.pop()
		if float64(now)+k.requiredTime(q.Waiting() > 0) > float64(item.Request.Deadline) {
			p.Late = append(p.Late, item)
			continue
		}
		q.chargeCredit(k)
		q.pacer.charge(q.limit, k.meanService, !q.moreUrgentActive(k, now))
		k.running++
		k.lastStart = now
		p.Next = item
		return p
	}
}

// Finish releases a slot of the named kind. A negative service time leaves the estimate as it is.
func (q *Queue) Finish(name string, service daisygap.Millis) {
	k := q.byName[name]
	if k == nil {
		return
	}
	k.running--
	if service < 0 {
		return
	}
	if k.meanService == 0 {
		k.meanService = float64(service)
		return
	}
	delta := float64(service) - k.meanService
	k.meanService += serviceEWMAWeight * delta
	k.serviceDeviation += serviceEWMAWeight * (math.Abs(delta) - k.serviceDeviation)
}

// Remove removes a cancelled request from its queue.
func (q *Queue) Remove(item *QueuedRequest) {
	if item.index >= 0 {
		item.queue.remove(item)
	}
}

// Waiting returns the number of queued requests of all kinds.
func (q *Queue) Waiting() int {
	return q.WaitingAtOrAbove(daisygap.Background)
}

// WaitingAtOrAbove returns the number of queued requests of the rank and of more urgent ranks.
func (q *Queue) WaitingAtOrAbove(rank daisygap.Rank) int {
	n := 0
	for _, k := range q.kinds {
		if k.rule.Rank <= rank {
			n += len(k.requests)
		}
	}
	return n
}

// MostUrgentWaiting returns the most urgent rank with queued requests, or the least urgent rank if no request is queued.
func (q *Queue) MostUrgentWaiting() daisygap.Rank {
	for _, k := range q.kinds {
		if len(k.requests) > 0 {
			return k.rule.Rank
		}
	}
	return daisygap.Background
}

// Running returns the number of running requests of all kinds.
func (q *Queue) Running() int {
	n := 0
	for _, k := range q.kinds {
		n += k.running
	}
	return n
}

// Metrics returns the measurements that a decision on the request would be based on.
func (q *Queue) Metrics(r *daisygap.Request, now daisygap.Millis) daisygap.RefusalMetrics {
	k := q.byName[r.Kind]
	if k == nil {
		return daisygap.RefusalMetrics{TimeLeft: r.Deadline - now}
	}
	return q.metrics(k, r, now)
}

// nextKind returns the kind to serve next: the most urgent kind with credit under its floor, or else the most urgent one.
// Kinds without queued requests and kinds at their cap are skipped.
func (q *Queue) nextKind() *kindQueue {
	var first *kindQueue
	for _, k := range q.kinds {
		if len(k.requests) == 0 || k.atCap() {
			continue
		}
		if first == nil {
			first = k
		}
		if k.hasFloorCredit() {
			return k
		}
	}
	return first
}

// chargeCredit accounts for a started request in slot-milliseconds: each kind earns its floor's part of the service time,
// and the started kind pays all of it.
func (q *Queue) chargeCredit(started *kindQueue) {
	cost := max(started.meanService, 1)
	for _, k := range q.kinds {
		limit := maxCreditFactor * max(k.meanService, 1)
		if len(k.requests) == 0 && k != started {
			limit = idleCreditFactor * max(k.meanService, 1)
		}
		k.credit = min(k.credit+k.rule.Floor*cost, limit)
	}
	started.credit = max(started.credit-cost, 0)
}

func (q *Queue) metrics(k *kindQueue, r *daisygap.Request, now daisygap.Millis) daisygap.RefusalMetrics {
	running, ahead := 0, 0
	for _, o := range q.kinds {
		running += o.running
		if o != k && o.rule.Rank < k.rule.Rank {
			ahead += len(o.requests)
		}
	}
	own := k.estimateAhead(r.Caller)
	wait := 0.0
	if running >= q.limit || own > 0 || k.atCap() {
		wait = k.estimateWait(float64(q.limit), float64(ahead), float64(own), q.otherFloors(k))
	}
	return daisygap.RefusalMetrics{
		Queued:   len(k.requests),
		Running:  running,
		Limit:    q.limit,
		Wait:     daisygap.Millis(wait),
		TimeLeft: r.Deadline - now,
	}
}

// otherFloors returns the sum of the floors of the other kinds that have queued requests.
func (q *Queue) otherFloors(k *kindQueue) float64 {
	sum := 0.0
	for _, o := range q.kinds {
		if o != k && len(o.requests) > 0 {
			sum += o.rule.Floor
		}
	}
	return sum
}

// WaitingAheadOf returns the number of queued requests that would precede a new request of the named kind by rank.
func (q *Queue) WaitingAheadOf(name string) int {
	own := q.byName[name]
	if own == nil {
		return 0
	}
	return q.WaitingAtOrAbove(own.rule.Rank)
}
