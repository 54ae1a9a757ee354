package quota

import "sync/atomic"

const (
	// reservedPercent is the percentage of a budget that each priority leaves to the next higher one, down to maxReservedSteps
	// priorities.
	reservedPercent  = 10
	maxReservedSteps = 5
)

// largePercent is the percentage of a budget that large requests leave to small ones.
const largePercent = 25

// Bytes is a budget of memory for what requests hold. It is safe for concurrent use.
type Bytes struct {
	// Limit is the size of the budget in bytes.
	Limit int64

	used atomic.Int64
}

// Take reserves n bytes for a request with a priority, of which 0 is the highest, and reports whether they are available. The
// lower the priority, the larger the part of the budget that is left to others.
func (b *Bytes) Take(n int64, priority int) bool {
	return b.take(n, b.limitOf(priority))
}

// TakeLarge is Take for a large request, which leaves a part of the budget to small ones.
func (b *Bytes) TakeLarge(n int64, priority int) bool {
	return b.take(n, b.limitOf(priority)/100*(100-largePercent))
}

// limitOf returns the part of the budget that a priority may use.
func (b *Bytes) limitOf(priority int) int64 {
	return b.Limit - b.Limit/100*reservedPercent*int64(min(priority, maxReservedSteps))
}

func (b *Bytes) take(n, limit int64) bool {
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (b *Bytes) Release(n int64) {
	b.used.Add(-n)
}

// Used returns the number of reserved bytes.
func (b *Bytes) Used() int64 {
	return b.used.Load()
}
