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

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// maxUploadsHeap bounds the growth of the heap of the test's process while 300 callers hold bodies of a mebibyte: the budget of 12.8 MB,
// as much garbage, and the connections.
const maxUploadsHeap = 64 << 20

// TestHeldBodiesUseBoundedMemory guards against callers that make a daemon hold the sum of their bodies. They send most of a body and
// pause; other requests are served meanwhile, and callers that were refused get their responses at once.
func TestHeldBodiesUseBoundedMemory(t *testing.T) {
	const count = 300
	ts := startSite(t, &site.Site{Regions: regions, Routes: routes, MemoryMB: 64}, "n-1")
	part := make([]byte, 1<<20-10)
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	var ended, refused atomic.Int64
	for i := range count {
		c := dialRaw(t, ts.daemons[0])
		group.Go(func() {
			defer ended.Add(1)
			started := time.Now()
			_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/orders/1", fmt.Sprintf("held-%d", i))+"Content-Length: 1048576\r\n\r\n")
			_, _ = c.Write(part)
			res, err := c.response(http.MethodPost)
			switch {
			case err != nil:
				// The daemon refused the body before all of it was sent.
			case res.Header.Get(daisygap.HeaderReason) == string(daisygap.ReasonMemoryFull):
				refused.Add(1)
				if res.Header.Get(daisygap.HeaderRun) != string(daisygap.NotRun) || res.Header.Get("Retry-After") == "" {
					t.Errorf("refusal without run state or Retry-After: %v", res.Header)
				}
			case res.StatusCode != http.StatusRequestTimeout && res.StatusCode != http.StatusGatewayTimeout:
				t.Errorf("status %d after %v", res.StatusCode, time.Since(started))
			}
		})
	}
	client, heap, served := newClient(t), uint64(0), 0
	for ended.Load() < count {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		heap = max(heap, m.HeapInuse)
		if got := ts.sendRequest(client, ts.daemons[0], http.MethodGet, fmt.Sprintf("/reads/%d", served), ""); got.status != http.StatusOK {
			t.Errorf("read beside the bodies: status %d, reason %q", got.status, got.header.Get(daisygap.HeaderReason))
		}
		served++
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	t.Logf("heap of %d MB before, at most %d MB", before.HeapInuse>>20, heap>>20)
	if growth := int64(heap) - int64(before.HeapInuse); growth > maxUploadsHeap {
		t.Errorf("heap grew by %d MB, want at most %d MB", growth>>20, maxUploadsHeap>>20)
	}
	if refused.Load() == 0 || served == 0 {
		t.Errorf("%d bodies refused, %d reads served", refused.Load(), served)
	}
}
