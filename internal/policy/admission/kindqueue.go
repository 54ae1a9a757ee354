package admission

import (
	"container/heap"

	"github.com/daisygap/daisygap"
)

// Deviations beyond the mean service time that few requests exceed.
const deviationMargin = 1

// The least part of the slots that a kind is taken to get in its turn by rank.
const minRankShare = 0.05

// kindQueue holds the requests of one kindQueue, ordered by fair-queueing tag and then by deadline.
type kindQueue struct {
	rule        Rule
	requests    requestHeap
	callers     map[string]*callerState
	virtualTime uint64
	running     int
	// meanService is the mean meanService time, and deviation how far it mostly lies off.
	meanService      float64
	serviceDeviation float64
	credit           float64
	lastStart        daisygap.Millis
}

type callerState struct {
	queued     int
	lastFinish uint64
}

// requiredTime is the time that must be left at the start; when others wait for the slot, it goes to one that most likely ends in time.
func (k *kindQueue) requiredTime(contested bool) float64 {
	if contested {
		return k.meanService + deviationMargin*k.serviceDeviation
	}
	return k.meanService
}

// hasFloorCredit tells whether the kind may start work under its floor.
func (k *kindQueue) hasFloorCredit() bool {
	return k.rule.Floor > 0 && k.credit >= max(k.meanService, 1)
}

// atCap tells whether a capped kind runs as much as it may.
func (k *kindQueue) atCap() bool {
	return k.rule.Capped && k.running >= k.rule.MaxRunning
}

// estimateWait estimates the time until the kind's next request starts: in its turn by rank in what the floors of others leave, or sooner by its floor.
func (k *kindQueue) estimateWait(slots, ahead, own, floors float64) float64 {
	slots = max(slots, 1)
	if k.rule.Capped {
		slots = max(min(slots, float64(k.rule.MaxRunning)), 1)
	}
	byRank := (ahead + own + 1) / (slots * max(1-floors, k.rule.Floor, minRankShare)) * k.meanService
	if k.rule.Floor == 0 {
		return byRank
	}
	missing := max((own+1)*k.meanService-k.credit, 0)
	return min(byRank, missing/(k.rule.Floor*slots)+k.meanService/slots)
}

// estimateAhead estimates how many requests of the kind start before the next one of a caller.
func (k *kindQueue) estimateAhead(name string) int {
	queued := 0
	if c := k.callers[name]; c != nil {
		queued = c.queued
	}
	return min(len(k.requests), (queued+1)*len(k.callers))
}

func (k *kindQueue) push(r *daisygap.Request, now daisygap.Millis) *QueuedRequest {
	c := k.callers[r.Caller]
	if c == nil {
		c = &callerState{lastFinish: k.virtualTime}
		k.callers[r.Caller] = c
	}
	c.queued++
	c.lastFinish = max(c.lastFinish, k.virtualTime) + 1
	it := &QueuedRequest{Request: r, Arrived: now, queue: k, finishTag: c.lastFinish}
	heap.Push(&k.requests, it)
	return it
}

func (k *kindQueue) pop() *QueuedRequest {
	it := heap.Pop(&k.requests).(*QueuedRequest)
	k.virtualTime = max(k.virtualTime, it.finishTag-1)
	k.detachFromCaller(it)
	return it
}

func (k *kindQueue) remove(it *QueuedRequest) {
	heap.Remove(&k.requests, it.index)
	k.detachFromCaller(it)
}

func (k *kindQueue) detachFromCaller(it *QueuedRequest) {
	c := k.callers[it.Request.Caller]
	c.queued--
	if c.queued == 0 {
		delete(k.callers, it.Request.Caller)
	}
}

// evictFor frees a place taken by the caller with the most waiting requests, if that is clearly more than the new caller has.
func (k *kindQueue) evictFor(name string) *QueuedRequest {
	queued := 0
	if c := k.callers[name]; c != nil {
		queued = c.queued
	}
	busiest, highest := "", queued+1
	for n, c := range k.callers {
		if c.queued > highest || (c.queued == highest && busiest != "" && n < busiest) {
			busiest, highest = n, c.queued
		}
	}
	if busiest == "" {
		return nil
	}
	var last *QueuedRequest
	for _, it := range k.requests {
		if it.Request.Caller == busiest && (last == nil || it.finishTag > last.finishTag) {
			last = it
		}
	}
	k.remove(last)
	return last
}

type requestHeap []*QueuedRequest

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].Request.Deadline < h[j].Request.Deadline
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	it := x.(*QueuedRequest)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.index = -1
	return it
}
