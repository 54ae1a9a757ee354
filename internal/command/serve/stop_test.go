package serve

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// stopGrace is the grace period of the tests.
const stopGrace = daisygap.Millis(2_000)

// outcome is what the caller of one request saw.
type outcome struct {
	id     string
	status int
	reason string
	retry  string
	err    error
	// sent is the time from the signal until the request was sent, and took until its response.
	sent time.Duration
	took time.Duration
}

// stopSite is a daemon with one server of each pool.
type stopSite struct {
	*site.Site
	daemon  *site.Daemon
	servers map[string]*instance.Server
}

func startStopSite(t *testing.T) *stopSite {
	t.Helper()
	s := &stopSite{Site: &site.Site{Regions: map[string]string{"n-1": "north"}, Routes: []site.Route{
		{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "stock", Timeout: "8000ms"},
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Pool: "desk", Timeout: "8000ms"},
		{Name: "files", Prefix: "/files/", Kind: "download", Pool: "stock", Timeout: "8000ms"},
	}}, servers: make(map[string]*instance.Server)}
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, pool := range []string{"stock", "desk"} {
		s.servers[pool] = &instance.Server{ID: "n-1-" + pool, Pool: pool, Domain: "n-1", Slots: 200, ServiceTime: 20}
		if err := s.StartServer(s.servers[pool]); err != nil {
			t.Fatal(err)
		}
	}
	var err error
	if s.daemon, err = s.Start("host-0", "n-1"); err != nil {
		t.Fatal(err)
	}
	if !site.Await(5*time.Second, s.daemon.Listeners.Daemon.Ready) {
		t.Fatal("the daemon isn't ready after 5 s")
	}
	return s
}

// send sends one request to the daemon.
func (s *stopSite) send(client *http.Client, method, path string) outcome {
	o := outcome{id: fmt.Sprintf("stop-%s-%d", path, time.Now().UnixNano())}
	r, err := http.NewRequest(method, "http://"+s.daemon.Settings.CallerAddress+path, nil)
	if err != nil {
		return outcome{err: err}
	}
	r.Host = site.Host
	r.Header.Set("Request-Id", o.id)
	r.Header.Set("Deadline-Milliseconds", "8000")
	r.Header.Set("Cookie", "Request-Affinity="+path)
	started := time.Now()
	res, err := client.Do(r)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		o.status, o.reason, o.retry = res.StatusCode, res.Header.Get(daisygap.HeaderReason), res.Header.Get("Retry-After")
	}
	o.err, o.took = err, time.Since(started)
	return o
}

// TestPlannedStopCutsNoRequest stops a daemon while requests of each kind arrive on kept and on new connections, some of them at
// servers that take longer than the rest of the grace period.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprintf("second signal %t", again), func(t *testing.T) {
			s := startStopSite(t)
			kept := make([]*http.Client, 12)
			for i := range kept {
				kept[i] = &http.Client{Transport: &http.Transport{}}
				s.send(kept[i], http.MethodGet, fmt.Sprintf("/reads/%d", i))
				s.send(kept[i], http.MethodPost, fmt.Sprintf("/orders/%d", i))
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				awaitSteeringStop(s.daemon.Listeners, stopGrace, s.daemon.Cancel)
			}()
			time.Sleep(50 * time.Millisecond)
			signaled := time.Now()
			signalSelf(t)
			var mu sync.Mutex
			var outcomes []outcome
			var group sync.WaitGroup
			for i := range kept {
				for _, client := range []*http.Client{kept[i], {Transport: &http.Transport{DisableKeepAlives: true}}} {
					group.Go(func() {
						for n := 0; time.Since(signaled) < stopGrace.Duration(); n++ {
							method, path := http.MethodGet, fmt.Sprintf("/reads/%d?ms=%d", n, 20+(n+i)%8*400)
							switch n % 3 {
							case 1:
								method, path = http.MethodPost, fmt.Sprintf("/orders/%d?ms=%d", n, 20+(n+i)%8*400)
							case 2:
								path = fmt.Sprintf("/files/%d?ms=%d", n, 20+(n+i)%8*400)
							}
							sent := time.Since(signaled)
							o := s.send(client, method, path)
							o.sent = sent
							mu.Lock()
							outcomes = append(outcomes, o)
							mu.Unlock()
							time.Sleep(time.Duration(10+i) * time.Millisecond)
						}
					})
				}
			}
			if again {
				time.Sleep(300 * time.Millisecond)
				signalSelf(t)
			}
			<-ended
			if took := time.Since(signaled); took > stopGrace.Duration() {
				t.Errorf("the stop took %v, the grace period is %v", took, stopGrace.Duration())
			}

			group.Wait()
			s.checkStopOutcomes(t, outcomes)
		})
	}
}

func signalSelf(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// checkStopOutcomes checks that each request that reached a server was answered, and that refusals are truthful and immediate.
func (s *stopSite) checkStopOutcomes(t *testing.T, outcomes []outcome) {
	t.Helper()
	executed := make(map[string]bool)
	for _, server := range s.servers {
		for _, r := range server.Runs() {
			executed[r.ID] = true
		}
	}
	served, refused := 0, 0
	for _, o := range outcomes {
		switch {
		case o.err != nil && executed[o.id]:
			t.Errorf("request sent %v after the signal was passed on and cut after %v: %v", o.sent, o.took, o.err)
		case o.status == http.StatusServiceUnavailable && executed[o.id]:
			t.Errorf("request sent %v after the signal was executed and refused as not run", o.sent)
		case o.status == http.StatusServiceUnavailable && (o.retry == "" || o.took > 500*time.Millisecond):
			t.Errorf("request sent %v after the signal was refused after %v with Retry-After %q", o.sent, o.took, o.retry)
		case o.status == http.StatusServiceUnavailable:
			refused++
		case o.status == http.StatusOK:
			served++
		}
	}
	t.Logf("%d requests: %d served, %d refused", len(outcomes), served, refused)
	if served == 0 {
		t.Error("no request was served after the signal")
	}
}
