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

// What the slots of sharedFleet serve in a second: 60 slots of 200 ms on average.
const (
	sharedSlots    = 60
	sharedCapacity = 300
)

// sharedFleet lets catalogue, orders and drawings share the order servers.
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

// regionFlows sends a kind from all three regions at a part of the shared capacity.
func regionFlows(name, kind, path string, part float64, span time.Duration) []caller.Flow {
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
			Name: name, Kind: kind, Method: method, Path: path, Body: body, Rate: part * sharedCapacity / 3, End: span, Target: target, Callers: 400, AddressBlock: block,
		})
	}
	return flows
}

// measureSlotUse returns a function that tells which part of the slots' time was used from the second to the last second of a span from now.
func measureSlotUse(f *fleet.Fleet, span time.Duration) func() float64 {
	busy := func() (sum daisygap.Millis) {
		for _, u := range f.Upstreams {
			sum += u.Record().SlotTime
		}
		return sum
	}
	part := make(chan float64, 1)
	go func() {
		time.Sleep(time.Second)
		before, from := busy(), f.Clock.Now()
		time.Sleep(span - 2*time.Second)
		part <- float64(busy()-before) / float64(f.Clock.Now()-from) / sharedSlots
	}()
	return func() float64 { return <-part }
}

// BenchmarkFloodBeside measures, in one run, orders at a fifth of the slots alone, beside drawings at ten times them, and a flood of orders at five times them beside the others.
func BenchmarkFloodBeside(b *testing.B) {
	for b.Loop() {
		f := sharedFleet(b)
		const span = 12 * time.Second
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
		alone := run(regionFlows("alone", "orders", "/orders", 0.2, span))["orders"]
		lowBusy := measureSlotUse(f, span)
		low := run(regionFlows("beside", "orders", "/orders", 0.2, span), regionFlows("low", "drawings", "/drawings", 10, span))
		b.ReportMetric(lowBusy(), "low-flood:busy")
		highBusy := measureSlotUse(f, span)
		high := run(regionFlows("high", "orders", "/orders", 5, span), regionFlows("c", "catalogue", "/catalogue", 0.3, span), regionFlows("d", "drawings", "/drawings", 0.3, span))
		b.ReportMetric(highBusy(), "high-flood:busy")
		served := func(r caller.Row) float64 { return float64(r.OnTime+r.Late) / (sharedCapacity * span.Seconds()) }
		b.ReportMetric(float64(low["orders"].OnTime)/float64(low["orders"].Sent), "low-flood:urgent-on-time")
		b.ReportMetric(low["orders"].P99/alone.P99, "low-flood:urgent-p99-ratio")
		b.ReportMetric(low["drawings"].RefusedP50, "low-flood:refused-p50-ms")
		b.ReportMetric(served(high["catalogue"]), "high-flood:catalogue-part")
		b.ReportMetric(served(high["drawings"]), "high-flood:drawings-part")
		b.ReportMetric(served(high["orders"]), "high-flood:orders-part")
		b.ReportMetric(high["orders"].RefusedP50, "high-flood:refused-p50-ms")
	}
}
