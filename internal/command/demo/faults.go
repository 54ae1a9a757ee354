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
	convergeLimit = 60 * time.Second
	// Load during faults, as a part of the slots' capacity.
	faultLoad = 0.4
)

// faultReport is what a run under random faults prints as JSON.
type faultReport struct {
	Seed   uint64       `json:"seed"`
	Rows   []caller.Row `json:"rows"`
	Broken []string     `json:"broken"`
}

// runFaults sends ordinary load while faults come at random from the seed, and checks the invariants.
func (c *Command) runFaults(ctx context.Context, f *fleet.Fleet, p profile) subcommands.ExitStatus {
	flows, err := c.faultFlows(f.Document, p)
	if err != nil {
		return c.Output.Fail(err)
	}
	chaos := &fleet.Chaos{Fleet: f, Seed: c.faults, Log: c.progress}
	hurting, stop := context.WithTimeout(ctx, c.span)
	defer stop()
	done := make(chan struct{})
	go func() {
		chaos.Run(hurting)
		close(done)
	}()
	d := &caller.Driver{Targets: callers(f), Flows: flows, Seed: c.faults, KeepResults: true}
	rows := d.Run(ctx)
	<-done
	r := faultReport{Seed: c.faults, Rows: rows, Broken: chaos.Check(rows, d.Results())}
	if err := chaos.AwaitConverged(convergeLimit); err != nil {
		r.Broken = append(r.Broken, "after the faults: "+err.Error())
	}
	return c.tellFaults(&r)
}

// faultFlows is the ordinary load; requests that may not be repeated are named so that the check knows them.
func (c *Command) faultFlows(document []byte, p profile) ([]caller.Flow, error) {
	all, err := c.flows(document, p)
	if err != nil {
		return nil, err
	}
	var flows []caller.Flow
	for _, flow := range all {
		if flow.Start > 0 {
			continue
		}
		flow.Rate *= faultLoad / ordinary
		if flow.Kind == p.urgent {
			flow.Name = "once-" + flow.AddressBlock
		} else {
			flow.Name += "-" + flow.AddressBlock
		}
		flows = append(flows, flow)
	}
	return flows, nil
}

func callers(f *fleet.Fleet) []string {
	var targets []string
	for _, n := range f.Nodes() {
		targets = append(targets, n.Settings.CallerAddress)
	}
	return targets
}

func (c *Command) tellFaults(r *faultReport) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if len(r.Broken) > 0 {
		status = term.ExitFailed
	}
	return c.Output.Report(c.json, r, status, func() {
		load.PrintRows(c.Output, r.Rows)
		for _, b := range r.Broken {
			c.Output.Printf("broken: %s", b)
		}
		c.Output.Printf("seed %d: %d invariants broken", r.Seed, len(r.Broken))
	})
}
