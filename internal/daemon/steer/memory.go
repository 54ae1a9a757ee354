package steer

import (
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/policy/placement"
	"github.com/daisygap/daisygap/internal/policy/quota"
)

const (
	// requestMemoryShare is the inverse of the fraction of the process's memory that request and response bodies may hold. Connections,
	// the replica of the store and garbage need the rest.
	requestMemoryShare = 5
	// defaultRequestMemory is the budget in bytes if the process's memory isn't limited.
	defaultRequestMemory = 256 << 20
	// minBufferedResponse is the number of bytes of a response's body that are buffered although the budget is used up.
	minBufferedResponse = 4 << 10
)

// memoryBudget returns the number of bytes that request and response bodies may hold.
func memoryBudget(memoryMB int) int64 {
	if memoryMB == 0 {
		return defaultRequestMemory
	}
	return int64(memoryMB) << 20 / requestMemoryShare
}

// shortBuffers counts the responses of which less was buffered because the budget was used up.
var shortBuffers = metrics.NewCounter(`daisygap_short_response_buffers_total`)

// reservation is the memory that an exchange holds. It is safe for concurrent use, because a second copy of a request may outlast the
// exchange.
type reservation struct {
	mu    sync.Mutex
	bytes int64
	ended bool
}

// take reserves n bytes more, and returns false if the budget has no room for them or the exchange has ended.
func (r *reservation) take(take func(n int64, priority int) bool, n int64, priority int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !take(n, priority) {
		return false
	}
	r.bytes += n
	return true
}

// give returns n bytes.
func (r *reservation) give(b *quota.Bytes, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.bytes -= n
		b.Release(n)
	}
}

// end returns all bytes.
func (r *reservation) end(b *quota.Bytes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Release(r.bytes)
	r.bytes, r.ended = 0, true
}

// takeBytes reserves memory until the exchange ends.
func (e *exchange) takeBytes(n int64) bool {
	return e.held.take(e.d.memory.Take, n, e.route.Priority)
}

// takeBodyBytes reserves memory for a body. A body that is announced as small may use all of the budget. If nothing is left for the first
// part of a body, the connection of another caller that doesn't go on is closed.
func (e *exchange) takeBodyBytes(n int64) bool {
	budget, large := e.d.memory.Take, e.in.ContentLength < 0 || e.in.ContentLength > minStreamedBody
	if large {
		budget = e.d.memory.TakeLarge
	}
	take := func() bool { return e.held.take(budget, n, e.route.Priority) }
	conn := listen.FromContext(e.in.Context())
	if !take() && (len(e.body) >= minStreamedBody || !conn.Reclaim(large, take)) {
		return false
	}
	conn.Hold(n)
	return true
}

// beginForward records that the request is passed to an upstream, after which its caller's connection isn't closed. It refuses the request
// and returns false if too many requests are at upstreams.
func (e *exchange) beginForward() bool {
	d := e.d
	if n := d.forwardCount.Add(1); d.maxForwards > 0 && n > d.maxForwards {
		d.forwardCount.Add(-1)
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonQueueFull, placement.Choice{RetryAfter: memoryRetryAfter})
		return false
	}
	if !listen.FromContext(e.in.Context()).Pass() {
		d.forwardCount.Add(-1)
		e.abort("caller closed", nil)
	}
	return true
}

// reserveResponse reserves memory for the start of a response whose body has n bytes, or an unknown number if n is negative, and returns
// how many bytes to buffer. If the budget is used up, a longer response is streamed from its first bytes on.
func (e *exchange) reserveResponse(a *attempt, n int64) int {
	size := int64(maxBufferedResponse)
	if n >= 0 {
		size = min(n, size)
	}
	if e.takeBytes(size) {
		a.reserved = size
		return maxBufferedResponse
	}
	shortBuffers.Inc()
	return minBufferedResponse
}
