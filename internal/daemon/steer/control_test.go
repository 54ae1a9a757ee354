package steer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// applyWithin and drainWithin are the platform's bounds for a configuration and for a leaving server.
const (
	applyWithin = 2500 * time.Millisecond
	drainWithin = 2500 * time.Millisecond
)

// resolve asks a daemon's directory as a caller does.
func (w *world) resolve(d *site.Daemon, region, domain string) []string {
	w.t.Helper()
	q := url.Values{"name": {site.Host}, "region": {region}, "zone": {domain}}
	res, err := http.Get("http://" + d.Settings.Steering.DirectoryAddress + "/resolution?" + q.Encode())
	w.must(err)
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil
	}
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	w.must(json.NewDecoder(res.Body).Decode(&answer))
	if answer.TTL != "2000ms" {
		w.t.Errorf("the answer may be kept for %q", answer.TTL)
	}
	return answer.Addresses
}

func (w *world) serves(d *site.Daemon, path string) bool {
	return w.ask(newClient(w.t), d, http.MethodGet, path, "").status == http.StatusOK
}

func TestDirectoryNamesLivingHostsOfTheRegion(t *testing.T) {
	w := start(t, "n-1", "n-2", "s-1")
	d, other, south := w.daemons[0], w.daemons[1], w.daemons[2]
	both := []string{d.Settings.CallerAddress, other.Settings.CallerAddress}
	w.await("the region's hosts", func() bool { return cmp.Equal(both, w.resolve(d, "north", "n-1")) })
	w.await("the south's host", func() bool { return cmp.Equal([]string{south.Settings.CallerAddress}, w.resolve(d, "south", "s-1")) })
	other.Stop()
	if !site.Await(7*time.Second, func() bool { return cmp.Equal(both[:1], w.resolve(d, "north", "n-1")) }) {
		t.Error("a dead host is still named after seven seconds")
	}
}

func TestConfigurationReachesDaemonsThatTheStoreTurnsAway(t *testing.T) {
	w := start(t, "n-1", "n-2", "s-1")
	w.await("the daemons to hear of each other", func() bool { return len(w.resolve(w.daemons[2], "north", "n-1")) == 2 })
	w.Store.Partition("host-2", true)
	time.Sleep(100 * time.Millisecond)
	w.must(w.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	if !site.Await(applyWithin, func() bool { return w.serves(w.daemons[2], "/new/1") }) {
		t.Error("a daemon that the store turns away didn't learn the new route in time")
	}
	w.must(w.Put("op/evacuate/n-1", []byte("{}")))
	time.Sleep(applyWithin)
	before := len(w.servers["n-1-stock"].Runs())
	for i := range 30 {
		w.ask(newClient(t), w.daemons[2], http.MethodGet, fmt.Sprintf("/reads/%d", i), "")
	}
	if n := len(w.servers["n-1-stock"].Runs()); n != before {
		t.Errorf("%d requests reached an evacuated domain", n-before)
	}
}

func TestNothingRevertsAndDroppedRoutesEnd(t *testing.T) {
	w := start(t, "n-1", "s-1")
	w.must(w.Configure(routes[1:]))
	for _, d := range w.daemons {
		if !site.Await(applyWithin, func() bool { return !w.serves(d, "/reads/1") }) {
			t.Error("a route that was removed is still served")
		}
	}
	w.Store.Memory.Compact()
	w.must(w.Configure(routes[2:]))
	for _, d := range w.daemons {
		if !site.Await(applyWithin, func() bool {
			return w.ask(newClient(t), d, http.MethodPost, "/orders/1", "").status == http.StatusNotFound
		}) {
			t.Error("after the store forgot its history a change didn't arrive")
		}
	}
}

func TestStartWhileTheStoreIsAway(t *testing.T) {
	w := start(t, "n-1", "n-2")
	w.Store.SetFaults(store.Faults{Down: true})
	late, err := w.Start("late", "s-1", w.daemons[0].Settings.PeerAddress)
	w.must(err)
	if !site.Await(3*time.Second, func() bool { return late.Listeners.Daemon.Ready() && w.serves(late, "/reads/1") }) {
		t.Error("a daemon that starts during an outage didn't learn from the others")
	}
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	w := start(t)
	w.Store.SetFaults(store.Faults{Down: true})
	d, err := w.Start("alone", "n-1")
	w.must(err)
	got := w.ask(newClient(t), d, http.MethodGet, "/reads/1", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if d.Listeners.Daemon.Ready() {
		t.Error("a daemon without a configuration says it is ready")
	}
	w.Store.SetFaults(store.Faults{})
	w.await("the configuration", func() bool { return w.serves(d, "/reads/1") })
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, how := range []string{"draining", "removed"} {
		t.Run(how, func(t *testing.T) {
			w := start(t, "n-1", "s-1")
			leaving := w.servers["n-1-stock"]
			if how == "draining" {
				leaving.SetDraining()
				w.must(w.Register(leaving))
			} else {
				w.must(w.Put("servers/"+leaving.ID, nil))
			}
			time.Sleep(drainWithin)
			before := len(leaving.Runs())
			w.flood(40, 2)
			if n := len(leaving.Runs()); n != before {
				t.Errorf("%d requests reached it", n-before)
			}
		})
	}
}

func TestLapsedServersAreKeptUntilTheyAreBack(t *testing.T) {
	w := start(t, "n-1", "n-2")
	for id := range w.servers {
		w.must(w.Put("servers/"+id, nil))
	}
	time.Sleep(200 * time.Millisecond)
	client := newClient(t)
	for i := range 10 {
		if got := w.ask(client, w.daemons[0], http.MethodGet, fmt.Sprintf("/reads/%d", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d while the entries are away", got.status)
		}
	}
	for _, s := range w.servers {
		if s.ID != "s-1-stock" {
			w.must(w.Register(s))
		}
	}
	time.Sleep(drainWithin)
	before := len(w.servers["s-1-stock"].Runs())
	w.flood(30, 2)
	if n := len(w.servers["s-1-stock"].Runs()); n != before {
		t.Errorf("%d requests reached a server that didn't come back", n-before)
	}
}

func TestEntriesOfOldProcessesAndStrangersAreIgnored(t *testing.T) {
	w := start(t, "n-1")
	s := w.servers["n-1-desk"]
	old := s.Entry()
	s.SetDraining()
	w.must(w.Register(s))
	w.must(w.Put("servers/"+s.ID, old))
	for i, value := range []string{
		`{`, `[]`, `"x"`, `{"service":7}`, `{"service":"desk","address":"127.0.0.1:1","zone":"n-1","slots":0,"state":"ready","sequence":1}`,
		`{"service":"desk","address":"nowhere","zone":"n-1","slots":5,"state":"ready","sequence":1}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"n-1","slots":5,"state":"asleep","sequence":1}`,
	} {
		w.must(w.Put(fmt.Sprintf("servers/strange-%d", i), []byte(value)))
	}
	time.Sleep(300 * time.Millisecond)
	client := newClient(t)
	for i := range 20 {
		if got := w.ask(client, w.daemons[0], http.MethodPost, fmt.Sprintf("/orders/%d", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	if n := len(s.Runs()); n > 0 {
		t.Errorf("%d requests reached a draining server by an old entry", n)
	}
}

// TestPlannedStopCutsNothing stops a daemon while callers go on using their connections until it is gone.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := start(t, "n-1", "n-2")
	for _, s := range w.servers {
		s.ServiceTime = 150
	}
	d := w.daemons[0]
	w.await("the other host", func() bool { return len(w.resolve(w.daemons[1], "north", "n-1")) == 2 })
	stop := make(chan struct{})
	var mu sync.Mutex
	var results []asked
	var group sync.WaitGroup
	for n := range 8 {
		client := newClient(t)
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/orders/%d-%d", n, i)
				r := w.ask(client, d, http.MethodPost, path, "")
				mu.Lock()
				results = append(results, asked{r, path})
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.Listeners.Daemon.Leave()
	if d.Listeners.Daemon.Ready() {
		t.Error("a leaving daemon says it is ready")
	}
	if !site.Await(time.Second, func() bool { return len(w.resolve(w.daemons[1], "north", "n-1")) == 1 }) {
		t.Error("a leaving daemon is still named after a second")
	}
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := d.Listeners.ShutdownCallers(ctx); err != nil {
		t.Error(err)
	}
	if cut := d.Listeners.Daemon.AwaitDrain(ctx); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
	close(stop)
	group.Wait()
	runs := w.runs()
	for _, r := range results {
		if r.broken && runs[r.id] > 0 {
			t.Errorf("an order that ran got no answer")
		}
	}
	w.checkPromises(results)
}

func TestHostsEntryIsWrittenAgainWhenItIsTakenAway(t *testing.T) {
	w := start(t, "n-1")
	key := "daisygap/hosts/host-0"
	registered := func() bool {
		e, err := w.Store.Memory.Get(context.Background(), key)
		return err == nil && e.Revision > 0
	}
	w.await("the entry", registered)
	w.must(w.Put(key, nil))
	w.await("the entry again", registered)
}

func TestLostAnswersOfTheStore(t *testing.T) {
	w := start(t)
	w.Store.SetFaults(store.Faults{DropResponses: 3})
	d, err := w.Start("host-9", "n-1")
	w.must(err)
	w.await("its entry", func() bool {
		e, err := w.Store.Memory.Get(context.Background(), "daisygap/hosts/host-9")
		return err == nil && e.Revision > 0
	})
	if !w.serves(d, "/reads/1") {
		t.Error("not served")
	}
}

// TestRetryBudgetHoldsOverAllDaemons has every server shed, and counts the arrivals beyond the first of each request.
func TestRetryBudgetHoldsOverAllDaemons(t *testing.T) {
	const (
		ratio = 0.2
		slack = 60
	)
	w := start(t, "n-1", "n-2", "s-1")
	w.setFault(instance.Fail, "stock")
	w.setFault(instance.Fail, "desk")
	w.flood(120, 6)
	first, more := 0, 0
	for _, n := range w.runs() {
		first++
		more += n - 1
	}
	if float64(more) > ratio*float64(first)+slack {
		t.Errorf("%d repeats of %d requests", more, first)
	}
}

// TestManyServersThatLeaveAtOnceGetNoNewWork removes the entries of four of six servers while the store is sound; their last requests must come within the bound.
func TestManyServersThatLeaveAtOnceGetNoNewWork(t *testing.T) {
	w := start(t, "n-1", "s-1")
	// The daemons' own periods have begun, and a change just before makes them gather what follows.
	time.Sleep(300 * time.Millisecond)
	w.must(w.Configure(routes))
	removed := time.Now()
	var gone []*instance.Server
	for _, id := range []string{"n-1-stock", "n-2-stock", "n-1-desk", "n-2-desk"} {
		gone = append(gone, w.servers[id])
		w.must(w.Put("servers/"+id, nil))
	}
	for time.Since(removed) < drainWithin+time.Second {
		w.flood(20, 2)
	}
	for _, s := range gone {
		for _, r := range s.Runs() {
			if after := r.At.Sub(removed); after > drainWithin {
				t.Errorf("%s got a request %v after its entry was removed", s.ID, after)
				break
			}
		}
	}
}

// TestFewDaemonsWatchTheStore has five daemons of one region, of which two may wait at the store, and a change that reaches all.
func TestFewDaemonsWatchTheStore(t *testing.T) {
	w := start(t, "n-1", "n-1", "n-2", "n-2", "n-2")
	w.settleRelays()
	w.must(w.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	changed := time.Now()
	for _, d := range w.daemons {
		w.await("the new route", func() bool { return w.serves(d, "/new/1") })
	}
	if took := time.Since(changed); took > time.Second {
		t.Errorf("the change took %v", took)
	}
}

// settleRelays wakes the watches that began before the daemons knew each other, until at most two of them wait.
func (w *world) settleRelays() {
	w.t.Helper()
	w.await("few watches", func() bool {
		w.must(w.Put("elsewhere/x", []byte("x")))
		time.Sleep(400 * time.Millisecond)
		n := w.Store.Memory.Counts().Waiting
		return n > 0 && n <= 2
	})
}

// TestRelayThatDiesIsReplaced kills daemons one after another, and changes the configuration right after each.
func TestRelayThatDiesIsReplaced(t *testing.T) {
	w := start(t, "n-1", "n-1", "n-2", "n-2", "n-2")
	w.settleRelays()
	for i, d := range w.daemons[:4] {
		d.Stop()
		prefix := fmt.Sprintf("/new%d/", i)
		w.must(w.Configure(append(routes, site.Route{Name: "new", Prefix: prefix, Kind: "safe", Pool: "stock"})))
		for _, d := range w.daemons[i+1:] {
			if !site.Await(applyWithin, func() bool { return w.serves(d, prefix) }) {
				t.Errorf("after %d deaths a change didn't arrive in time", i+1)
			}
		}
	}
}

// TestSilentWatchesAreNoticed leaves the waiting watches without an answer for good, and changes the configuration once the store is back.
func TestSilentWatchesAreNoticed(t *testing.T) {
	w := start(t, "n-1", "n-2", "s-1")
	time.Sleep(500 * time.Millisecond)
	w.Store.SetFaults(store.Faults{Silent: true})
	time.Sleep(300 * time.Millisecond)
	w.Store.SetFaults(store.Faults{})
	w.must(w.Configure(append(routes, site.Route{Name: "new", Prefix: "/new/", Kind: "safe", Pool: "stock"})))
	changed := time.Now()
	for _, d := range w.daemons {
		if !site.Await(contactWindow+applyWithin-time.Since(changed), func() bool { return w.serves(d, "/new/1") }) {
			t.Error("a change after the outage didn't arrive in time")
		}
	}
}

// TestLeavingServerIsKnownToDaemonsThatTheStoreTurnsAway removes a server while one daemon has trouble with the store that the others don't have.
func TestLeavingServerIsKnownToDaemonsThatTheStoreTurnsAway(t *testing.T) {
	w := start(t, "n-1", "n-2", "s-1")
	w.await("the daemons to hear of each other", func() bool { return len(w.resolve(w.daemons[2], "north", "n-1")) == 2 })
	w.Store.Partition("host-2", true)
	time.Sleep(contactWindow)
	leaving := w.servers["s-1-stock"]
	removed := time.Now()
	w.must(w.Put("servers/"+leaving.ID, nil))
	client := newClient(t)
	for i := 0; time.Since(removed) < drainWithin+time.Second; i++ {
		w.ask(client, w.daemons[2], http.MethodGet, fmt.Sprintf("/reads/%d", i%40), "")
	}
	for _, r := range leaving.Runs() {
		if after := r.At.Sub(removed); after > drainWithin {
			t.Errorf("a request reached it %v after its entry was removed", after)
			break
		}
	}
}
