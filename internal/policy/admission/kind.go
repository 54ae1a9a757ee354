package admission

import (
	"container/heap"

	"github.com/daisygap/daisygap"
)

// Deviations beyond the mean service time that few requests exceed.
const safeDeviations = 1

// The least part of the slots that a kind is taken to get in its turn by rank.
const leastPart = 0.05

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

// needed is the time that must be left at the start; when others wait for the slot, it goes to one that most likely ends in time.
func (k *kind) needed(contested bool) float64 {
	if contested {
		return k.service + safeDeviations*k.deviation
	}
	return k.service
}

// owed tells whether the kind may start work under its floor.
func (k *kind) owed() bool {
	return k.rule.Floor > 0 && k.credit >= max(k.service, 1)
}

// full tells whether a capped kind runs as much as it may.
func (k *kind) full() bool {
	return k.rule.Capped && k.running >= k.rule.MaxRunning
}

// wait estimates the time until the kind's next request starts: in its turn by rank in what the floors of others leave, or sooner by its floor.
func (k *kind) wait(slots, ahead, own, floors float64) float64 {
	slots = max(slots, 1)
	if k.rule.Capped {
		slots = max(min(slots, float64(k.rule.MaxRunning)), 1)
	}
	byRank := (ahead + own + 1) / (slots * max(1-floors, k.rule.Floor, leastPart)) * k.service
	if k.rule.Floor == 0 {
		return byRank
	}
	missing := max((own+1)*k.service-k.credit, 0)
	return min(byRank, missing/(k.rule.Floor*slots)+k.service/slots)
}

// ahead estimates how many requests of the kind start before the next one of a caller.
func (k *kind) ahead(name string) int {
	mine := 0
	if c := k.callers[name]; c != nil {
		mine = c.queued
	}
	return min(len(k.items), (mine+1)*len(k.callers))
}

func (k *kind) push(r *daisygap.Request, now daisygap.Millis) *QueuedRequest {
	c := k.callers[r.Caller]
	if c == nil {
		c = &caller{last: k.virtual}
		k.callers[r.Caller] = c
	}
	c.queued++
	c.last = max(c.last, k.virtual) + 1
	it := &QueuedRequest{Request: r, Arrived: now, kind: k, tag: c.last}
	heap.Push(&k.items, it)
	return it
}

func (k *kind) pop() *QueuedRequest {
	it := heap.Pop(&k.items).(*QueuedRequest)
	k.virtual = max(k.virtual, it.tag-1)
	k.forget(it)
	return it
}

func (k *kind) remove(it *QueuedRequest) {
	heap.Remove(&k.items, it.index)
	k.forget(it)
}

func (k *kind) forget(it *QueuedRequest) {
	c := k.callers[it.Request.Caller]
	c.queued--
	if c.queued == 0 {
		delete(k.callers, it.Request.Caller)
	}
}

// evictFor frees a place taken by the caller with the most waiting requests, if that is clearly more than the new caller has.
func (k *kind) evictFor(name string) *QueuedRequest {
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
	var last *QueuedRequest
	for _, it := range k.items {
		if it.Request.Caller == busiest && (last == nil || it.tag > last.tag) {
			last = it
		}
	}
	k.remove(last)
	return last
}

type itemHeap []*QueuedRequest

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
	it := x.(*QueuedRequest)
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
