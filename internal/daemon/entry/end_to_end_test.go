package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/standin/fleet"
)

// startFleet starts a deployment of an example with two hosts in each domain.
func startFleet(t *testing.T, example string) *fleet.Fleet {
	t.Helper()
	document, err := os.ReadFile("../../../examples/" + example + "/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet.Fleet{
		Document: document,
		Hosts:    fleet.HostsOf(document, 2),
		Workloads: map[string]fleet.Workload{
			"catalogue": {ServiceTime: 10, ResponseBytes: 200}, "orders": {ServiceTime: 20, ResponseBytes: 100}, "drawings": {ServiceTime: 30, ResponseBytes: 10_000},
			"rosters": {ServiceTime: 10, ResponseBytes: 200}, "bookings": {ServiceTime: 20, ResponseBytes: 100}, "media": {ServiceTime: 30, ResponseBytes: 10_000},
		},
		Linger: 200,
		Seed:   1,
	}
	if err := f.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.AwaitReady(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	return f
}

func sendRequest(t *testing.T, n *fleet.Node, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(data)
}

func operatorClient(n *fleet.Node) *operator.Client {
	return &operator.Client{Base: "http://" + n.Settings.OperatorAddress, Token: fleet.Token, HTTP: http.DefaultClient}
}

// TestEndToEnd checks look-ups, requests, patches, refusals and receipts through every daemon of a deployment.
func TestEndToEnd(t *testing.T) {
	f := startFleet(t, "hivecraft")
	ctx := context.Background()
	for _, n := range f.Nodes() {
		res, body := sendRequest(t, n, "GET", "/v1/lookup?kind=orders&caller=10.102.3.4", "")
		var lookup struct {
			Hosts []struct{ Host, Address, Domain string }
		}
		if err := json.Unmarshal([]byte(body), &lookup); err != nil || len(lookup.Hosts) != 3 {
			t.Fatalf("look-up at %s: status %d, %s", n.Settings.Host, res.StatusCode, body)
		}
		if !strings.HasPrefix(lookup.Hosts[0].Domain, "kutaisi") {
			t.Errorf("look-up at %s names %s first, want a domain of kutaisi", n.Settings.Host, lookup.Hosts[0].Domain)
		}
		id := "request-" + n.Settings.Host
		res, body = sendRequest(t, n, "POST", "/orders", `{"frames":3}`, daisygap.HeaderID, id)
		if res.StatusCode != http.StatusOK || !strings.HasPrefix(body, id+" orders-") {
			t.Errorf("order at %s: status %d, %.80s", n.Settings.Host, res.StatusCode, body)
		}
	}
	client := operatorClient(f.Nodes()[0])
	version, err := client.Patch(ctx, 1, daisygap.Patch{ID: "p1", Author: "test", Merge: json.RawMessage(`{"lookup":{"ttl":2000}}`)})
	if err != nil || version != 2 {
		t.Fatalf("patch: version %d, %v", version, err)
	}
	err = fleet.Until(5*time.Second, func() error {
		for _, n := range f.Nodes() {
			if v := n.Daemon.Version(); v != 2 {
				return fmt.Errorf("%s has version %d", n.Settings.Host, v)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if _, err := client.Patch(ctx, 1, daisygap.Patch{ID: "p2", Author: "test", Merge: json.RawMessage(`{}`)}); err == nil {
		t.Error("a stale patch was accepted")
	}
	res, _ := sendRequest(t, f.Nodes()[3], "GET", "/nothing", "")
	receipt := res.Header.Get(daisygap.HeaderReceipt)
	f.Kill(f.Nodes()[3].Settings.Host)
	refusal, err := client.Explain(ctx, receipt)
	if err != nil || refusal.Reason != daisygap.ReasonUnknownKind || refusal.Run != daisygap.NotRun {
		t.Errorf("explain: %+v, %v", refusal, err)
	}
}

func patchOf(merge string) daisygap.Patch {
	return daisygap.Patch{ID: "bench-" + merge[:min(len(merge), 20)], Author: "test", Merge: json.RawMessage(merge)}
}
