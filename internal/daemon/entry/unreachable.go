package entry

import (
	"sync"

	"github.com/daisygap/daisygap"
)

// unreachableHold is how long a host gets no requests after it could not be reached, in milliseconds.
const unreachableHold = daisygap.Millis(2_000)

// unreachableHosts holds the hosts that this daemon could not reach recently. It bridges the time until the gossip record
// of their domain no longer lists them.
type unreachableHosts struct {
	mu    sync.RWMutex
	until map[string]daisygap.Millis
}

func (u *unreachableHosts) add(host string, now daisygap.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = make(map[string]daisygap.Millis)
	}
	for name, until := range u.until {
		if now >= until {
			delete(u.until, name)
		}
	}
	u.until[host] = now + unreachableHold
}

func (u *unreachableHosts) contains(clock *daisygap.Clock) func(host string) bool {
	return func(host string) bool {
		u.mu.RLock()
		defer u.mu.RUnlock()
		return clock.Now() < u.until[host]
	}
}
