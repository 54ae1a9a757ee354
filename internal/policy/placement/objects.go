package placement

import "github.com/daisygap/daisygap"

const (
	// objectPeriod is the time over which distinct objects are counted.
	objectPeriod = daisygap.Millis(8_000)
	// maxCountedObjects bounds the memory of the count.
	maxCountedObjects = 4_096
	// minRequestsPerObject is the mean number of requests for an object from which on its further requests are worth serving
	// at an upstream that has not served it yet.
	minRequestsPerObject = 2
)

// objectCounter counts the distinct objects of the current and the previous period.
type objectCounter struct {
	current, previous objectPeriodCount
	started           daisygap.Millis
}

// objectPeriodCount holds the objects of one period and the number of requests for them.
type objectPeriodCount struct {
	objects  map[uint64]struct{}
	requests int
}

func (c *objectCounter) record(object uint64) {
	if c.current.objects == nil {
		c.current.objects = make(map[uint64]struct{})
	}
	c.current.requests++
	if len(c.current.objects) < maxCountedObjects {
		c.current.objects[object] = struct{}{}
	}
}

// rotate starts a new period when the current one is over, and reports whether it did.
func (c *objectCounter) rotate(now daisygap.Millis) bool {
	if now-c.started < objectPeriod {
		return false
	}
	c.previous, c.current, c.started = c.current, objectPeriodCount{}, now
	return true
}

// repeated returns the number of distinct objects in the period that has more of them, or 0 if they are rarely requested again.
func (c *objectCounter) repeated() int {
	period := c.current
	if len(c.previous.objects) > len(period.objects) {
		period = c.previous
	}
	if period.requests < minRequestsPerObject*len(period.objects) {
		return 0
	}
	return len(period.objects)
}
