package demo

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/examples"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/command/load"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/fleet"
)

const (
	hostsPerDomain = 2
	readyTimeout   = 30 * time.Second
	minDuration    = 4 * time.Second
	// ordinaryLoad is the ordinary load as a fraction of the slots' capacity.
	ordinaryLoad = 0.5
	// floodFactor is the rate of the flood as a multiple of the slots' capacity.
	floodFactor = 10
)

// Command implements the daisygap demo command.
type Command struct {
	Output term.Output

	deployment string
	duration   time.Duration
	asJSON     bool
	seed       uint64
	faultSeed  uint64
}

// Name returns the command's name.
func (*Command) Name() string { return "demo" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string {
	return "run a deployment on loopback through overload and a drain"
}

// Usage returns the help text.
func (*Command) Usage() string {
	return `demo [--deployment hivecraft|capsula] [--for 20s] [--json]
demo --faults SEED    send ordinary load under random faults and check the invariants
`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "hivecraft", "hivecraft or capsula")
	f.DurationVar(&c.duration, "for", 20*time.Second, "how long to send requests")
	f.BoolVar(&c.asJSON, "json", false, "write the results as one JSON object")
	f.Uint64Var(&c.faultSeed, "faults", 0, "inject random faults from this seed and check the invariants; 0 for none")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the load, the daemons and the simulated upstreams")
}

// profile describes the demo workload of an example deployment.
type profile struct {
	workloads    map[string]fleet.Workload
	paths        map[string]string
	floodedKind  string
	urgentKind   string
	addressBlock string
}

var profiles = map[string]profile{
	"hivecraft": {
		workloads: map[string]fleet.Workload{
			"catalogue": {ServiceTime: 40, ResponseBytes: 2_000}, "orders": {ServiceTime: 100, ResponseBytes: 500}, "drawings": {ServiceTime: 200, ResponseBytes: 200_000},
		},
		paths:       map[string]string{"catalogue": "/catalogue/frames", "orders": "/orders", "drawings": "/drawings/jig"},
		floodedKind: "drawings", urgentKind: "orders", addressBlock: "10.101",
	},
	"capsula": {
		workloads: map[string]fleet.Workload{
			"rosters": {ServiceTime: 40, ResponseBytes: 2_000}, "bookings": {ServiceTime: 100, ResponseBytes: 500}, "media": {ServiceTime: 200, ResponseBytes: 200_000},
		},
		paths:       map[string]string{"rosters": "/rosters/today", "bookings": "/bookings", "media": "/media/video"},
		floodedKind: "media", urgentKind: "bookings", addressBlock: "10.111",
	},
}

// report is the result of the demo; it is printed as JSON with --json.
type report struct {
	Deployment string       `json:"deployment"`
	Seconds    float64      `json:"seconds"`
	Rows       []caller.Row `json:"rows"`
	Drain      drainReport  `json:"drain"`
	// Accounted reports whether every sent request was counted as on time, late, refused or failed.
	Accounted bool `json:"accounted"`
}

type drainReport struct {
	Upstream string `json:"upstream"`
	// LastStart is the time in milliseconds from the commit of the drain to the last request that started at the upstream.
	LastStart daisygap.Millis `json:"last_start"`
	Canceled  int             `json:"cut"`
	Version   uint64          `json:"version"`
}

// Execute runs the demo.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, ok := profiles[c.deployment]
	if !ok {
		return c.Output.Fail(&daisygap.FieldError{Field: "--deployment", Want: "hivecraft or capsula", Got: c.deployment})
	}
	if c.duration < minDuration {
		return c.Output.Fail(&daisygap.FieldError{Field: "--for", Want: "at least " + minDuration.String(), Got: c.duration.String()})
	}
	document, err := examples.Files.ReadFile(c.deployment + "/configuration.json")
	if err != nil {
		return c.Output.Fail(err)
	}
	f := &fleet.Fleet{
		Document: document, Hosts: fleet.HostsOf(document, hostsPerDomain), Workloads: p.workloads, Seed: c.seed, ColdStart: 2_000,
	}
	c.progress("starting the store, the upstreams and %d daemons on loopback", len(f.Hosts))
	if err := f.Run(); err != nil {
		return c.Output.Fail(err)
	}
	defer f.Close()
	if err := f.AwaitReady(readyTimeout); err != nil {
		return c.Output.Fail(err)
	}
	if c.faultSeed > 0 {
		return c.runFaults(ctx, f, p)
	}
	r, err := c.runScenario(ctx, f, p)
	if err != nil {
		return c.Output.Fail(err)
	}
	return c.printReport(r)
}

// progress prints a line unless the output is JSON.
func (c *Command) progress(format string, args ...any) {
	if !c.asJSON {
		c.Output.Printf(format, args...)
	}
}

// runScenario sends the load and drains an upstream during it.
func (c *Command) runScenario(ctx context.Context, f *fleet.Fleet, p profile) (*report, error) {
	flows, err := c.buildFlows(f.Document, p)
	if err != nil {
		return nil, err
	}
	d := &caller.Driver{Targets: callerAddresses(f), Flows: flows, Seed: c.seed}
	drained := make(chan drainReport, 1)
	failed := make(chan error, 1)
	go func() {
		r, err := c.drainUpstream(ctx, f, p)
		drained <- r
		failed <- err
	}()
	c.progress("sending ordinary load for %v, and %s at %d times its capacity from %v to %v", c.duration, p.floodedKind, floodFactor, c.duration/4, c.duration/2)
	rows := d.Run(ctx)
	r := &report{Deployment: c.deployment, Seconds: c.duration.Seconds(), Rows: rows, Drain: <-drained, Accounted: true}
	r.Drain.complete(f)
	for _, row := range rows {
		r.Accounted = r.Accounted && row.Sent == row.OnTime+row.Late+row.Refused+row.Failed
	}
	return r, <-failed
}

// buildFlows returns the ordinary load of each kind, split evenly over the regions, and the flood of the flooded kind.
func (c *Command) buildFlows(document []byte, p profile) ([]caller.Flow, error) {
	var config daisygap.Configuration
	if err := json.Unmarshal(document, &config); err != nil {
		return nil, err
	}
	var flows []caller.Flow
	for _, kind := range slices.Sorted(maps.Keys(config.Kinds)) {
		capacity := capacityOf(&config, kind, p)
		kindConfig := config.Kinds[kind]
		flow := caller.Flow{
			Name: kind, Kind: kind, Rank: kindConfig.Rank, Method: http.MethodGet, Path: p.paths[kind],
			End: c.duration, Target: kindConfig.TargetLatency, Callers: 40,
		}
		if !kindConfig.Idempotent {
			flow.Method, flow.Body = http.MethodPost, `{"count":1}`
		}
		for i, block := range addressBlocks(p.addressBlock, len(config.Regions)) {
			regionFlow := flow
			regionFlow.AddressBlock, regionFlow.Rate = block, ordinaryLoad*capacity/float64(len(config.Regions))
			flows = append(flows, regionFlow)
			if kind == p.floodedKind {
				regionFlow.Name, regionFlow.Start, regionFlow.End = kind+" flood", c.duration/4, c.duration/2
				regionFlow.Rate = floodFactor * capacity / float64(len(config.Regions))
				regionFlow.Callers = 3 + i
				flows = append(flows, regionFlow)
			}
		}
	}
	return flows, nil
}

// capacityOf returns the number of requests per second that the slots of a kind's group can serve.
func capacityOf(c *daisygap.Configuration, kind string, p profile) float64 {
	group := c.GroupOf(kind)
	slots := 0
	for _, u := range c.Upstreams {
		if u.Group == group {
			slots += u.Slots
		}
	}
	return float64(slots) * 1000 / float64(p.workloads[group].ServiceTime)
}

// addressBlocks returns n caller address blocks, one per region: the first one and its successors in the second octet.
func addressBlocks(first string, n int) []string {
	var list []string
	var a, b int
	if _, err := fmt.Sscanf(first, "%d.%d", &a, &b); err != nil {
		return nil
	}
	for i := range n {
		list = append(list, strconv.Itoa(a)+"."+strconv.Itoa(b+i))
	}
	return list
}

// drainUpstream drains one upstream of the urgent kind by a patch, 60% into the run. LastStart of the result holds the time
// of the commit until complete is called.
func (c *Command) drainUpstream(ctx context.Context, f *fleet.Fleet, p profile) (drainReport, error) {
	timer := time.NewTimer(c.duration * 6 / 10)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return drainReport{}, ctx.Err()
	}
	r := drainReport{Upstream: p.urgentKind + "-01"}
	n := f.Nodes()[0]
	client := &operator.Client{Base: "http://" + n.Settings.OperatorAddress, Token: fleet.Token, HTTP: &http.Client{}}
	base, _, err := client.Document(ctx)
	if err != nil {
		return r, err
	}
	merge := json.RawMessage(`{"drains":{"upstreams":{"` + r.Upstream + `":true}}}`)
	r.Version, err = client.Patch(ctx, base, daisygap.Patch{ID: "demo-drain", Author: "demo", Merge: merge})
	if err != nil {
		return r, err
	}
	r.LastStart = f.Clock.Now()
	c.progress("version %d drains %s", r.Version, r.Upstream)
	return r, nil
}

// complete replaces the time of the commit in LastStart by the time from the commit to the last start at the upstream.
func (r *drainReport) complete(f *fleet.Fleet) {
	u := f.Upstreams[r.Upstream]
	if u == nil {
		return
	}
	record := u.Record()
	r.LastStart = max(record.Last-r.LastStart, 0)
	r.Canceled = record.Canceled
}

func (c *Command) printReport(r *report) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if !r.Accounted {
		status = term.ExitFailed
	}
	return c.Output.Report(c.asJSON, r, status, func() {
		load.PrintRows(c.Output, r.Rows)
		c.Output.Printf("drain of %s: last request started %d ms after the commit, %d requests canceled", r.Drain.Upstream, r.Drain.LastStart, r.Drain.Canceled)
		if !r.Accounted {
			c.Output.Printf("some requests were not counted as on time, late, refused or failed")
		}
	})
}
