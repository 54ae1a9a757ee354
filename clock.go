package daisygap

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Millis is a point on a clock, or a span of time, in milliseconds.
type Millis int64

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Span is a span of time as text with its unit, such as "2.5s"; "" is none.
type Span string

// Millis returns the span in milliseconds, or an error that says what was found.
func (s Span) Millis() (Millis, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(string(s))
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%q is no time with its unit", string(s))
	}
	return Millis(d / time.Millisecond), nil
}

// Clock reads a monotonic clock; the zero value follows the process's own clock.
type Clock struct {
	manual *atomic.Int64
}

var processStart = time.Now()

// NewManualClock returns a clock that moves only when Advance is called.
func NewManualClock(start Millis) *Clock {
	c := &Clock{manual: new(atomic.Int64)}
	c.manual.Store(int64(start))
	return c
}

// Now returns the milliseconds since an arbitrary start that is fixed for the life of the process.
func (c *Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(time.Since(processStart) / time.Millisecond)
}

// Wall returns the milliseconds since the Unix epoch, for records that people read.
func (c *Clock) Wall() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(time.Now().UnixMilli())
}

// Advance moves a manual clock forward by a span.
func (c *Clock) Advance(span Millis) {
	c.manual.Add(int64(span))
}
