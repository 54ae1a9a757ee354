package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestStoppingDaemonEndsKeptConnections guards against requests that cross the close of a kept connection at the end of a planned stop.
func TestStoppingDaemonEndsKeptConnections(t *testing.T) {
	f := startFleet(t, "hivecraft")
	n := f.Nodes()[0]
	if res, _ := sendRequest(t, n, http.MethodGet, "/catalogue", ""); res.StatusCode != http.StatusOK || res.Close {
		t.Fatalf("before the stop: status %d, closes the connection: %t", res.StatusCode, res.Close)
	}
	n.Settings.Linger = 2_000
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stopped := make(chan int64, 1)
	go func() { stopped <- f.Stop(ctx, n.Settings.Host) }()
	time.Sleep(200 * time.Millisecond)
	if res, _ := sendRequest(t, n, http.MethodGet, "/catalogue", ""); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("during the stop: status %d, closes the connection: %t", res.StatusCode, res.Close)
	}
	if cut := <-stopped; cut > 0 {
		t.Errorf("the stop interrupted %d requests", cut)
	}
}
