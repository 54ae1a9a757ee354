package steer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// TestFewDaemonsWatchTheStore checks that at most two of a region's five daemons watch the store, and that a change still
// reaches all of them within 1 s.
func TestFewDaemonsWatchTheStore(t *testing.T) {
	ts := start(t, "n-1", "n-1", "n-2", "n-2", "n-2")
	ts.settleRelays()
	ts.must(ts.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	changed := time.Now()
	for _, d := range ts.daemons {
		ts.await("the new route", func() bool { return ts.serves(d, "/new/1") })
	}
	if took := time.Since(changed); took > time.Second {
		t.Errorf("change took %v to reach all daemons, want at most 1 s", took)
	}
}

// settleRelays ends the watches that began before the daemons knew each other, by writing to the store until at most two
// watches are pending.
func (ts *testSite) settleRelays() {
	ts.t.Helper()
	ts.await("at most two pending watches", func() bool {
		ts.must(ts.Put("elsewhere/x", []byte("x")))
		time.Sleep(400 * time.Millisecond)
		n := ts.Store.Memory.Counts().Waiting
		return n > 0 && n <= 2
	})
}

// TestFailedRelayIsReplaced stops one daemon after another and changes the configuration right after each stop. Daemons that
// were waiting at the stopped one as their relay must still receive the change in time.
func TestFailedRelayIsReplaced(t *testing.T) {
	ts := start(t, "n-1", "n-1", "n-2", "n-2", "n-2")
	ts.settleRelays()
	for i, d := range ts.daemons[:4] {
		d.Stop()
		prefix := fmt.Sprintf("/new%d/", i)
		ts.must(ts.Configure(append(routes, site.Route{Name: "new", Prefix: prefix, Kind: "safe", Pool: "stock"})))
		for _, d := range ts.daemons[i+1:] {
			if !site.Await(maxApplyTime, func() bool { return ts.serves(d, prefix) }) {
				t.Errorf("after %d stopped daemons a change didn't arrive within 2.5 s", i+1)
			}
		}
	}
}

// TestHungWatchesAreDetected leaves the pending watches without a response forever, and changes the configuration once the
// store is available again. The daemons must give up the hung watches to receive the change.
func TestHungWatchesAreDetected(t *testing.T) {
	ts := start(t, "n-1", "n-2", "s-1")
	time.Sleep(500 * time.Millisecond)
	ts.Store.SetFaults(store.Faults{Silent: true})
	time.Sleep(300 * time.Millisecond)
	ts.Store.SetFaults(store.Faults{})
	ts.must(ts.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	changed := time.Now()
	for _, d := range ts.daemons {
		if !site.Await(faultReactionTime+maxApplyTime-time.Since(changed), func() bool { return ts.serves(d, "/new/1") }) {
			t.Error("change after the outage didn't arrive in time")
		}
	}
}

// TestRelaysThatLoseTheStoreAreReplaced turns all watching daemons away from the store while the others reach it.
func TestRelaysThatLoseTheStoreAreReplaced(t *testing.T) {
	ts := start(t, "n-1", "n-1", "n-2", "n-2", "n-2")
	ts.settleRelays()
	for _, d := range ts.daemons {
		if ts.Store.IsWatching(d.Settings.Host) {
			ts.Store.Partition(d.Settings.Host, true)
		}
	}
	ts.must(ts.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	changed := time.Now()
	for _, d := range ts.daemons {
		if !site.Await(maxApplyTime-time.Since(changed), func() bool { return ts.serves(d, "/new/1") }) {
			t.Errorf("%s doesn't serve the new route after 2.5 s", d.Settings.Host)
		}
	}
}

// TestRelayThatLostTheStoreReturns guards against a region that is left with one relay after an outage, because the other one follows it
// and makes no call by which it would notice that it reaches the store again.
func TestRelayThatLostTheStoreReturns(t *testing.T) {
	ts := start(t, "n-1", "n-1", "n-2")
	ts.settleRelays()
	watching := func() string {
		var hosts []string
		for _, d := range ts.daemons {
			if ts.Store.IsWatching(d.Settings.Host) {
				hosts = append(hosts, d.Settings.Host)
			}
		}
		return strings.Join(hosts, " ")
	}
	var relays string
	ts.await("two relays for 1 s", func() bool {
		relays = watching()
		time.Sleep(time.Second)
		return strings.Count(relays, " ") == 1 && watching() == relays
	})
	host, _, _ := strings.Cut(relays, " ")
	ts.Store.Partition(host, true)
	ts.await("the relay to lose the store", func() bool { return !ts.Store.IsWatching(host) })
	time.Sleep(300 * time.Millisecond)
	ts.Store.Partition(host, false)
	ts.await("the relay to watch the store again", func() bool { return ts.Store.IsWatching(host) })
}

// TestDelayedUpdateDoesNotProlongUseOfLeavingServer removes a server right after an outage of the store, while daemons ask each other
// for updates 1.2 s late. The time for which the entry may only have lapsed must not start anew at each daemon.
func TestDelayedUpdateDoesNotProlongUseOfLeavingServer(t *testing.T) {
	ts := startSite(t, &site.Site{Regions: regions, Routes: routes, MirrorDelay: 1200 * time.Millisecond}, "n-1", "n-1", "n-2", "n-2", "n-2")
	ts.settleRelays()
	ts.Store.SetFaults(store.Faults{Down: true})
	ts.must(ts.Put("elsewhere/x", []byte("y")))
	time.Sleep(300 * time.Millisecond)
	ts.Store.SetFaults(store.Faults{})
	ts.await("the relays to watch the store again", func() bool { return ts.Store.Memory.Counts().Waiting == 2 })
	leaving := ts.servers["n-1-stock"]
	// The change lets the followers' polls return, so that the removal falls into the delay before their next ones.
	ts.must(ts.Put("elsewhere/x", []byte("z")))
	time.Sleep(400 * time.Millisecond)
	removed := time.Now()
	ts.must(ts.Put("servers/"+leaving.ID, nil))
	for time.Since(removed) < maxDrainTime+time.Second {
		ts.flood(20, 2)
	}
	runs := leaving.Runs()
	if last := runs[len(runs)-1].At.Sub(removed); last > maxDrainTime {
		t.Errorf("last request reached the leaving server %v after its entry was removed, want at most %v", last, maxDrainTime)
	}
}
