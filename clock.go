package daisygap

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Duration converts a duration in milliseconds to time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Span is a duration written as text with its unit, such as "2.5s". The empty string means no duration.
type Span string

// Millis parses the duration, and rejects negative ones.
func (s Span) Millis() (Millis, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(string(s))
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%q is not a non-negative duration with a unit", string(s))
	}
	return Millis(d / time.Millisecond), nil
}

// Clock reads a monotonic clock. The zero value reads the clock of the process.
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

// Now returns the milliseconds since a start that is arbitrary but fixed for the life of the process.
func (c *Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(time.Since(processStart) / time.Millisecond)
}

// Wall returns the milliseconds since the Unix epoch, for timestamps in records.
func (c *Clock) Wall() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(time.Now().UnixMilli())
}

// Advance moves a manual clock forward by a duration. The clock must come from NewManualClock.
func (c *Clock) Advance(span Millis) {
	c.manual.Add(int64(span))
}
