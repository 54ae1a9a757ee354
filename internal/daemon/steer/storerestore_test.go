package steer_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/internal/standin/store"
)

var restoreRoutes = append(slices.Clone(routes), site.Route{Name: "late", Prefix: "/late/", Kind: "safe", Pool: "late"})

// changedAfterCopy is a site whose store holds changes that an older copy of it lacks.
type changedAfterCopy struct {
	*testSite
	copied *store.Copy
	joined *instance.Server
	// unused are the servers that must get no requests.
	unused []*instance.Server
}

func changeAfterCopy(t *testing.T) *changedAfterCopy {
	t.Helper()
	ts := start(t, "n-1", "n-2", "s-1")
	c := &changedAfterCopy{testSite: ts, copied: ts.Store.Memory.Copy()}
	c.unused = []*instance.Server{ts.servers["n-2-stock"], ts.servers["n-2-desk"], ts.servers["n-1-desk"], ts.servers["n-1-stock"]}
	ts.must(ts.Configure(restoreRoutes))
	c.joined = ts.startServer("joined", "late", "s-1")
	c.writeOthers()
	for _, d := range ts.daemons {
		ts.await("the new route", func() bool { return ts.serves(d, "/late/1") })
	}
	time.Sleep(maxApplyTime)
	return c
}

// writeOthers evacuates a domain, drains a server and removes another one.
func (c *changedAfterCopy) writeOthers() {
	c.must(c.Put("op/evacuate/n-2", []byte("{}")))
	c.servers["n-1-stock"].SetDraining()
	c.must(c.Register(c.servers["n-1-stock"]))
	c.must(c.Put("servers/n-1-desk", nil))
}

// restore lets the store be away for a moment and come back from the copy.
func (c *changedAfterCopy) restore() {
	c.Store.SetFaults(store.Faults{Down: true})
	time.Sleep(200 * time.Millisecond)
	c.Store.Memory.Restore(c.copied)
	c.Store.SetFaults(store.Faults{})
}

func (c *changedAfterCopy) unusedRuns() int {
	count := 0
	for _, s := range c.unused {
		count += len(s.Runs())
	}
	return count
}

func TestRestoredStoreTakesNothingBack(t *testing.T) {
	c := changeAfterCopy(t)
	before := c.unusedRuns()
	c.restore()
	for started, n := time.Now(), 0; time.Since(started) < 1500*time.Millisecond; n++ {
		for i, d := range c.daemons {
			if got := c.sendRequest(newClient(t), d, http.MethodGet, fmt.Sprintf("/late/%d", n), ""); got.status != http.StatusOK {
				t.Errorf("host-%d: status %d on a route written after the copy, %v after the restore", i, got.status, time.Since(started))
			}
			c.sendRequest(newClient(t), d, http.MethodGet, fmt.Sprintf("/reads/%d", n), "")
			c.sendRequest(newClient(t), d, http.MethodPost, fmt.Sprintf("/orders/%d", n), "")
		}
		if t.Failed() {
			return
		}
	}
	if n := c.unusedRuns() - before; n > 0 {
		t.Errorf("%d requests reached servers that leave, were removed or are in an evacuated domain", n)
	}
}

func TestRestoredStoreIsFollowed(t *testing.T) {
	c := changeAfterCopy(t)
	c.restore()
	time.Sleep(time.Second)
	c.must(c.Configure(restoreRoutes[1:]))
	c.must(c.Register(c.joined))
	c.writeOthers()
	for i, d := range c.daemons {
		if !site.Await(maxApplyTime, func() bool { return !c.serves(d, "/reads/1") && c.serves(d, "/late/1") }) {
			t.Errorf("host-%d doesn't follow the store 2.5 s after a change that followed its restore", i)
		}
	}
	calls := c.Store.Memory.Counts()
	time.Sleep(2 * time.Second)
	after := c.Store.Memory.Counts()
	// Watches of 1.5 s by two relays of one region and the daemon of the other.
	if n := after.Watches - calls.Watches; n > 12 {
		t.Errorf("%d watches in 2 s after a restore, want at most 12", n)
	}
	if n := after.Reads - calls.Reads; n > 6 {
		t.Errorf("%d reads in 2 s after a restore, want at most 6", n)
	}
	c.must(c.Put("op/evacuate/n-2", nil))
	c.await("the domain to be used again", func() bool {
		c.sendRequest(newClient(t), c.daemons[1], http.MethodPost, "/orders/1", "")
		return len(c.servers["n-2-desk"].Runs()) > 0
	})
}

// TestCopyCountsIfNobodyWritesAgain guards against a domain and a server that stay out of use for good because nobody writes the evacuation or
// the removal again.
func TestCopyCountsIfNobodyWritesAgain(t *testing.T) {
	c := changeAfterCopy(t)
	before := len(c.servers["n-1-desk"].Runs())
	c.restore()
	if !site.Await(15*time.Second, func() bool {
		for i := range 10 {
			c.sendRequest(newClient(t), c.daemons[1], http.MethodPost, fmt.Sprintf("/orders/%d", i), "")
		}
		return len(c.servers["n-2-desk"].Runs()) > 0 && len(c.servers["n-1-desk"].Runs()) > before
	}) {
		t.Errorf("15 s after a restore the domain whose evacuation it lost got %d requests, the server whose removal it lost %d",
			len(c.servers["n-2-desk"].Runs()), len(c.servers["n-1-desk"].Runs())-before)
	}
}
