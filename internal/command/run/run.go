package run

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap/internal/command/check"
	"github.com/daisygap/daisygap/internal/command/demo"
	"github.com/daisygap/daisygap/internal/command/load"
	"github.com/daisygap/daisygap/internal/command/operate"
	"github.com/daisygap/daisygap/internal/command/serve"
	"github.com/daisygap/daisygap/internal/command/soak"
	"github.com/daisygap/daisygap/internal/command/term"
)

// Version is the version of the program.
const Version = "0.1.0"

// Main runs the command named by the first argument and returns its exit code.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("daisygap", flag.ContinueOnError)
	flags.SetOutput(errs)
	commander := subcommands.NewCommander(flags, "daisygap")
	commander.Output, commander.Error = out, errs
	o := term.Output{Out: out, Err: errs}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&serve.Command{Output: o}, "daemon")
	commander.Register(&demo.Command{Output: o}, "daemon")
	commander.Register(&soak.Command{Output: o}, "daemon")
	commander.Register(&load.Command{Output: o}, "daemon")
	commander.Register(&check.Command{Output: o}, "operators")
	commander.Register(operate.NewConfig(o), "operators")
	commander.Register(operate.NewPatch(o), "operators")
	commander.Register(operate.NewStatus(o), "operators")
	commander.Register(operate.NewDrain(o), "operators")
	commander.Register(operate.NewLookup(o), "operators")
	commander.Register(operate.NewExplain(o), "operators")
	commander.Register(operate.NewTrace(o), "operators")
	commander.Register(operate.NewRefusals(o), "operators")
	commander.Register(&versionCommand{output: o}, "operators")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

type versionCommand struct {
	output term.Output
}

// Name returns the command's name.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns one line of help.
func (*versionCommand) Synopsis() string { return "show the version" }

// Usage returns the help text.
func (*versionCommand) Usage() string { return "version\n" }

// SetFlags defines no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.output.Printf("daisygap %s", Version)
	return subcommands.ExitSuccess
}
