package admission

import (
	"container/heap"
	"math"
	"sort"

	"github.com/daisygap/daisygap"
)

// Weight of one new measurement in the service-time estimate.
const serviceWeight = 0.1

// Deviations beyond the mean service time that few requests exceed.
const safeDeviations = 1

// The least part of the slots that a kind is taken to get in its turn by rank.
const leastPart = 0.05

// Credit that a kind may hold, as a multiple of its own service time.
const (
	maxCredit = 4
	// An idle kind keeps less and lends the rest; with less than this a kind whose deadline allows no queue would lose
	// a part of its floor in each pause between its requests.
	idleCredit = 2
)

// Rule is what the configuration says of one kind of work in a group.
type Rule struct {
	Name  string
	Rank  daisygap.Rank
	Floor float64
	// Worth orders kinds of one rank; the one worth less yields first.
	Worth float64
	Queue int
	// Capped tells that no more than Most requests of the kind may run at once.
	Capped bool
	Most   int
}

// Item is one request that waits for a slot.
type Item struct {
	Request *daisygap.Request
	Arrived daisygap.Millis
	kind    *kind
	tag     uint64
	index   int
}

// Denial says why a request may not wait, with the figures behind it.
type Denial struct {
	Reason  daisygap.Reason
	Figures daisygap.Figures
}

// Offered is the answer to one offered request; Evicted had to make room for it.
type Offered struct {
	Item    *Item
	Denial  *Denial
	Evicted *Item
}

// Popped is the answer to a free slot; Late may not start any more, and after Wait milliseconds the next may though no slot is given back.
type Popped struct {
	Item *Item
	Late []*Item
	Wait daisygap.Millis
}

// kind holds the requests of one kind, ordered by fair-queueing tag and then by deadline.
type kind struct {
	rule    Rule
	items   itemHeap
	callers map[string]*caller
	virtual uint64
	running int
	// service is the mean service time, and deviation how far it mostly lies off.
	service   float64
	deviation float64
	credit    float64
	started   daisygap.Millis
}

type caller struct {
	queued int
	last   uint64
}

// Queue holds the waiting requests of one group of upstreams; it is not safe for concurrent use.
type Queue struct {
	kinds  []*kind
	byName map[string]*kind
	limit  int
	spread spread
}

// SetRules replaces the rules; requests of a kind that is no longer listed are returned to be refused.
func (q *Queue) SetRules(rules []Rule) []*Item {
	old := q.byName
	q.kinds = nil
	q.byName = make(map[string]*kind, len(rules))
	for _, r := range rules {
		k := old[r.Name]
		if k == nil {
			k = &kind{callers: make(map[string]*caller)}
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
	var orphans []*Item
	for name, k := range old {
		if q.byName[name] == nil {
			orphans = append(orphans, k.items...)
		}
	}
	return orphans
}

// SetLimit sets the number of slots that the group may use now.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Offer puts a request into its queue unless it can't be served in time or finds no room.
func (q *Queue) Offer(r *daisygap.Request, now daisygap.Millis) Offered {
	k := q.byName[r.Kind]
	if k == nil {
		return Offered{Denial: &Denial{Reason: daisygap.ReasonUnknownKind}}
	}
	figures := q.figures(k, r, now)
	if k.rule.Capped && k.rule.Most <= 0 {
		return Offered{Denial: &Denial{Reason: daisygap.ReasonNoCapacity, Figures: figures}}
	}
	if now >= r.Deadline {
		return Offered{Denial: &Denial{Reason: daisygap.ReasonExpired, Figures: figures}}
	}
	if float64(figures.Wait)+k.needed(figures.Wait > 0) > float64(figures.Left) {
		return Offered{Denial: &Denial{Reason: daisygap.ReasonDeadline, Figures: figures}}
	}
	var evicted *Item
	if len(k.items) >= k.rule.Queue {
		evicted = k.evictFor(r.Caller)
		if evicted == nil {
			return Offered{Denial: &Denial{Reason: daisygap.ReasonQueueFull, Figures: figures}}
		}
	}
	return Offered{Item: k.push(r, now), Evicted: evicted}
}

// Pop chooses the request that takes a free slot and charges its kind for it.
func (q *Queue) Pop(now daisygap.Millis) Popped {
	var p Popped
	for {
		k := q.choose()
		if k == nil {
			return p
		}
		if !k.owed() && q.held(k, now) {
			p.Wait = q.spread.wait(q.limit)
			return p
		}
		it := k.pop()
		if float64(now)+k.needed(q.Waiting() > 0) > float64(it.Request.Deadline) {
			p.Late = append(p.Late, it)
			continue
		}
		q.charge(k)
		q.spread.charge(q.limit, k.service, !q.urgentActive(k, now))
		k.running++
		k.started = now
		p.Item = it
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
	if k.service == 0 {
		k.service = float64(service)
		return
	}
	off := float64(service) - k.service
	k.service += serviceWeight * off
	k.deviation += serviceWeight * (math.Abs(off) - k.deviation)
}

// needed is the time that must be left at the start; when others wait for the slot, it goes to one that will surely end in time.
func (k *kind) needed(contested bool) float64 {
	if contested {
		return k.service + safeDeviations*k.deviation
	}
	return k.service
}

// Remove takes a cancelled request out of its queue.
func (q *Queue) Remove(it *Item) {
	if it.index >= 0 {
		it.kind.remove(it)
	}
}

// Waiting returns the number of waiting requests of all kinds.
func (q *Queue) Waiting() int {
	n := 0
	for _, k := range q.kinds {
		n += len(k.items)
	}
	return n
}

// WaitingUpTo returns the number of waiting requests of a rank and of more urgent ones.
func (q *Queue) WaitingUpTo(rank daisygap.Rank) int {
	n := 0
	for _, k := range q.kinds {
		if k.rule.Rank <= rank {
			n += len(k.items)
		}
	}
	return n
}

// Foremost returns the most urgent rank that waits, or the least urgent when none does.
func (q *Queue) Foremost() daisygap.Rank {
	for _, k := range q.kinds {
		if len(k.items) > 0 {
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
func (q *Queue) Figures(r *daisygap.Request, now daisygap.Millis) daisygap.Figures {
	k := q.byName[r.Kind]
	if k == nil {
		return daisygap.Figures{Left: r.Deadline - now}
	}
	return q.figures(k, r, now)
}

// choose returns the kind to serve: the most urgent one owed work under its floor, else the most urgent that waits.
func (q *Queue) choose() *kind {
	var first *kind
	for _, k := range q.kinds {
		if len(k.items) == 0 || k.full() {
			continue
		}
		if first == nil {
			first = k
		}
		if k.owed() {
			return k
		}
	}
	return first
}

// owed tells whether the kind may start work under its floor.
func (k *kind) owed() bool {
	return k.rule.Floor > 0 && k.credit >= max(k.service, 1)
}

// full tells whether a capped kind runs as much as it may.
func (k *kind) full() bool {
	return k.rule.Capped && k.running >= k.rule.Most
}

// charge moves credit in slot-milliseconds: each kind earns its floor's part of the work that starts, and the started kind pays for it.
func (q *Queue) charge(started *kind) {
	cost := max(started.service, 1)
	for _, k := range q.kinds {
		most := maxCredit * max(k.service, 1)
		if len(k.items) == 0 && k != started {
			most = idleCredit * max(k.service, 1)
		}
		k.credit = min(k.credit+k.rule.Floor*cost, most)
	}
	started.credit = max(started.credit-cost, 0)
}

func (q *Queue) figures(k *kind, r *daisygap.Request, now daisygap.Millis) daisygap.Figures {
	running, ahead := 0, 0
	for _, o := range q.kinds {
		running += o.running
		if o != k && o.rule.Rank < k.rule.Rank {
			ahead += len(o.items)
		}
	}
	own := k.ahead(r.Caller)
	wait := 0.0
	if running >= q.limit || own > 0 || k.full() {
		wait = k.wait(float64(q.limit), float64(ahead), float64(own), q.owedTo(k))
	}
	return daisygap.Figures{
		Queued:  len(k.items),
		Running: running,
		Limit:   q.limit,
		Wait:    daisygap.Millis(wait),
		Left:    r.Deadline - now,
	}
}

// owedTo returns the part of the slots that other kinds use by their floors now.
func (q *Queue) owedTo(k *kind) float64 {
	part := 0.0
	for _, o := range q.kinds {
		if o != k && len(o.items) > 0 {
			part += o.rule.Floor
		}
	}
	return part
}

// wait estimates the time until the kind's next request starts: in its turn by rank in what the floors of others leave, or sooner by its floor.
func (k *kind) wait(slots, ahead, own, floors float64) float64 {
	slots = max(slots, 1)
	if k.rule.Capped {
		slots = max(min(slots, float64(k.rule.Most)), 1)
	}
	byRank := (ahead + own + 1) / (slots * max(1-floors, k.rule.Floor, leastPart)) * k.service
	if k.rule.Floor == 0 {
		return byRank
	}
	missing := max((own+1)*k.service-k.credit, 0)
	return min(byRank, missing/(k.rule.Floor*slots)+k.service/slots)
}

// AheadOf returns how many waiting requests go before a new one of a kind by rank.
func (q *Queue) AheadOf(name string) int {
	own := q.byName[name]
	if own == nil {
		return 0
	}
	n := 0
	for _, k := range q.kinds {
		if k.rule.Rank <= own.rule.Rank {
			n += len(k.items)
		}
	}
	return n
}

// ahead estimates how many requests of the kind start before the next one of a caller.
func (k *kind) ahead(name string) int {
	mine := 0
	if c := k.callers[name]; c != nil {
		mine = c.queued
	}
	return min(len(k.items), (mine+1)*len(k.callers))
}

func (k *kind) push(r *daisygap.Request, now daisygap.Millis) *Item {
	c := k.callers[r.Caller]
	if c == nil {
		c = &caller{last: k.virtual}
		k.callers[r.Caller] = c
	}
	c.queued++
	c.last = max(c.last, k.virtual) + 1
	it := &Item{Request: r, Arrived: now, kind: k, tag: c.last}
	heap.Push(&k.items, it)
	return it
}

func (k *kind) pop() *Item {
	it := heap.Pop(&k.items).(*Item)
	k.virtual = max(k.virtual, it.tag-1)
	k.forget(it)
	return it
}

func (k *kind) remove(it *Item) {
	heap.Remove(&k.items, it.index)
	k.forget(it)
}

func (k *kind) forget(it *Item) {
	c := k.callers[it.Request.Caller]
	c.queued--
	if c.queued == 0 {
		delete(k.callers, it.Request.Caller)
	}
}

// evictFor frees a place taken by the caller with the most waiting requests, if that is clearly more than the new caller has.
func (k *kind) evictFor(name string) *Item {
	mine := 0
	if c := k.callers[name]; c != nil {
		mine = c.queued
	}
	busiest, most := "", mine+1
	for n, c := range k.callers {
		if c.queued > most || (c.queued == most && busiest != "" && n < busiest) {
			busiest, most = n, c.queued
		}
	}
	if busiest == "" {
		return nil
	}
	var last *Item
	for _, it := range k.items {
		if it.Request.Caller == busiest && (last == nil || it.tag > last.tag) {
			last = it
		}
	}
	k.remove(last)
	return last
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].Request.Deadline < h[j].Request.Deadline
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.index = -1
	return it
}
