package entry_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/fleet"
)

// The slots of sharedFleet: 60 slots at 200 ms per request serve 300 requests per second.
const (
	sharedSlots    = 60
	sharedCapacity = 300
)

// sharedFleet starts a deployment in which catalogue, orders and drawings share the order servers.
func sharedFleet(b *testing.B) *fleet.Fleet {
	document, err := os.ReadFile("../../../examples/hivecraft/configuration.json")
	if err != nil {
		b.Fatal(err)
	}
	var c daisygap.Configuration
	if err := json.Unmarshal(document, &c); err != nil {
		b.Fatal(err)
	}
	for name, u := range c.Upstreams {
		if u.Group != "orders" {
			delete(c.Upstreams, name)
		}
	}
	c.Groups = map[string]daisygap.Group{"orders": {Kinds: []string{"orders", "catalogue", "drawings"}, MaxEjectedRatio: 0.3}}
	if document, err = json.Marshal(c); err != nil {
		b.Fatal(err)
	}
	f := &fleet.Fleet{Document: document, Hosts: fleet.HostsOf(document, 2), Workloads: map[string]fleet.Workload{"orders": {ServiceTime: 200, ResponseBytes: 500}}, Seed: 1}
	if err := f.Run(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	if err := f.AwaitReady(30 * time.Second); err != nil {
		b.Fatal(err)
	}
	return f
}

// regionFlows returns flows that send a kind from all three regions at a fraction of the shared capacity.
func regionFlows(name, kind, path string, fraction float64, duration time.Duration) []caller.Flow {
	method, body, target := "GET", "", daisygap.Millis(5_000)
	if kind == "orders" {
		method, body, target = "POST", "{}", 2_000
	}
	if kind == "catalogue" {
		target = 500
	}
	var flows []caller.Flow
	for _, block := range []string{"10.101", "10.102", "10.103"} {
		flows = append(flows, caller.Flow{
			Name: name, Kind: kind, Method: method, Path: path, Body: body, Rate: fraction * sharedCapacity / 3, End: duration, Target: target, Callers: 400, AddressBlock: block,
		})
	}
	return flows
}

// measureSlotUse returns a function that returns the fraction of slot time in use, without the first and the last second
// of the given time from now.
func measureSlotUse(f *fleet.Fleet, duration time.Duration) func() float64 {
	busy := func() (sum daisygap.Millis) {
		for _, u := range f.Upstreams {
			sum += u.Record().SlotTime
		}
		return sum
	}
	fraction := make(chan float64, 1)
	go func() {
		time.Sleep(time.Second)
		before, from := busy(), f.Clock.Now()
		time.Sleep(duration - 2*time.Second)
		fraction <- float64(busy()-before) / float64(f.Clock.Now()-from) / sharedSlots
	}()
	return func() float64 { return <-fraction }
}

// BenchmarkFloodBeside measures, in one run, how floods affect other kinds. It sends orders at a fifth of the capacity,
// alone and beside drawings at ten times the capacity, and then orders at five times the capacity beside the others.
func BenchmarkFloodBeside(b *testing.B) {
	for b.Loop() {
		f := sharedFleet(b)
		const duration = 12 * time.Second
		run := func(flows ...[]caller.Flow) map[string]caller.Row {
			d := &caller.Driver{Targets: callerAddresses(f), Seed: 1}
			for _, list := range flows {
				d.Flows = append(d.Flows, list...)
			}
			rows := make(map[string]caller.Row)
			for _, r := range d.Run(context.Background()) {
				rows[r.Kind] = r
			}
			return rows
		}
		run(regionFlows("warm", "orders", "/orders", 0.2, 3*time.Second))
		alone := run(regionFlows("alone", "orders", "/orders", 0.2, duration))["orders"]
		lowBusy := measureSlotUse(f, duration)
		low := run(regionFlows("beside", "orders", "/orders", 0.2, duration), regionFlows("low", "drawings", "/drawings", 10, duration))
		b.ReportMetric(lowBusy(), "low-flood:busy")
		highBusy := measureSlotUse(f, duration)
		high := run(regionFlows("high", "orders", "/orders", 5, duration), regionFlows("c", "catalogue", "/catalogue", 0.3, duration), regionFlows("d", "drawings", "/drawings", 0.3, duration))
		b.ReportMetric(highBusy(), "high-flood:busy")
		served := func(r caller.Row) float64 { return float64(r.OnTime+r.Late) / (sharedCapacity * duration.Seconds()) }
		b.ReportMetric(float64(low["orders"].OnTime)/float64(low["orders"].Sent), "low-flood:urgent-on-time")
		b.ReportMetric(low["orders"].P99/alone.P99, "low-flood:urgent-p99-ratio")
		b.ReportMetric(low["drawings"].RefusedP50, "low-flood:refused-p50-ms")
		b.ReportMetric(served(high["catalogue"]), "high-flood:catalogue-part")
		b.ReportMetric(served(high["drawings"]), "high-flood:drawings-part")
		b.ReportMetric(served(high["orders"]), "high-flood:orders-part")
		b.ReportMetric(high["orders"].RefusedP50, "high-flood:refused-p50-ms")
	}
}
