package entry

import (
	"sync"

	"github.com/daisygap/daisygap"
)

// unreachableHold is how long a host that could not be reached gets nothing, in milliseconds.
const unreachableHold = daisygap.Millis(2_000)

// unreachableHosts remembers the hosts that this daemon could not reach a moment ago, before their domain's record says so.
type unreachableHosts struct {
	mu    sync.RWMutex
	until map[string]daisygap.Millis
}

func (d *unreachableHosts) add(host string, now daisygap.Millis) {
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
	d.until[host] = now + unreachableHold
}

func (d *unreachableHosts) contains(clock *daisygap.Clock) func(host string) bool {
	return func(host string) bool {
		d.mu.RLock()
		defer d.mu.RUnlock()
		return clock.Now() < d.until[host]
	}
}
