package steer_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// revoke writes a version in which acme has another key, and waits until all daemons refuse the old one.
func (ts *testSite) revoke() {
	ts.t.Helper()
	ts.Customers = []site.Customer{{Name: "acme", Keys: []string{"new-key"}}}
	ts.must(ts.Configure(keyedRoutes))
	for _, d := range ts.daemons {
		ts.await("the revocation", func() bool { return ts.status(d, testKey) == http.StatusUnauthorized })
	}
}

// status returns the status of a request with a key.
func (ts *testSite) status(d *site.Daemon, key string) int {
	ts.t.Helper()
	return ts.sendKeyed(d, http.MethodGet, "/reads/1", "Authorization: Bearer "+key).status
}

// checkRevoked sends requests for a while, none of which may be served with the revoked key.
func (ts *testSite) checkRevoked(duration time.Duration, daemons ...*site.Daemon) {
	ts.t.Helper()
	for started := time.Now(); time.Since(started) < duration; {
		for _, d := range daemons {
			if got := ts.status(d, testKey); got != http.StatusUnauthorized && got != http.StatusServiceUnavailable {
				ts.t.Fatalf("%s: status %d for a revoked key, %v after the change of the store", d.Settings.Host, got, time.Since(started))
			}
		}
	}
	for _, d := range daemons {
		if got := ts.status(d, "new-key"); got != http.StatusOK {
			ts.t.Errorf("%s: status %d for the new key, want 200", d.Settings.Host, got)
		}
	}
}

// restore lets the store be away for a moment and come back from a copy.
func (ts *testSite) restore(c *store.Copy) {
	ts.Store.SetFaults(store.Faults{Down: true})
	time.Sleep(200 * time.Millisecond)
	ts.Store.Memory.Restore(c)
	ts.Store.SetFaults(store.Faults{})
}

// TestRevocationOutlastsRestore guards against a revoked key that is served again because the store came back from a copy in which it is valid,
// by daemons that have seen the revocation and by one that starts afterwards.
func TestRevocationOutlastsRestore(t *testing.T) {
	ts, _ := startKeyed(t, 1, "n-1", "s-1")
	c := ts.Store.Memory.Copy()
	ts.revoke()
	ts.restore(c)
	ts.checkRevoked(2*time.Second, ts.daemons...)
	late, err := ts.Start("late", "n-2", ts.daemons[0].Settings.PeerAddress)
	ts.must(err)
	if !site.Await(3*time.Second, func() bool {
		if got := ts.status(late, testKey); got == http.StatusOK {
			t.Fatal("a daemon that started after the restore serves the revoked key")
		}
		return late.Listeners.Daemon.Ready()
	}) {
		t.Fatal("a daemon that started after the restore isn't ready after 3 s")
	}
	ts.checkRevoked(2*time.Second, late)
}

// TestRevocationOutlastsDeletion guards against a revoked key that is served again because the configuration was deleted and an older one
// written.
func TestRevocationOutlastsDeletion(t *testing.T) {
	ts, _ := startKeyed(t, 1, "n-1")
	older, err := ts.Store.Memory.Get(context.Background(), "op/config")
	ts.must(err)
	ts.revoke()
	ts.must(ts.Put("op/config", nil))
	ts.checkRevoked(500*time.Millisecond, ts.daemons...)
	ts.must(ts.Put("op/config", older.Value))
	ts.checkRevoked(2*time.Second, ts.daemons...)
}

// TestStartWaitsBrieflyForVersions guards against a daemon that doesn't start because the daemons that it knows don't answer.
func TestStartWaitsBrieflyForVersions(t *testing.T) {
	ts, _ := startKeyed(t, 1)
	started := time.Now()
	d, err := ts.Start("alone", "n-1", "127.0.0.1:1", "127.0.0.1:2")
	ts.must(err)
	ts.await("the daemon to become ready", d.Listeners.Daemon.Ready)
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("ready after %v, want at most 3 s", took)
	}
}

// TestNewerVersionIsFetched guards against daemons that use different versions for good after a restore of the store, when one of them had
// been cut off from the newer version.
func TestNewerVersionIsFetched(t *testing.T) {
	ts, _ := startKeyed(t, 1, "n-1", "s-1")
	c := ts.Store.Memory.Copy()
	behind := ts.daemons[1]
	ts.PeersCut.Store(true)
	ts.Store.Partition(behind.Settings.Host, true)
	// A watch that was waiting when the partition began ends after 1.5 s.
	time.Sleep(1700 * time.Millisecond)
	ts.Customers = []site.Customer{{Name: "acme", Keys: []string{"new-key"}}}
	ts.must(ts.Configure(keyedRoutes))
	ts.await("the revocation", func() bool { return ts.status(ts.daemons[0], testKey) == http.StatusUnauthorized })
	if got := ts.status(behind, testKey); got != http.StatusOK {
		t.Fatalf("status %d at the daemon that is cut off, want 200", got)
	}
	ts.restore(c)
	// The other daemon follows the restored store by then, so that its replica lacks the newer version too.
	time.Sleep(2500 * time.Millisecond)
	if got := ts.status(behind, testKey); got != http.StatusOK {
		t.Fatalf("status %d at the daemon that is still cut off, want 200", got)
	}
	ts.Store.Partition(behind.Settings.Host, false)
	ts.PeersCut.Store(false)
	ts.await("the revocation at the daemon that was cut off", func() bool { return ts.status(behind, testKey) == http.StatusUnauthorized })
}

// TestInvalidRowsKeepTheService guards against rows in a format that this daemon can't decode and that interrupt the service.
func TestInvalidRowsKeepTheService(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "stock")
	ts.Customers = []site.Customer{{Name: "acme", Keys: []string{testKey}}, {Name: "gone", Keys: []string{"gone-key"}}}
	ts.must(ts.Configure(keyedRoutes))
	ts.await("the customers", func() bool { return ts.status(ts.daemons[0], "none") == http.StatusUnauthorized })
	e, err := ts.Store.Memory.Get(context.Background(), "op/config")
	ts.must(err)
	document := string(e.Value)
	for old, changed := range map[string]string{
		`"00000006"`: `"00000007"`, `["acme",["` + testKey + `"]`: `["acme",{"hashed":"` + testKey + `"}`, `["gone",["gone-key"],null,0,0,null]`: `["added",["added-key"],null,0,0,null]`,
		`["reads","` + site.Host + `","/reads/","safe"`: `["reads","` + site.Host + `",["/reads/"],"safe"`, `["home",`: `["moved",`,
	} {
		if !strings.Contains(document, old) {
			t.Fatalf("no %s in %s", old, document)
		}
		document = strings.Replace(document, old, changed, 1)
	}
	ts.must(ts.Put("op/config", []byte(document)))
	ts.await("the new customer", func() bool { return ts.status(ts.daemons[0], "added-key") == http.StatusOK })
	if got := ts.status(ts.daemons[0], testKey); got != http.StatusOK {
		t.Errorf("status %d for a customer whose row can't be decoded, want 200", got)
	}
	if got := ts.status(ts.daemons[0], "gone-key"); got != http.StatusUnauthorized {
		t.Errorf("status %d for a customer that was removed, want 401", got)
	}
	if n := strings.Count(log.text(), `"msg":"row dropped"`); n != 2 {
		t.Errorf("%d lines about dropped rows, want 2", n)
	}
	if strings.Contains(log.text(), testKey) {
		t.Error("the log contains a key")
	}
}
