package soak

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/soak/fault"
)

// Limits of a run: a few hundred processes fit into half of the memory of a common machine.
const (
	maxDaemons  = 200
	maxCallers  = 2_000
	maxDuration = 10 * time.Minute
)

// Command implements the daisygap soak command.
type Command struct {
	Output term.Output

	seed     uint64
	duration time.Duration
	daemons  int
	callers  int
	folder   string
	asJSON   bool
	quiet    bool
}

// Name returns the command's name.
func (*Command) Name() string { return "soak" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string {
	return "run daemons as processes under random faults and check the invariants"
}

// Usage returns the help text.
func (*Command) Usage() string {
	return `soak --seed N [--for 20s] [--daemons 8] [--callers 24] [--folder DIR] [--quiet] [--json]

The seed determines the faults. After the last fault follows a fault-free period, in which requests must be
served again. With --folder the daemons' logs are kept there; without it they are kept only if an invariant was violated.
`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random faults")
	f.DurationVar(&c.duration, "for", 20*time.Second, "how long to inject faults")
	f.IntVar(&c.daemons, "daemons", 8, "the number of daemons")
	f.IntVar(&c.callers, "callers", 24, "the number of callers")
	f.StringVar(&c.folder, "folder", "", "folder for settings and logs")
	f.BoolVar(&c.quiet, "quiet", false, "don't print each fault")
	f.BoolVar(&c.asJSON, "json", false, "write JSON")
}

// Execute runs the soak test and fails if an invariant was violated.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.daemons < 1 || c.daemons > maxDaemons || c.callers < 1 || c.callers > maxCallers || c.duration <= 0 || c.duration > maxDuration {
		c.Output.Printf("soak: the limits are 1 to %d daemons, 1 to %d callers and a duration above 0 and up to %v", maxDaemons, maxCallers, maxDuration)
		return subcommands.ExitUsageError
	}
	binary, err := os.Executable()
	if err != nil {
		return c.Output.Fail(err)
	}
	folder, keepFolder := c.folder, c.folder != ""
	if !keepFolder {
		if folder, err = os.MkdirTemp("", "daisygap-soak-"); err != nil {
			return c.Output.Fail(err)
		}
	}
	run := &fault.Run{
		Binary: binary, Folder: filepath.Join(folder, strconv.FormatUint(c.seed, 10)), Seed: c.seed,
		Daemons: c.daemons, Callers: c.callers, Duration: c.duration, Log: c.progress,
	}
	report, err := run.Execute(ctx)
	if err != nil {
		return c.Output.Fail(err)
	}
	if !keepFolder && len(report.Violations) == 0 {
		if err := os.RemoveAll(folder); err != nil {
			return c.Output.Fail(err)
		}
	}
	return c.printReport(report, run.Folder)
}

// progress prints a fault unless the output is quiet or JSON.
func (c *Command) progress(format string, args ...any) {
	if !c.quiet && !c.asJSON {
		c.Output.Printf(format, args...)
	}
}

func (c *Command) printReport(r fault.Report, folder string) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if len(r.Violations) > 0 {
		status = term.ExitFailed
	}
	return c.Output.Report(c.asJSON, r, status, func() {
		for _, violation := range r.Violations {
			c.Output.Printf("violation: %s", violation)
		}
		if len(r.Violations) > 0 {
			c.Output.Printf("logs: %s", folder)
		}
		n := r.Count
		c.Output.Printf("seed %d: %d sent, %d served, %d refused, %d failed, %d truncated, %d canceled by callers; %d violations",
			r.Seed, n.Sent, n.Served, n.Refused, n.Failed, n.Truncated, n.Canceled, len(r.Violations))
	})
}
