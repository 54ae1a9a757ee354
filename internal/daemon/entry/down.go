package entry

import (
	"sync"

	"github.com/daisygap/daisygap"
)

// downSpan is how long a host that could not be reached gets nothing, in milliseconds.
const downSpan = daisygap.Millis(2_000)

// down remembers the hosts that this daemon could not reach a moment ago, before their domain's record says so.
type down struct {
	mu    sync.RWMutex
	until map[string]daisygap.Millis
}

func (d *down) add(host string, now daisygap.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]daisygap.Millis)
	}
	for name, until := range d.until {
		if now >= until {
			delete(d.until, name)
		}
	}
	d.until[host] = now + downSpan
}

func (d *down) has(clock *daisygap.Clock) func(host string) bool {
	return func(host string) bool {
		d.mu.RLock()
		defer d.mu.RUnlock()
		return clock.Now() < d.until[host]
	}
}
