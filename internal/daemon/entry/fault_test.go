package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/fleet"
	"github.com/daisygap/daisygap/internal/standin/store"
	"github.com/daisygap/daisygap/internal/standin/upstream"
)

// leaseholderOf returns the leaseholder of a domain that isn't among the killed nodes, or nil.
func leaseholderOf(f *fleet.Fleet, domain string, dead ...*fleet.Node) *fleet.Node {
	for _, n := range f.Nodes() {
		if n.Settings.Domain == domain && n.Daemon.IsLeaseholder() && !slices.Contains(dead, n) {
			return n
		}
	}
	return nil
}

func callerAddresses(f *fleet.Fleet) []string {
	var list []string
	for _, n := range f.Nodes() {
		list = append(list, n.Settings.CallerAddress)
	}
	return list
}

// runSteadyLoad sends orders and catalogue requests at a low rate for a time.
func runSteadyLoad(f *fleet.Fleet, duration time.Duration) ([]caller.Row, []caller.Result) {
	d := &caller.Driver{Targets: callerAddresses(f), Seed: 1, KeepResults: true, Flows: []caller.Flow{
		{Name: "once", Kind: "orders", Method: "POST", Path: "/orders", Body: "{}", Rate: 100, End: duration, Target: 2_000, Callers: 20, AddressBlock: "10.101"},
		{Name: "catalogue", Kind: "catalogue", Method: "GET", Path: "/catalogue", Rate: 200, End: duration, Target: 500, Callers: 20, AddressBlock: "10.102"},
	}}
	rows := d.Run(context.Background())
	return rows, d.Results()
}

// TestLeaseholderCrashIsTakenOver kills a leaseholder. Another daemon must take over, keep its own lease meanwhile, and
// serve requests afterwards.
func TestLeaseholderCrashIsTakenOver(t *testing.T) {
	f := startFleet(t, "hivecraft")
	old := leaseholderOf(f, "tbilisi-1")
	f.Kill(old.Settings.Host)
	killed := time.Now()
	err := fleet.Until(15*time.Second, func() error {
		if leaseholderOf(f, "tbilisi-1", old) == nil {
			return errors.New("no daemon took over")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("taken over after %v", time.Since(killed).Round(10*time.Millisecond))
	n := leaseholderOf(f, "tbilisi-1", old)
	if !n.Daemon.Status().Leased {
		t.Error("the new leaseholder lost its member lease during the take-over")
	}
	if res, body := sendRequest(t, n, "POST", "/orders", "{}"); res.StatusCode != http.StatusOK {
		t.Errorf("an order after the take-over: %d %s", res.StatusCode, body)
	}
}

// TestServesDuringLongStoreOutage makes the store unreachable for longer than a member lease. Requests must still be
// served, patches must be refused, and a restarted daemon must get the configuration from its peers.
func TestServesDuringLongStoreOutage(t *testing.T) {
	f := startFleet(t, "hivecraft")
	f.Store.SetFaults(store.Faults{Down: true})
	time.Sleep(f.Timing.MemberLease.Duration() + time.Second)
	rows, _ := runSteadyLoad(f, 2*time.Second)
	for _, r := range rows {
		if r.OnTime != r.Sent {
			t.Errorf("without the store: %+v", r)
		}
	}
	client := operatorClient(f.Nodes()[0])
	_, err := client.Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: json.RawMessage(`{}`)})
	if !errors.Is(err, daisygap.ErrStoreUnreachable) {
		t.Errorf("a patch without the store: %v", err)
	}
	victim := leaseholderOf(f, "batumi-1")
	var other *fleet.Node
	for _, n := range f.Nodes() {
		if n.Settings.Domain == "batumi-1" && n != victim {
			other = n
		}
	}
	f.Kill(other.Settings.Host)
	again, err := f.Start(fleet.Host{Name: other.Settings.Host, Domain: "batumi-1"})
	if err != nil {
		t.Fatal(err)
	}
	err = fleet.Until(10*time.Second, func() error {
		if again.Daemon.Version() != 1 {
			return errors.New("no configuration from the peers")
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	f.Store.SetFaults(store.Faults{})
	if err := f.AwaitReady(40 * time.Second); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}

// TestPlannedStopsInterruptNoRequests stops two leaseholders under load. No request may fail, be refused or be
// interrupted, and the redistribution of their slots must not overload an upstream.
func TestPlannedStopsInterruptNoRequests(t *testing.T) {
	f := startFleet(t, "hivecraft")
	var group sync.WaitGroup
	var rows []caller.Row
	group.Go(func() { rows, _ = runSteadyLoad(f, 9*time.Second) })
	time.Sleep(time.Second)
	for _, n := range []*fleet.Node{leaseholderOf(f, "tbilisi-1"), leaseholderOf(f, "kutaisi-2")} {
		n.Settings.Linger = 0
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		group.Go(func() {
			defer cancel()
			if cut := f.Stop(ctx, n.Settings.Host); cut > 0 {
				t.Errorf("the stop of %s interrupted %d requests", n.Settings.Host, cut)
			}
		})
	}
	group.Wait()
	for _, r := range rows {
		if r.Failed > 0 || r.Refused > 0 {
			t.Errorf("during planned stops: %+v", r)
		}
	}
	for name, u := range f.Upstreams {
		if r := u.Record(); r.Canceled > 0 || r.Shed > 0 || r.PeakRunning > u.Slots {
			t.Errorf("%s: canceled %d, shed %d, peak %d on %d slots", name, r.Canceled, r.Shed, r.PeakRunning, u.Slots)
		}
	}
}

// TestAnyDaemonBootstrapsNewDaemon sends empty digests, as a daemon without any state does. Each running daemon must ask
// for a full digest, and then return all records and patches; otherwise a new daemon could not start without the store.
func TestAnyDaemonBootstrapsNewDaemon(t *testing.T) {
	f := startFleet(t, "hivecraft")
	client := &peer.Client{}
	defer client.Close()
	for _, n := range f.Nodes() {
		delta, err := client.Sync(context.Background(), n.Settings.PeerAddress, daisygap.Digest{})
		if err != nil || !delta.SeqsNeeded {
			t.Errorf("%s: %+v, %v; want to be asked for a full digest", n.Settings.Host, delta, err)
		}
		delta, err = client.Sync(context.Background(), n.Settings.PeerAddress, daisygap.Digest{Full: true})
		if err != nil || len(delta.Records) != 12 || len(delta.Patches) != 1 {
			t.Errorf("%s gave %d records and %d patches, %v; want 12 and 1", n.Settings.Host, len(delta.Records), len(delta.Patches), err)
		}
	}
}

// TestTotalsSurviveLeaseholderCrash guards against lost refusal counts. Both daemons of a domain refuse requests, and the
// leaseholder is killed before it has written the totals to the store.
func TestTotalsSurviveLeaseholderCrash(t *testing.T) {
	f := startFleet(t, "hivecraft")
	leaseholder := leaseholderOf(f, "tbilisi-1")
	for _, n := range f.Nodes() {
		if n.Settings.Domain != "tbilisi-1" {
			continue
		}
		for range 5 {
			sendRequest(t, n, "GET", "/nothing", "")
		}
	}
	time.Sleep(3 * f.Timing.HeartbeatInterval.Duration())
	f.Kill(leaseholder.Settings.Host)
	client := operatorClient(leaseholderOf(f, "batumi-1"))
	err := fleet.Until(15*time.Second, func() error {
		totals, _, err := client.Totals(context.Background())
		if err != nil {
			return err
		}
		count := int64(0)
		for _, total := range totals {
			if total.Domain == "tbilisi-1" && total.Reason == daisygap.ReasonUnknownKind {
				count += total.Count
			}
		}
		if count != 10 {
			return fmt.Errorf("totals count %d refusals, want 10", count)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// TestConcurrentPatchesCommitOnce sends patches against the same version through all daemons at once, while the store
// loses responses. Exactly one patch may be committed per version, and all daemons must converge on it.
func TestConcurrentPatchesCommitOnce(t *testing.T) {
	f := startFleet(t, "hivecraft")
	f.Store.SetFaults(store.Faults{DropResponses: 8})
	nodes := f.Nodes()
	for base := uint64(1); base <= 5; base++ {
		versions := make([]uint64, len(nodes))
		var group sync.WaitGroup
		for i, n := range nodes {
			group.Go(func() {
				merge := json.RawMessage(fmt.Sprintf(`{"lookup":{"ttl":%d}}`, 1_000+i))
				p := daisygap.Patch{ID: fmt.Sprintf("race-%d-%d", base, i), Merge: merge}
				if v, err := operatorClient(n).Patch(context.Background(), base, p); err == nil {
					versions[i] = v
				}
			})
		}
		group.Wait()
		won := 0
		for _, v := range versions {
			if v > 0 {
				won++
			}
		}
		if won != 1 {
			t.Fatalf("%d patches were committed on version %d, want 1", won, base)
		}
		err := fleet.Until(8*time.Second, func() error {
			for _, n := range nodes {
				if n.Daemon.Version() != base+1 {
					return fmt.Errorf("%s has version %d, want %d", n.Settings.Host, n.Daemon.Version(), base+1)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestDomainWithoutStoreGetsConfigurationFromPeers cuts a domain off from the store. A new version must reach it through
// other domains.
func TestDomainWithoutStoreGetsConfigurationFromPeers(t *testing.T) {
	f := startFleet(t, "hivecraft")
	var cut []*fleet.Node
	for _, n := range f.Nodes() {
		if n.Settings.Domain == "batumi-2" {
			f.Store.Partition(n.Settings.Host, true)
			cut = append(cut, n)
		}
	}
	if _, err := operatorClient(f.Nodes()[0]).Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: json.RawMessage(`{}`)}); err != nil && cut[0] != f.Nodes()[0] {
		t.Fatal(err)
	}
	err := fleet.Until(8*time.Second, func() error {
		for _, n := range cut {
			if n.Daemon.Version() != 2 {
				return fmt.Errorf("%s has version %d", n.Settings.Host, n.Daemon.Version())
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// TestOneDaemonUsesAllDomainSlots sends a whole domain's load to one of its daemons. That daemon must borrow the other
// daemons' slots until it uses all slots of every upstream, and must not exceed them.
func TestOneDaemonUsesAllDomainSlots(t *testing.T) {
	f := startFleet(t, "hivecraft")
	one := leaseholderOf(f, "tbilisi-1")
	served := func(targets []string) int {
		d := &caller.Driver{Targets: targets, Seed: 2, Direct: len(targets) == 1, Flows: []caller.Flow{
			{Name: "c", Kind: "drawings", Method: "GET", Path: "/drawings", Rate: 400, End: 3 * time.Second, Target: 1_000, Callers: 50, AddressBlock: "10.101"},
		}}
		rows := d.Run(context.Background())
		return rows[0].OnTime + rows[0].Late
	}
	before := runsIn(f, "tbilisi-1", "drawings")
	served([]string{one.Settings.CallerAddress})
	skewed := runsIn(f, "tbilisi-1", "drawings") - before
	// 2 servers with 3 slots and 30 ms of service time serve at most 200 requests per second.
	t.Logf("one daemon used %.2f of its domain's slots", float64(skewed)/(3*200))
	for name, u := range upstreamsIn(f, "tbilisi-1", "drawings") {
		if peak := u.Record().PeakRunning; peak != u.Slots {
			t.Errorf("one daemon used %d of the %d slots of %s at once", peak, u.Slots, name)
		}
	}
	for name, u := range f.Upstreams {
		if r := u.Record(); r.Shed > 0 || r.PeakRunning > u.Slots {
			t.Errorf("%s: shed %d, peak %d on %d slots", name, r.Shed, r.PeakRunning, u.Slots)
		}
	}
}

func runsIn(f *fleet.Fleet, domain, group string) int {
	n := 0
	for _, u := range upstreamsIn(f, domain, group) {
		n += len(u.Record().Runs)
	}
	return n
}

func upstreamsIn(f *fleet.Fleet, domain, group string) map[string]*upstream.Server {
	var c daisygap.Configuration
	_ = json.Unmarshal(f.Document, &c)
	list := make(map[string]*upstream.Server)
	for name, u := range c.Upstreams {
		if u.Domain == domain && u.Group == group {
			list[name] = f.Upstreams[name]
		}
	}
	return list
}
