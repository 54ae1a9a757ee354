package demo

import (
	"context"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap/internal/command/load"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/fleet"
)

const (
	convergeTimeout = 60 * time.Second
	// faultLoad is the load during faults as a fraction of the slots' capacity.
	faultLoad = 0.4
)

// faultReport is the result of a run under random faults; it is printed as JSON with --json.
type faultReport struct {
	Seed       uint64       `json:"seed"`
	Rows       []caller.Row `json:"rows"`
	Violations []string     `json:"broken"`
}

// runFaults sends load while it injects random faults from the seed, and checks the invariants.
func (c *Command) runFaults(ctx context.Context, f *fleet.Fleet, p profile) subcommands.ExitStatus {
	flows, err := c.buildFaultFlows(f.Document, p)
	if err != nil {
		return c.Output.Fail(err)
	}
	chaos := &fleet.Chaos{Fleet: f, Seed: c.faultSeed, Log: c.progress}
	faultCtx, stop := context.WithTimeout(ctx, c.duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		chaos.Run(faultCtx)
		close(done)
	}()
	d := &caller.Driver{Targets: callerAddresses(f), Flows: flows, Seed: c.faultSeed, KeepResults: true}
	rows := d.Run(ctx)
	<-done
	r := faultReport{Seed: c.faultSeed, Rows: rows, Violations: chaos.Check(rows, d.Results())}
	if err := chaos.AwaitConverged(convergeTimeout); err != nil {
		r.Violations = append(r.Violations, "no convergence after the faults: "+err.Error())
	}
	return c.printFaultReport(&r)
}

// buildFaultFlows returns the load during faults, without the flood. Flows of the urgent kind, which is not idempotent, get
// names that start with "once", by which the invariant check recognizes requests that must not run twice.
func (c *Command) buildFaultFlows(document []byte, p profile) ([]caller.Flow, error) {
	all, err := c.buildFlows(document, p)
	if err != nil {
		return nil, err
	}
	var flows []caller.Flow
	for _, flow := range all {
		if flow.Start > 0 {
			continue
		}
		flow.Rate *= faultLoad / ordinaryLoad
		if flow.Kind == p.urgentKind {
			flow.Name = "once-" + flow.AddressBlock
		} else {
			flow.Name += "-" + flow.AddressBlock
		}
		flows = append(flows, flow)
	}
	return flows, nil
}

// callerAddresses returns the addresses on which the daemons serve callers.
func callerAddresses(f *fleet.Fleet) []string {
	var targets []string
	for _, n := range f.Nodes() {
		targets = append(targets, n.Settings.CallerAddress)
	}
	return targets
}

func (c *Command) printFaultReport(r *faultReport) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if len(r.Violations) > 0 {
		status = term.ExitFailed
	}
	return c.Output.Report(c.asJSON, r, status, func() {
		load.PrintRows(c.Output, r.Rows)
		for _, violation := range r.Violations {
			c.Output.Printf("violation: %s", violation)
		}
		c.Output.Printf("seed %d: %d invariant violations", r.Seed, len(r.Violations))
	})
}
