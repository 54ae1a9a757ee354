package entry

import (
	"math"
	"runtime/debug"

	"github.com/daisygap/daisygap/internal/adapter/caller"
	"github.com/daisygap/daisygap/internal/adapter/listen"
)

const (
	// requestMemoryShare is the inverse of the fraction of the process's memory that the parts of bodies may hold that are read before a
	// slot is acquired.
	requestMemoryShare = 5
	// defaultRequestMemory is the budget in bytes if GOMEMLIMIT isn't set.
	defaultRequestMemory = 256 << 20
)

// requestMemory returns the number of bytes that bodies may hold.
func requestMemory() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return defaultRequestMemory
	}
	return limit / requestMemoryShare
}

// takeBody reserves memory for the first part of a body, for which the connection of another caller that doesn't go on may be closed. It
// returns false if there is none. The returned function releases the memory.
func (d *Daemon) takeBody(conn *listen.Conn, length int64) (release func(), ok bool) {
	if length == 0 {
		return func() {}, true
	}
	n, budget, large := int64(caller.MaxBodyPrefix), d.memory.TakeLarge, true
	if length > 0 && length <= n {
		n, budget, large = length, d.memory.Take, false
	}
	take := func() bool { return budget(n, 0) }
	if !take() && !conn.Reclaim(large, take) {
		return nil, false
	}
	conn.Hold(n)
	return func() { d.memory.Release(n) }, true
}

// beginSend counts the exchange among those that send requests, and returns false if there are too many.
func (e *exchange) beginSend() bool {
	if e.sending {
		return true
	}
	d := e.d
	if n := d.sendCount.Add(1); d.maxSends > 0 && n > d.maxSends {
		d.sendCount.Add(-1)
		return false
	}
	e.sending = true
	return true
}

// endSend ends what beginSend began.
func (e *exchange) endSend() {
	if e.sending {
		e.d.sendCount.Add(-1)
	}
}
