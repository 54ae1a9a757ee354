package steer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// crashPool is a set of servers that crash when they run a request for a path with "poison", and are back after a time.
type crashPool struct {
	ts *testSite
	// back is the time until a server is back, and keepIDs reports whether it keeps its ID.
	back    time.Duration
	keepIDs bool

	mu      sync.Mutex
	crashes int
	closed  bool
	group   sync.WaitGroup
}

// startCrashPool starts a site with two daemons and six servers that crash in each pool.
func startCrashPool(t *testing.T, back time.Duration, keepIDs bool) (*testSite, *crashPool) {
	t.Helper()
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	p := &crashPool{ts: ts, back: back, keepIDs: keepIDs}
	for _, pool := range []string{"stock", "desk"} {
		for i := range 6 {
			ts.must(p.start(fmt.Sprintf("%s-%d", pool, i), pool, []string{"n-1", "n-2"}[i%2], "", 0))
		}
	}
	ts.startDaemons("n-1", "n-2")
	t.Cleanup(p.close)
	return ts, p
}

// start starts one process of a server.
func (p *crashPool) start(name, pool, domain, address string, lifetime int) error {
	s := &instance.Server{ID: name, Pool: pool, Domain: domain, Slots: 6, ServiceTime: 5, Listen: address, CrashPath: "poison"}
	if lifetime > 0 && !p.keepIDs {
		s.ID = fmt.Sprintf("%s.%d", name, lifetime)
	}
	var once sync.Once
	s.OnCrash = func() {
		once.Do(func() {
			p.mu.Lock()
			p.crashes++
			p.mu.Unlock()
			p.restart(s, name, lifetime+1)
		})
	}
	return p.ts.StartServer(s)
}

// restart starts the next process of a server after a time, at the same address.
func (p *crashPool) restart(s *instance.Server, name string, lifetime int) {
	p.group.Go(func() {
		time.Sleep(p.back)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			if err := p.start(name, s.Pool, s.Domain, s.Address(), lifetime); err != nil {
				p.ts.t.Error(err)
			}
		}
	})
}

func (p *crashPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

func (p *crashPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.group.Wait()
}

// maxCrashes is the largest number of servers that a request may crash whose copies come one after the other.
const maxCrashes = 4

// TestCrashingRequestIsBlockedInQuietHour guards against a block that depends on other requests for the crashed servers. The copies
// come so slowly, at two daemons by turns, that each server is back before the next request to it.
func TestCrashingRequestIsBlockedInQuietHour(t *testing.T) {
	for _, keepIDs := range []bool{false, true} {
		for _, path := range []string{"/reads/poison", "/orders/poison"} {
			t.Run(fmt.Sprintf("keep=%v%s", keepIDs, path), func(t *testing.T) {
				t.Parallel()
				ts, p := startCrashPool(t, 700*time.Millisecond, keepIDs)
				client := newClient(t)
				method := http.MethodGet
				if strings.HasPrefix(path, "/orders/") {
					method = http.MethodPost
				}
				for i := range 8 {
					ts.sendRequest(client, ts.daemons[i%2], method, path, "")
					if got := ts.sendRequest(client, ts.daemons[i%2], http.MethodGet, "/reads/other", ""); got.status != http.StatusOK {
						t.Errorf("request %d for another object got status %d, reason %q", i, got.status, got.header.Get(daisygap.HeaderReason))
					}
					time.Sleep(time.Second)
				}
				if n := p.count(); n > maxCrashes {
					t.Errorf("request crashed %d servers, want at most %d", n, maxCrashes)
				}
			})
		}
	}
}

// TestBlockOutlivesRestartedDaemons guards against a restart of the daemons, one after the other, that forgets what is blocked.
func TestBlockOutlivesRestartedDaemons(t *testing.T) {
	ts, p := startCrashPool(t, 300*time.Millisecond, false)
	turn := 0
	ts.await("the block", func() bool {
		got := ts.sendRequest(newClient(t), ts.daemons[turn%2], http.MethodGet, "/reads/poison", "")
		turn++
		time.Sleep(150 * time.Millisecond)
		return got.header.Get(daisygap.HeaderReason) == string(daisygap.ReasonPoisoned)
	})
	before := p.count()
	for i, d := range ts.daemons {
		d.Stop()
		peer := ts.daemons[1-i].Settings.PeerAddress
		replacement, err := ts.Start(fmt.Sprintf("host-%d", i), []string{"n-1", "n-2"}[i], peer)
		ts.must(err)
		ts.daemons[i] = replacement
		ts.await("the replacement to become ready", replacement.Listeners.Daemon.Ready)
		got := ts.sendRequest(newClient(t), replacement, http.MethodGet, "/reads/poison", "")
		if got.header.Get(daisygap.HeaderReason) != string(daisygap.ReasonPoisoned) {
			t.Errorf("a restarted daemon answered a blocked request with status %d, reason %q", got.status, got.header.Get(daisygap.HeaderReason))
		}
	}
	if n := p.count() - before; n > 0 || before > maxCrashes {
		t.Errorf("request crashed %d servers, and %d more after the restart of the daemons", before, n)
	}
}

// TestPopularRequestIsNotBlamedForCrashes guards against a block on a request that is in flight whenever a server crashes for reasons
// of its own.
func TestPopularRequestIsNotBlamedForCrashes(t *testing.T) {
	ts, p := startCrashPool(t, 300*time.Millisecond, false)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 8 {
		client := newClient(t)
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := ts.sendRequest(client, ts.daemons[i%2], http.MethodGet, "/reads/popular?ms=40", "")
				if got.header.Get(daisygap.HeaderReason) == string(daisygap.ReasonPoisoned) {
					t.Errorf("popular request is blocked")
				}
			}
		})
	}
	client := newClient(t)
	for i := range 20 {
		// Each of these requests is another one and crashes one or two servers.
		ts.sendRequest(client, ts.daemons[i%2], http.MethodGet, fmt.Sprintf("/reads/poison-%d", i), "")
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	if n := p.count(); n < 20 {
		t.Errorf("only %d servers crashed", n)
	}
}

// TestLostAnswersBlockNothing guards against a block on a request whose answers are lost by servers that live on.
func TestLostAnswersBlockNothing(t *testing.T) {
	ts := start(t, "n-1", "n-2")
	ts.setFault(instance.Lose, "stock")
	client := newClient(t)
	for i := range 12 {
		got := ts.sendRequest(client, ts.daemons[i%2], http.MethodGet, "/reads/1", "")
		if got.header.Get(daisygap.HeaderReason) == string(daisygap.ReasonPoisoned) {
			t.Fatalf("request %d was refused as a crashing one", i)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
