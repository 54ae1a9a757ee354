package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/fleet"
	"github.com/daisygap/daisygap/internal/standin/upstream"
)

// TestCrashingRequestIsBlocked repeats a request that crashes every upstream that executes it. It must be blocked after
// two crashes, then in the other domains too, while other requests are still served.
func TestCrashingRequestIsBlocked(t *testing.T) {
	f := startFleet(t, "hivecraft")
	f.Document = bytes.Clone(f.Document)
	client := operatorClient(f.Nodes()[0])
	merge := json.RawMessage(`{"kinds":{"orders":{"match":[{"path":"/orders"},{"path":"/poison"}]}}}`)
	if _, err := client.Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: merge}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 30 {
		n := f.Nodes()[i%2] // both daemons of one domain
		before := totalCrashes(f)
		res, _ := sendRequest(t, n, "POST", upstream.PoisonPath+"?q=7", "{}")
		reason := res.Header.Get(daisygap.HeaderReason)
		if before >= 2 && reason != string(daisygap.ReasonPoisoned) {
			t.Errorf("request %d was refused as %q after %d crashes", i, reason, before)
		}
	}
	if crashes := totalCrashes(f); crashes > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", crashes)
	}
	remote := f.Nodes()[len(f.Nodes())-1]
	err := fleet.Until(10*time.Second, func() error {
		res, _ := sendRequest(t, remote, "POST", upstream.PoisonPath+"?q=7", "{}")
		if reason := res.Header.Get(daisygap.HeaderReason); reason != string(daisygap.ReasonPoisoned) {
			return fmt.Errorf("refused as %q", reason)
		}
		return nil
	})
	if err != nil {
		t.Errorf("in another domain: %v", err)
	}
	if res, _ := sendRequest(t, f.Nodes()[0], "POST", "/orders", "{}"); res.StatusCode != http.StatusOK {
		t.Errorf("an order that crashes nothing: %d %s", res.StatusCode, res.Header.Get(daisygap.HeaderReason))
	}
}

// TestLostAnswersBlockNothing guards against a block on a request whose responses are lost by upstreams that live on.
func TestLostAnswersBlockNothing(t *testing.T) {
	f := startFleet(t, "hivecraft")
	client := operatorClient(f.Nodes()[0])
	merge := json.RawMessage(`{"kinds":{"orders":{"match":[{"path":"/orders"},{"path":"/lost"}]}}}`)
	if _, err := client.Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: merge}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 8 {
		res, _ := sendRequest(t, f.Nodes()[i%2], "POST", upstream.LostPath, "{}")
		if reason := res.Header.Get(daisygap.HeaderReason); reason != string(daisygap.ReasonUpstreamFailed) {
			t.Errorf("request %d was refused as %q", i, reason)
		}
	}
}

// TestSlowSenderIsRefused guards against slow senders that occupy the daemon: it sends half a body and waits. The request
// must be refused within 10 s.
func TestSlowSenderIsRefused(t *testing.T) {
	f := startFleet(t, "hivecraft")
	n := f.Nodes()[0]
	conn, err := net.Dial("tcp", n.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer within 10 s: %v", err)
	}
	defer res.Body.Close()
	if reason := res.Header.Get(daisygap.HeaderReason); reason != string(daisygap.ReasonBadRequest) {
		t.Errorf("status %d, reason %q, want bad_request", res.StatusCode, reason)
	}
}

// TestConflictingContentLengthsAreRejected guards against request smuggling by two Content-Length headers that differ.
func TestConflictingContentLengthsAreRejected(t *testing.T) {
	f := startFleet(t, "hivecraft")
	conn, err := net.Dial("tcp", f.Nodes()[0].Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 30\r\n\r\n{}")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d, want 400", res.StatusCode)
	}
}

// TestIdempotencyKeyRunsOnce sends one key through every daemon: only the first request may run. It then kills the hosts
// that recorded the key; a request that is marked as a retry must still be refused, because it is unknown whether the
// first one ran.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	f := startFleet(t, "hivecraft")
	before := totalRuns(f)
	for i, n := range f.Nodes() {
		res, body := sendRequest(t, n, "POST", "/orders", "{}", daisygap.HeaderKey, "one-order", daisygap.HeaderCaller, "10.102.0.9")
		reason := res.Header.Get(daisygap.HeaderReason)
		if i == 0 && res.StatusCode != http.StatusOK {
			t.Fatalf("the first order: %d %s", res.StatusCode, body)
		}
		if i > 0 && (reason != string(daisygap.ReasonDuplicate) || res.Header.Get(daisygap.HeaderRun) != string(daisygap.RunUnknown)) {
			t.Errorf("the same key at %s: %d %s", n.Settings.Host, res.StatusCode, reason)
		}
	}
	if n := totalRuns(f) - before; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	for _, n := range f.Nodes() {
		if n.Settings.Region == "kutaisi" {
			f.Kill(n.Settings.Host)
		}
	}
	n := f.Nodes()[0]
	err := fleet.Until(20*time.Second, func() error {
		res, _ := sendRequest(t, n, "POST", "/orders", "{}", daisygap.HeaderKey, "one-order", daisygap.HeaderAttempt, "2", daisygap.HeaderCaller, "10.102.0.9")
		if reason := res.Header.Get(daisygap.HeaderReason); reason != string(daisygap.ReasonDuplicate) {
			return fmt.Errorf("status %d, reason %q", res.StatusCode, reason)
		}
		return nil
	})
	if err != nil {
		t.Errorf("a marked retry after the hosts that recorded the key were killed: %v", err)
	}
	if n := totalRuns(f) - before; n != 1 {
		t.Errorf("the order ran %d times after the hosts that recorded its key were killed", n)
	}
}

func totalRuns(f *fleet.Fleet) int {
	total := 0
	for _, u := range f.Upstreams {
		for _, n := range u.Record().Runs {
			total += n
		}
	}
	return total
}

func totalCrashes(f *fleet.Fleet) int {
	n := 0
	for _, u := range f.Upstreams {
		n += u.Record().Crashes
	}
	return n
}
