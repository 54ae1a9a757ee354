package steer

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

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
func (r *reservation) take(b *quota.Bytes, n int64, priority int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !b.Take(n, priority) {
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
	return e.held.take(&e.d.memory, n, e.route.Priority)
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
