package term

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/operator"
)

// The exit codes of all commands, beside 0 for success and 2 for a wrong command line.
const (
	ExitFailed           subcommands.ExitStatus = 1
	ExitInvalid          subcommands.ExitStatus = 3
	ExitStale            subcommands.ExitStatus = 4
	ExitStoreUnreachable subcommands.ExitStatus = 5
	ExitOutcomeUnknown   subcommands.ExitStatus = 6
	ExitUnauthorized     subcommands.ExitStatus = 7
	ExitPartial          subcommands.ExitStatus = 8
	ExitDrainIncomplete  subcommands.ExitStatus = 9
)

// Arguments returns the arguments that are no flags, and sets flags that stand between or behind them.
func Arguments(f *flag.FlagSet) ([]string, error) {
	var list []string
	rest := f.Args()
	for len(rest) > 0 {
		list = append(list, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, err
		}
		rest = f.Args()
	}
	return list, nil
}

// FirstArgument returns the first argument, or "".
func FirstArgument(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// Output is where a command writes.
type Output struct {
	Out io.Writer
	Err io.Writer
}

// JSON writes an indented JSON document.
func (o Output) JSON(v any) subcommands.ExitStatus {
	e := json.NewEncoder(o.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return o.Fail(err)
	}
	return subcommands.ExitSuccess
}

// Report writes a value as JSON, or in the way for people, and returns the status unless writing failed.
func (o Output) Report(asJSON bool, v any, status subcommands.ExitStatus, printText func()) subcommands.ExitStatus {
	if !asJSON {
		printText()
		return status
	}
	if failed := o.JSON(v); failed != subcommands.ExitSuccess {
		return failed
	}
	return status
}

// Table writes rows under a head in aligned columns.
func (o Output) Table(head []string, rows [][]string) {
	w := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(head, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// Printf writes a line for people.
func (o Output) Printf(format string, args ...any) {
	fmt.Fprintf(o.Out, format+"\n", args...)
}

// Fail writes an error and returns the exit code that names it.
func (o Output) Fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(o.Err, "daisygap: %v\n", err)
	var stale *daisygap.StaleError
	var field *daisygap.FieldError
	switch {
	case errors.As(err, &stale):
		o.explainStale(stale)
		return ExitStale
	case errors.As(err, &field):
		return ExitInvalid
	case errors.Is(err, daisygap.ErrStoreUnreachable):
		return ExitStoreUnreachable
	case errors.Is(err, daisygap.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, operator.ErrToken):
		return ExitUnauthorized
	}
	return ExitFailed
}

func (o Output) explainStale(s *daisygap.StaleError) {
	fmt.Fprintf(o.Err, "  it was written against version %d, the current one is %d; since then:\n", s.Base, s.Current)
	for _, p := range s.PatchesSince {
		fmt.Fprintf(o.Err, "  version %d by %s: %s\n", p.Version, p.Author, p.Merge)
	}
	fmt.Fprintf(o.Err, "  look at the changes, then send the patch with --base %d\n", s.Current)
}
