package daisygap

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a point on a clock, or a span of time, in milliseconds.
type Millis int64

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// UnmarshalJSON reads a span as a number of milliseconds or as text with its unit, such as "2.5s".
func (m *Millis) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	text, err := strconv.Unquote(string(data))
	if err != nil {
		n, err := strconv.ParseInt(string(data), 10, 64)
		if err != nil {
			return fmt.Errorf("%s is no number of milliseconds", data)
		}
		*m = Millis(n)
		return nil
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%s is no time with its unit", data)
	}
	*m = Millis(span / time.Millisecond)
	return nil
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
