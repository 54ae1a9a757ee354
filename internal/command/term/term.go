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

// Exit codes of all commands, besides 0 for success and 2 for an invalid command line.
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

// Arguments returns the positional arguments. It also parses flags between and after them, which the flag package
// doesn't do.
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

// FirstArgument returns the first argument, or "" if there is none.
func FirstArgument(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// Output holds the streams that a command writes its results and errors to.
type Output struct {
	Out io.Writer
	Err io.Writer
}

// JSON writes a value as an indented JSON document and returns the exit code.
func (o Output) JSON(v any) subcommands.ExitStatus {
	e := json.NewEncoder(o.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return o.Fail(err)
	}
	return subcommands.ExitSuccess
}

// Report writes a value as JSON or calls printText, and returns the status unless writing the JSON failed.
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

// Table writes a header and rows in aligned columns.
func (o Output) Table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(o.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// Printf writes a formatted line to the standard output.
func (o Output) Printf(format string, args ...any) {
	fmt.Fprintf(o.Out, format+"\n", args...)
}

// Fail writes an error to the standard error and returns the exit code for its type.
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

// explainStale lists the patches committed since the base version of a rejected patch.
func (o Output) explainStale(s *daisygap.StaleError) {
	fmt.Fprintf(o.Err, "  the base version is %d, the current version is %d; committed since the base version:\n", s.Base, s.Current)
	for _, p := range s.PatchesSince {
		fmt.Fprintf(o.Err, "  version %d by %s: %s\n", p.Version, p.Author, p.Merge)
	}
	fmt.Fprintf(o.Err, "  review these changes, then send the patch again with --base %d\n", s.Current)
}
