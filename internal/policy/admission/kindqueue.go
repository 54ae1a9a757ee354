package admission

import (
	"container/heap"

	"github.com/daisygap/daisygap"
)

// deviationMargin is the number of deviations above the mean that bounds the service time of most requests.
const deviationMargin = 1

// minRankShare is the smallest fraction of the slots that the wait estimate assumes for a kind served by rank.
const minRankShare = 0.05

// kindQueue holds the queued requests of one kind, ordered by fair-queueing finish tag and then by deadline. Each queued
// request advances its caller's tag by one, so callers take turns whatever their number of requests.
type kindQueue struct {
	rule     Rule
	requests requestHeap
	callers  map[string]*callerState
	// virtualTime is the highest start tag (the finish tag less one) of the requests taken from the queue.
	virtualTime uint64
	running     int
	// meanService and serviceDeviation are moving averages of the service time and of its absolute deviation, in milliseconds.
	meanService      float64
	serviceDeviation float64
	// credit is the slot time in milliseconds that the kind has earned by its floor and not used yet.
	credit    float64
	lastStart daisygap.Millis
}

// callerState is the fair-queueing state of one caller with queued requests.
type callerState struct {
	queued int
	// lastFinish is the finish tag of the caller's last queued request.
	lastFinish uint64
}

// requiredTime returns the time that must be left before the deadline when a request starts. If other requests wait for
// the slot, the deviation is added, so that the slot goes to a request that most likely ends in time.
func (k *kindQueue) requiredTime(contested bool) float64 {
	if contested {
		return k.meanService + deviationMargin*k.serviceDeviation
	}
	return k.meanService
}

// hasFloorCredit reports whether the kind has earned enough credit to start a request under its floor.
func (k *kindQueue) hasFloorCredit() bool {
	return k.rule.Floor > 0 && k.credit >= max(k.meanService, 1)
}

// atCap reports whether a capped kind already runs as many requests as it may.
func (k *kindQueue) atCap() bool {
	return k.rule.Capped && k.running >= k.rule.MaxRunning
}

// estimateWait estimates the time until a new request of the kind starts: by rank in the slots that the floors of other
// kinds leave, or by the kind's own floor if that is sooner.
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

// estimateAhead estimates how many queued requests of the kind start before a new request of the caller.
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
	item := &QueuedRequest{Request: r, Arrived: now, queue: k, finishTag: c.lastFinish}
	heap.Push(&k.requests, item)
	return item
}

func (k *kindQueue) pop() *QueuedRequest {
	item := heap.Pop(&k.requests).(*QueuedRequest)
	k.virtualTime = max(k.virtualTime, item.finishTag-1)
	k.detachFromCaller(item)
	return item
}

func (k *kindQueue) remove(item *QueuedRequest) {
	heap.Remove(&k.requests, item.index)
	k.detachFromCaller(item)
}

// detachFromCaller updates the state of the caller whose request has left the queue.
func (k *kindQueue) detachFromCaller(item *QueuedRequest) {
	c := k.callers[item.Request.Caller]
	c.queued--
	if c.queued == 0 {
		delete(k.callers, item.Request.Caller)
	}
}

// evictFor removes and returns the last queued request of the caller with the most queued requests, to make room for a
// new request of the named caller. It returns nil if no caller has at least two more queued requests than that one.
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
	for _, item := range k.requests {
		if item.Request.Caller == busiest && (last == nil || item.finishTag > last.finishTag) {
			last = item
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
	item := x.(*QueuedRequest)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.index = -1
	return item
}
