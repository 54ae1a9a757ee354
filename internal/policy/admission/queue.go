package admission

import (
	"math"
	"sort"

	"github.com/daisygap/daisygap"
)

// Weight of one new measurement in the service-time estimate.
const serviceEWMAWeight = 0.1

// Credit that a kind may hold, as a multiple of its own service time.
const (
	maxCreditFactor = 4
	// An idle kind keeps less and lends the rest; with less than this a kind whose deadline allows no queue would lose
	// a part of its floor in each pause between its requests.
	idleCreditFactor = 2
)

// Rule is what the configuration says of one kind of work in a group.
type Rule struct {
	Name  string
	Rank  daisygap.Rank
	Floor float64
	// Worth orders kinds of one rank; the one worth less yields first.
	Worth     float64
	MaxQueued int
	// Capped tells that no more than Most requests of the kind may run at once.
	Capped     bool
	MaxRunning int
}

// QueuedRequest is one request that waits for a slot.
type QueuedRequest struct {
	Request   *daisygap.Request
	Arrived   daisygap.Millis
	queue     *kindQueue
	finishTag uint64
	index     int
}

// Denial says why a request may not wait, with the figures behind it.
type Denial struct {
	Reason  daisygap.Reason
	Figures daisygap.RefusalMetrics
}

// OfferResult is the answer to one offered request; Evicted had to make room for it.
type OfferResult struct {
	Queued  *QueuedRequest
	Denial  *Denial
	Evicted *QueuedRequest
}

// PopResult is the answer to a free slot; Late may not start any more, and after Wait milliseconds the next may though no slot is given back.
type PopResult struct {
	Next *QueuedRequest
	Late []*QueuedRequest
	Wait daisygap.Millis
}

// Queue holds the waiting requests of one group of upstreams; it is not safe for concurrent use.
type Queue struct {
	kinds  []*kindQueue
	byName map[string]*kindQueue
	limit  int
	pacer  startPacer
}

// SetRules replaces the rules; requests of a kind that is no longer listed are returned to be refused.
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

// SetLimit sets the number of slots that the group may use now.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Offer puts a request into its queue unless it can't be served in time or finds no room.
func (q *Queue) Offer(r *daisygap.Request, now daisygap.Millis) OfferResult {
	k := q.byName[r.Kind]
	if k == nil {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonUnknownKind}}
	}
	figures := q.figures(k, r, now)
	if k.rule.Capped && k.rule.MaxRunning <= 0 {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonNoCapacity, Figures: figures}}
	}
	if now >= r.Deadline {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonExpired, Figures: figures}}
	}
	if float64(figures.Wait)+k.requiredTime(figures.Wait > 0) > float64(figures.TimeLeft) {
		return OfferResult{Denial: &Denial{Reason: daisygap.ReasonDeadline, Figures: figures}}
	}
	var evicted *QueuedRequest
	if len(k.requests) >= k.rule.MaxQueued {
		evicted = k.evictFor(r.Caller)
		if evicted == nil {
			return OfferResult{Denial: &Denial{Reason: daisygap.ReasonQueueFull, Figures: figures}}
		}
	}
	return OfferResult{Queued: k.push(r, now), Evicted: evicted}
}

// Pop chooses the request that takes a free slot and charges its kind for it.
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
		it := k.pop()
		if float64(now)+k.requiredTime(q.Waiting() > 0) > float64(it.Request.Deadline) {
			p.Late = append(p.Late, it)
			continue
		}
		q.chargeCredit(k)
		q.pacer.charge(q.limit, k.meanService, !q.moreUrgentActive(k, now))
		k.running++
		k.lastStart = now
		p.Next = it
		return p
	}
}

// Finish gives a slot back; a service time below 0 is not counted in the estimate.
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

// Remove takes a cancelled request out of its queue.
func (q *Queue) Remove(it *QueuedRequest) {
	if it.index >= 0 {
		it.queue.remove(it)
	}
}

// Waiting returns the number of waiting requests of all kinds.
func (q *Queue) Waiting() int {
	return q.WaitingAtOrAbove(daisygap.Background)
}

// WaitingAtOrAbove returns the number of waiting requests of a rank and of more urgent ones.
func (q *Queue) WaitingAtOrAbove(rank daisygap.Rank) int {
	n := 0
	for _, k := range q.kinds {
		if k.rule.Rank <= rank {
			n += len(k.requests)
		}
	}
	return n
}

// MostUrgentWaiting returns the most urgent rank that waits, or the least urgent when none does.
func (q *Queue) MostUrgentWaiting() daisygap.Rank {
	for _, k := range q.kinds {
		if len(k.requests) > 0 {
			return k.rule.Rank
		}
	}
	return daisygap.Background
}

// Running returns the number of started requests of all kinds.
func (q *Queue) Running() int {
	n := 0
	for _, k := range q.kinds {
		n += k.running
	}
	return n
}

// Figures returns the measures that a decision on a request would be based on.
func (q *Queue) Figures(r *daisygap.Request, now daisygap.Millis) daisygap.RefusalMetrics {
	k := q.byName[r.Kind]
	if k == nil {
		return daisygap.RefusalMetrics{TimeLeft: r.Deadline - now}
	}
	return q.figures(k, r, now)
}

// nextKind returns the kind to serve: the most urgent one owed work under its floor, else the most urgent that waits.
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

// chargeCredit moves credit in slot-milliseconds: each kind earns its floor's part of the work that starts, and the started kind pays for it.
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

func (q *Queue) figures(k *kindQueue, r *daisygap.Request, now daisygap.Millis) daisygap.RefusalMetrics {
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

// otherFloors returns the part of the slots that other kinds use by their floors now.
func (q *Queue) otherFloors(k *kindQueue) float64 {
	sum := 0.0
	for _, o := range q.kinds {
		if o != k && len(o.requests) > 0 {
			sum += o.rule.Floor
		}
	}
	return sum
}

// WaitingAheadOf returns how many waiting requests go before a new one of a kind by rank.
func (q *Queue) WaitingAheadOf(name string) int {
	own := q.byName[name]
	if own == nil {
		return 0
	}
	return q.WaitingAtOrAbove(own.rule.Rank)
}
