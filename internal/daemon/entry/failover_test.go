package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/fleet"
)

// checkNoOverload fails the test if an upstream ever got more requests than it has slots.
func checkNoOverload(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for name, u := range f.Upstreams {
		if r := u.Record(); r.Shed > 0 || r.PeakRunning > u.Slots {
			t.Errorf("%s: shed %d, peak %d on %d slots", name, r.Shed, r.PeakRunning, u.Slots)
		}
	}
}

// TestRegionLossOverloadsNoUpstream kills a region's daemons while 70 % of all order slots are busy. The load that moves to
// the other regions must not exceed the slots of any upstream.
func TestRegionLossOverloadsNoUpstream(t *testing.T) {
	f := startFleet(t, "hivecraft")
	const capacity = 12 * 5 * 1000 / 20 // servers, slots, service of 20 ms
	var flows []caller.Flow
	for i := range 3 {
		flows = append(flows, caller.Flow{
			Name: fmt.Sprint("once-", i), Kind: "orders", Method: "POST", Path: "/orders", Body: "{}",
			Rate: 0.7 * capacity / 3, End: 10 * time.Second, Target: 2_000, Callers: 30, AddressBlock: fmt.Sprintf("10.%d", 101+i),
		})
	}
	var group sync.WaitGroup
	var rows []caller.Row
	group.Go(func() {
		d := &caller.Driver{Targets: callerAddresses(f)[:8], Seed: 1, Flows: flows}
		rows = d.Run(context.Background())
	})
	time.Sleep(3 * time.Second)
	for _, n := range f.Nodes() {
		if n.Settings.Region == "tbilisi" {
			f.Kill(n.Settings.Host)
		}
	}
	group.Wait()
	checkNoOverload(t, f)
	for _, r := range rows {
		t.Logf("%s: sent %d, on time %d, late %d, refused %d, failed %d, %v", r.Flow, r.Sent, r.OnTime, r.Late, r.Refused, r.Failed, r.Reasons)
		if r.Sent != r.OnTime+r.Late+r.Refused+r.Failed {
			t.Errorf("%s: not every request is accounted for", r.Flow)
		}
	}
}

// TestDomainDrainInterruptsNoRequests drains a domain under load. Its work must move away by steps without an interrupted
// or failed request, and its upstreams must get no new work at the end.
func TestDomainDrainInterruptsNoRequests(t *testing.T) {
	f := startFleet(t, "hivecraft")
	var group sync.WaitGroup
	var rows []caller.Row
	group.Go(func() { rows, _ = runSteadyLoad(f, 16*time.Second) })
	time.Sleep(2 * time.Second)
	committed := f.Clock.Now()
	_, err := operatorClient(f.Nodes()[0]).Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: json.RawMessage(`{"drains":{"domains":{"tbilisi-1":true}}}`)})
	if err != nil {
		t.Fatal(err)
	}
	group.Wait()
	var c daisygap.Configuration
	_ = json.Unmarshal(f.Document, &c)
	last := daisygap.Millis(0)
	for name, u := range f.Upstreams {
		r := u.Record()
		if r.Canceled > 0 {
			t.Errorf("%s: %d requests were interrupted", name, r.Canceled)
		}
		if c.Upstreams[name].Domain == "tbilisi-1" {
			last = max(last, r.Last-committed)
		}
	}
	checkNoOverload(t, f)
	for _, r := range rows {
		if r.Failed > 0 {
			t.Errorf("during the drain: %+v", r)
		}
	}
	t.Logf("last start at the domain %d ms after the commit; the step is 0.2 a second", last)
	if last > 12_000 {
		t.Errorf("the domain got new work until %d ms after the commit", last)
	}
}

// TestOneDaemonBorrowsLinkRate sends downloads for another region through one of four daemons. That daemon must use more
// than its own share of the link, by borrowing the others' parts, and must stay within the link's rate.
func TestOneDaemonBorrowsLinkRate(t *testing.T) {
	f := startFleet(t, "capsula")
	merge := json.RawMessage(`{"links":{"lima>arequipa":{"rate":2000000}}}`)
	if _, err := operatorClient(f.Nodes()[0]).Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: merge}); err != nil {
		t.Fatal(err)
	}
	var target string
	for _, n := range f.Nodes() {
		if n.Settings.Region == "lima" {
			target = n.Settings.CallerAddress
		}
	}
	time.Sleep(500 * time.Millisecond)
	var mean float64
	var group sync.WaitGroup
	group.Go(func() { mean = meanLinkRate(f, "lima>arequipa") })
	d := &caller.Driver{Targets: []string{target}, Direct: true, Seed: 1, Flows: []caller.Flow{
		{Name: "media", Kind: "media", Rank: daisygap.Background, Method: "GET", Path: "/media", Rate: 300, End: 6 * time.Second, Target: 3_000, Callers: 50, AddressBlock: "10.112"},
	}}
	d.Run(context.Background())
	group.Wait()
	const rate = 2_000_000
	t.Logf("one daemon: mean %.3f of the rate limit", mean/rate)
	checkLinkRate(t, f, "lima>arequipa", rate)
	if own := 0.25; mean < own*rate {
		t.Errorf("one daemon used %.2f of the link, want more than its own share", mean/rate)
	}
}

// TestSaturatedLinkKeepsRate saturates a link with downloads, with bookings beside them. The link must stay within its
// rate, and no upstream may be overloaded.
func TestSaturatedLinkKeepsRate(t *testing.T) {
	f := startFleet(t, "capsula")
	var targets []string
	for _, n := range f.Nodes() {
		if n.Settings.Region == "lima" {
			targets = append(targets, n.Settings.CallerAddress)
		}
	}
	const duration = 6 * time.Second
	const rate = 2_000_000
	merge := json.RawMessage(`{"links":{"lima>arequipa":{"rate":2000000}}}`)
	if _, err := operatorClient(f.Nodes()[0]).Patch(context.Background(), 1, daisygap.Patch{ID: "p", Merge: merge}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	run := func(flows ...caller.Flow) []caller.Row {
		var group sync.WaitGroup
		rows := make([][]caller.Row, len(targets))
		for i, target := range targets {
			group.Go(func() {
				d := &caller.Driver{Targets: []string{target}, Direct: true, Seed: uint64(i), Flows: flows}
				rows[i] = d.Run(context.Background())
			})
		}
		group.Wait()
		return rows[0]
	}
	urgent := caller.Flow{Name: "once", Kind: "bookings", Method: "POST", Path: "/bookings", Body: "{}", Rate: 25, End: duration, Target: 2_000, Callers: 10, AddressBlock: "10.112"}
	idle := run(urgent)
	flood := caller.Flow{Name: "media", Kind: "media", Rank: daisygap.Background, Method: "GET", Path: "/media", Rate: 100, End: duration, Target: 3_000, Callers: 50, AddressBlock: "10.112"}
	var mean float64
	var group sync.WaitGroup
	group.Go(func() { mean = meanLinkRate(f, "lima>arequipa") })
	urgent.Name = "again" // other idempotency keys
	busy := run(urgent, flood)
	group.Wait()
	t.Logf("link: mean %.3f of the rate limit; urgent p99 %.1f ms beside %.1f ms on an idle link, %d of %d on time",
		mean/rate, busy[0].P99, idle[0].P99, busy[0].OnTime, busy[0].Sent)
	checkLinkRate(t, f, "lima>arequipa", rate)
	checkNoOverload(t, f)
}

// meanLinkRate returns the mean rate on a link from the first to the fifth second from now, in bytes per second.
func meanLinkRate(f *fleet.Fleet, link string) float64 {
	time.Sleep(time.Second)
	_, before := f.LinkBytes(link)
	from := time.Now()
	time.Sleep(4 * time.Second)
	_, after := f.LinkBytes(link)
	return float64(after-before) / time.Since(from).Seconds()
}

// checkLinkRate fails the test if a link carried more than its rate, in bytes per second, in any 100 ms.
func checkLinkRate(t *testing.T, f *fleet.Fleet, link string, rate int64) {
	t.Helper()
	peak, _ := f.LinkBytes(link)
	t.Logf("%s: at most %.3f of the rate limit in any 100 ms", link, float64(peak*10)/float64(rate))
	if peak*10 > rate {
		t.Errorf("%s carried %d bytes in a window of 100 ms, its limit is %d", link, peak, rate/10)
	}
}
