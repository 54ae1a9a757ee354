package steer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/platform"
)

const (
	// coldStart and maxColdRequests are the cold time of a server that starts again, and the largest number of requests that it may get
	// in one second of it.
	coldStart       = 3_000
	maxColdRequests = 24
	// guardTime is the time after which a daemon that has started guards its upstreams.
	guardTime = 8 * time.Second
	// guardReactionTime is the time after which all daemons know of the restart of a guarded server.
	guardReactionTime = 200 * time.Millisecond
)

// hotObject sends requests for one object through all daemons.
type hotObject struct {
	ts *testSite
	// idle selects the daemons that get no requests.
	idle  []atomic.Bool
	group sync.WaitGroup
	stop  chan struct{}
}

func (ts *testSite) startHotObject(callers int) *hotObject {
	h := &hotObject{ts: ts, idle: make([]atomic.Bool, len(ts.daemons)), stop: make(chan struct{})}
	for i, d := range ts.daemons {
		for range callers {
			client := newClient(ts.t)
			h.group.Go(func() {
				for {
					select {
					case <-h.stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					if !h.idle[i].Load() {
						ts.sendRequest(client, d, http.MethodGet, "/reads/hot", "")
					}
				}
			})
		}
	}
	return h
}

// setIdle ends or resumes the requests of all daemons from the given one on.
func (h *hotObject) setIdle(from int, idle bool) {
	for i := from; i < len(h.idle); i++ {
		h.idle[i].Store(idle)
	}
}

func (h *hotObject) close() {
	close(h.stop)
	h.group.Wait()
}

// busiestServer returns the server of the object.
func (ts *testSite) busiestServer() *instance.Server {
	var busiest *instance.Server
	for _, s := range ts.servers {
		if busiest == nil || len(s.Runs()) > len(busiest.Runs()) {
			busiest = s
		}
	}
	return busiest
}

// TestServerRestartedUnderOldIDIsNotFlooded guards against daemons that take a new process at a known address for the former, warm one
// until its entry in the store reaches them.
func TestServerRestartedUnderOldIDIsNotFlooded(t *testing.T) {
	for _, tt := range []struct {
		name string
		// busy is the number of daemons that have requests while the server is down.
		busy int
		down time.Duration
		// entryDelay is the time after which the new process registers in the store.
		entryDelay time.Duration
		// unconnected closes all connections of the daemons before the process ends.
		unconnected bool
	}{
		{"all daemons busy", 8, 1_200 * time.Millisecond, 700 * time.Millisecond, false},
		{"one daemon busy", 1, 1_200 * time.Millisecond, 700 * time.Millisecond, false},
		{"short", 8, 300 * time.Millisecond, 700 * time.Millisecond, false},
		{"at once, store late", 8, 0, 2 * time.Second, false},
		{"at once between requests, store late", 0, 0, 2 * time.Second, false},
		{"long, store late", 8, 4 * time.Second, 3 * time.Second, false},
		{"short without connections, store late", 0, 300 * time.Millisecond, 2 * time.Second, true},
		{"at once without connections, store late", 0, 0, 2 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ts := start(t, "n-1", "n-2", "n-1", "n-2", "n-1", "n-2", "n-1", "n-2")
			hot := ts.startHotObject(6)
			defer hot.close()
			time.Sleep(time.Second)
			if tt.unconnected {
				time.Sleep(guardTime)
			}
			old := ts.busiestServer()
			hot.setIdle(tt.busy, true)
			time.Sleep(50 * time.Millisecond)
			if tt.unconnected {
				for _, d := range ts.daemons {
					d.Listeners.Daemon.Upstream.Close()
				}
			}
			old.Close()
			time.Sleep(tt.down)
			var arrivals arrivalTimes
			s := &instance.Server{
				ID: old.ID, Pool: old.Pool, Domain: old.Domain, Slots: 6, ServiceTime: 300, ColdStart: coldStart,
				Listen: old.Address(), OnArrival: arrivals.add,
			}
			ts.must(s.Run())
			defer s.Close()
			started := time.Now()
			if tt.unconnected {
				time.Sleep(guardReactionTime)
			}
			hot.setIdle(0, false)
			time.Sleep(tt.entryDelay)
			ts.must(ts.Register(s))
			time.Sleep(time.Until(started.Add(coldStart * time.Millisecond)))
			if n := arrivals.busiestWindow(started, time.Second); n > maxColdRequests {
				t.Errorf("the cold server got %d requests in one second, want at most %d", n, maxColdRequests)
			}
			ts.await("the warm server to get as many requests as before", func() bool {
				return arrivals.busiestWindow(time.Now().Add(-time.Second), time.Second) > maxColdRequests
			})
		})
	}
}

// TestDaemonsThatStartTogetherKeepColdRate guards against daemons that each take the whole rate of a cold server because they have just started
// and don't know the others yet.
func TestDaemonsThatStartTogetherKeepColdRate(t *testing.T) {
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	domains := []string{"n-1", "n-2", "n-1", "n-2", "n-1", "n-2", "n-1", "n-2"}
	ts.startServer("desk", "desk", "n-1")
	ts.startDaemons(domains...)
	ts.await("all daemons to register", func() bool { return ts.countRegistered() == len(domains) })
	for _, d := range ts.daemons {
		d.Stop()
	}
	var arrivals arrivalTimes
	cold := &instance.Server{ID: "stock", Pool: "stock", Domain: "n-1", Slots: 6, ServiceTime: 5, ColdStart: coldStart, OnArrival: arrivals.add}
	ts.must(ts.StartServer(cold))
	started := time.Now()
	ts.daemons = nil
	for i, domain := range domains {
		d, err := ts.Start(fmt.Sprintf("host-%d", i), domain)
		ts.must(err)
		ts.daemons = append(ts.daemons, d)
	}
	hot := ts.startHotObject(4)
	defer hot.close()
	time.Sleep(time.Until(started.Add(coldStart * time.Millisecond)))
	if n := arrivals.busiestWindow(started, time.Second); n == 0 || n > maxColdRequests {
		t.Errorf("the cold server got %d requests in one second, want 1 to %d", n, maxColdRequests)
	}
}

// TestDaemonsCutOffFromEachOtherKeepColdRate guards against daemons that each take the whole rate of a cold server because they reach no other
// daemon.
func TestDaemonsCutOffFromEachOtherKeepColdRate(t *testing.T) {
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	ts.startServer("desk", "desk", "n-1")
	ts.startDaemons("n-1", "n-2", "n-1", "n-2", "n-1", "n-2", "n-1", "n-2")
	for _, d := range ts.daemons {
		ts.await("a daemon to know the others", func() bool {
			return len(d.Listeners.Daemon.EntryHosts("", "")) == len(ts.daemons)
		})
	}
	ts.PeersCut.Store(true)
	for _, d := range ts.daemons {
		if !site.Await(20*time.Second, func() bool { return len(d.Listeners.Daemon.EntryHosts("", "")) == 1 }) {
			t.Fatal("a daemon still counts others as alive 20 s after it was cut off")
		}
	}
	var arrivals arrivalTimes
	cold := &instance.Server{ID: "stock", Pool: "stock", Domain: "n-1", Slots: 6, ServiceTime: 5, ColdStart: coldStart, OnArrival: arrivals.add}
	ts.must(ts.StartServer(cold))
	started := time.Now()
	hot := ts.startHotObject(4)
	defer hot.close()
	time.Sleep(time.Until(started.Add(coldStart * time.Millisecond)))
	if n := arrivals.busiestWindow(started, time.Second); n == 0 || n > maxColdRequests {
		t.Errorf("the cold server got %d requests in one second, want 1 to %d", n, maxColdRequests)
	}
}

// countRegistered returns the number of daemons that are registered in the store.
func (ts *testSite) countRegistered() int {
	b, err := ts.Store.Memory.List(context.Background(), "", "")
	ts.must(err)
	n := 0
	for _, e := range b.Entries {
		if decoded, err := (platform.Catalogue{}).Decode(e); err == nil && decoded.Peer != nil {
			n++
		}
	}
	return n
}

// TestGuardsOfServerThatEndsConnectionsAreSlow guards against a storm of connections and status checks at a server that ends each connection
// at once.
func TestGuardsOfServerThatEndsConnectionsAreSlow(t *testing.T) {
	ts := start(t, "n-1", "n-2", "s-1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.must(err)
	defer func() { _ = l.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	ts.must(ts.Put("servers/closing", []byte(fmt.Sprintf(
		`{"service":"stock","address":%q,"zone":"n-1","version":"v1","slots":6,"state":"ready","cold_remaining":"0ms","sequence":1,"born":1}`, l.Addr(),
	))))
	if !site.Await(guardTime, func() bool { return accepted.Load() > 0 }) {
		t.Fatalf("no daemon guards the server after %v", guardTime)
	}
	before := accepted.Load()
	time.Sleep(4 * time.Second)
	// One guard connection and one status check each second.
	if n := accepted.Load() - before; n > 10 {
		t.Errorf("%d connections in 4 s, want at most 10", n)
	}
}
