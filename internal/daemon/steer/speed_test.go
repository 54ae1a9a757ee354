package steer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// TestSlowUpstreamIsNoticed guards against observations of a slow upstream that don't reach the placement, its log lines or the gossip.
func TestSlowUpstreamIsNoticed(t *testing.T) {
	ts, log := startWithLog(t, "n-1")
	for i, ms := range []daisygap.Millis{60, 60, 60, 240} {
		id := fmt.Sprint("server-", i)
		s := &instance.Server{ID: id, Pool: "stock", Domain: "n-1", Slots: 6, ServiceTime: ms}
		ts.must(ts.StartServer(s))
		ts.servers[id] = s
	}
	d := ts.daemons[0].Listeners.Daemon
	var stop atomic.Bool
	var callers sync.WaitGroup
	for n := range 8 {
		client := newClient(t)
		callers.Go(func() {
			for i := n; !stop.Load(); i++ {
				ts.sendRequest(client, ts.daemons[0], http.MethodGet, fmt.Sprint("/reads/", i%50), "")
			}
		})
	}
	noticed := site.Await(30*time.Second, func() bool {
		for line := range strings.Lines(log.text()) {
			if strings.Contains(line, `"upstream uneven"`) && !strings.Contains(line, `"factor":"1.00"`) {
				return true
			}
		}
		return false
	})
	stop.Store(true)
	callers.Wait()
	if !noticed {
		t.Fatal("no upstream became uneven in 30 s")
	}
	for line := range strings.Lines(log.text()) {
		if strings.Contains(line, `"upstream uneven"`) && !strings.Contains(line, `"server-3"`) {
			t.Errorf("wrong upstream: %s", line)
		}
	}
	if got := d.ServeGossip(daisygap.Gossip{}).Speeds; len(got) > 0 {
		t.Errorf("speeds %+v in the reply to a daemon that sent none", got)
	}
}
