package steer_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

var endlessFaults = []instance.Fault{
	instance.EndlessHeader, instance.EndlessLine, instance.EndlessBody, instance.EndlessChunk, instance.EndlessError,
	instance.EndlessExtra, instance.SlowHeader,
}

// TestEndlessBytesEndAtTheCaller sends requests to servers that send bytes without end. A caller must get a complete response of
// its own, a failure or a broken connection by the deadline, and later requests must be served.
func TestEndlessBytesEndAtTheCaller(t *testing.T) {
	for _, fault := range endlessFaults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			ts := start(t, "n-1")
			ts.setFault(fault, "stock")
			for i := range 3 {
				got := ts.sendDiscarding(fmt.Sprintf("/reads/%d", i))
				complete := got.status == http.StatusOK && !got.broken
				if complete != (fault == instance.EndlessExtra) {
					t.Errorf("status %d, broken=%v", got.status, got.broken)
				}
				if limit := 2500 * time.Millisecond; got.took > limit {
					t.Errorf("ended after %v, want at most %v", got.took, limit)
				}
			}
			ts.setFault(instance.None, "stock")
			ts.await("a read to be served again", func() bool {
				return ts.sendRequest(newClient(t), ts.daemons[0], http.MethodGet, "/reads/after", "").body == instance.Body
			})
		})
	}
}

// sendDiscarding sends a read and discards the body, which may be larger than memory.
func (ts *testSite) sendDiscarding(path string) result {
	ts.t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+ts.daemons[0].Settings.CallerAddress+path, nil)
	ts.must(err)
	r.Host = site.Host
	r.Header.Set("Request-Id", fmt.Sprintf("request-%d", requests.Add(1)))
	r.Header.Set("Deadline-Milliseconds", "2000")
	r.Header.Set("Cookie", "Request-Affinity="+path)
	started := time.Now()
	res, err := newClient(ts.t).Do(r)
	if err != nil {
		return result{broken: true, took: time.Since(started)}
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return result{status: res.StatusCode, broken: err != nil, took: time.Since(started)}
}

// maxEndlessHeap bounds the heap of the test's process, with the servers and the callers, while 200 servers send bytes without
// end: half of the memory of the smallest host.
const maxEndlessHeap = 92 << 20

// TestEndlessBytesUseBoundedMemory has 200 requests at once answered by bytes without end, while another server's requests go on.
func TestEndlessBytesUseBoundedMemory(t *testing.T) {
	const count = 200
	// Earlier tests may have left garbage.
	runtime.GC()
	ts := start(t)
	for _, s := range ts.servers {
		s.Slots = count
	}
	d, err := ts.Start("host-0", "n-1")
	ts.must(err)
	ts.daemons = append(ts.daemons, d)
	ts.await("the daemon to become ready", d.Listeners.Daemon.Ready)
	ts.setFault(instance.EndlessBody, "stock")
	var group sync.WaitGroup
	var ended atomic.Int64
	for i := range count {
		group.Go(func() {
			defer ended.Add(1)
			if got := ts.sendDiscarding(fmt.Sprintf("/reads/%d", i)); got.status == http.StatusOK && !got.broken {
				t.Error("a body without end looked complete")
			}
		})
	}
	client, heap, served := newClient(t), uint64(0), 0
	for ended.Load() < count {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		heap = max(heap, m.HeapInuse)
		if got := ts.sendRequest(client, ts.daemons[0], http.MethodPost, fmt.Sprintf("/orders/%d", served), ""); got.status != http.StatusOK {
			t.Errorf("order beside the bytes: status %d", got.status)
		}
		served++
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	if heap > maxEndlessHeap {
		t.Errorf("heap of %d MB, want at most %d MB", heap>>20, maxEndlessHeap>>20)
	}
	if served == 0 {
		t.Error("no order was sent beside the bytes")
	}
}
