package operate

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/term"
)

// Status is daisygap status.
type Status struct {
	baseCommand
}

// NewStatus returns the command.
func NewStatus(o term.Output) *Status {
	return &Status{baseCommand{Output: o, description: description{
		name:     "status",
		synopsis: "show what a daemon knows of itself and of all domains",
		usage:    "status [--json]\n",
	}}}
}

// SetFlags defines the flags.
func (c *Status) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute shows the status.
func (c *Status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := c.client().Status(ctx)
	if err != nil {
		return c.Output.Fail(err)
	}
	if c.asJSON {
		return c.Output.JSON(s)
	}
	c.Output.Printf("%s in %s (%s): version %d, %s, %d in flight, members %s",
		s.Host, s.Domain, s.Region, s.Version, formatCondition(s), s.InFlight, strings.Join(s.View.Members, " "))
	var rows [][]string
	for _, d := range s.Domains {
		rows = append(rows, domainRow(d))
	}
	c.Output.Table([]string{"DOMAIN", "REGION", "HOSTS", "STATE", "LOAD"}, rows)
	return subcommands.ExitSuccess
}

func formatCondition(s daisygap.Status) string {
	var words []string
	for _, w := range []struct {
		set  bool
		word string
	}{{s.Ready, "ready"}, {!s.Leased, "without a lease"}, {s.IsLeaseholder, "leaseholder"}, {s.Stopping, "leaving"}} {
		if w.set {
			words = append(words, w.word)
		}
	}
	return strings.Join(words, ", ")
}

func domainRow(d daisygap.DomainStatus) []string {
	state := "serving"
	switch {
	case d.Lost:
		state = "not heard from"
	case d.Drained && d.DrainTimeLeft > 0:
		state = fmt.Sprintf("draining, about %.0f s left", float64(d.DrainTimeLeft)/1000)
	case d.Drained:
		state = "drained"
	}
	var loads []string
	for name, l := range d.Loads {
		loads = append(loads, fmt.Sprintf("%s %d/%d+%d", name, l.Running, l.Slots, l.Waiting))
	}
	sort.Strings(loads)
	return []string{d.Domain, d.Region, strconv.Itoa(len(d.Hosts)), state, strings.Join(loads, ", ")}
}

// Lookup is daisygap lookup.
type Lookup struct {
	baseCommand
	caller string
}

// NewLookup returns the command.
func NewLookup(o term.Output) *Lookup {
	return &Lookup{baseCommand: baseCommand{Output: o, description: description{
		name:     "lookup",
		synopsis: "ask which entry hosts a caller would be given",
		usage:    "lookup --caller ADDRESS KIND\n",
	}}}
}

// SetFlags defines the flags.
func (c *Lookup) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.caller, "caller", "127.0.0.1", "the caller's IP address")
}

// Execute asks the question.
func (c *Lookup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	response, err := c.client().Lookup(ctx, c.caller, term.FirstArgument(args))
	if err != nil {
		return c.Output.Fail(err)
	}
	return c.Output.JSON(response)
}

// Explain is daisygap explain.
type Explain struct {
	baseCommand
}

// NewExplain returns the command.
func NewExplain(o term.Output) *Explain {
	return &Explain{baseCommand{Output: o, description: description{
		name:     "explain",
		synopsis: "explain a refusal from its receipt",
		usage:    "explain RECEIPT\n  Any daemon can explain it, also when the one that issued it is gone.\n",
	}}}
}

// SetFlags defines the flags.
func (c *Explain) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute explains a receipt.
func (c *Explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	r, err := c.client().Explain(ctx, term.FirstArgument(args))
	if err != nil {
		return c.Output.Fail(err)
	}
	if c.asJSON {
		return c.Output.JSON(r)
	}
	c.Output.Printf("%s", formatRefusal(r))
	return subcommands.ExitSuccess
}

var reasonTexts = map[daisygap.Reason]string{
	daisygap.ReasonQueueFull:       "the queue of this kind was full",
	daisygap.ReasonDeadline:        "the expected wait and the service time were longer than the time left",
	daisygap.ReasonExpired:         "its time was over",
	daisygap.ReasonCancelled:       "its caller went away",
	daisygap.ReasonLinkFull:        "the link between the regions had no room in time",
	daisygap.ReasonNoCapacity:      "no domain that may serve it had capacity",
	daisygap.ReasonNotAllowed:      "the domain may not serve this kind",
	daisygap.ReasonFenced:          "the daemon held no lease for its share of the slots",
	daisygap.ReasonDraining:        "all that could serve it was being drained",
	daisygap.ReasonPoisoned:        "the same request had crashed the servers that ran it",
	daisygap.ReasonDuplicate:       "a request with the same idempotency key was run or may have been",
	daisygap.ReasonBadRequest:      "the request could not be read",
	daisygap.ReasonTooLarge:        "its body was too large",
	daisygap.ReasonUnknownKind:     "no kind of work matched it",
	daisygap.ReasonNoConfiguration: "the daemon had no configuration yet",
	daisygap.ReasonUnreachable:     "the chosen server could not be reached",
	daisygap.ReasonUpstreamFailed:  "the server that ran it broke the connection",
	daisygap.ReasonUpstreamShed:    "the server turned it away",
}

func formatRefusal(r *daisygap.Refusal) string {
	run := "It was not run."
	if r.Run == daisygap.RunUnknown {
		run = "It may have been run; the outcome is not known."
	}
	at := time.UnixMilli(int64(r.Time)).UTC().Format(time.RFC3339)
	f := r.Metrics
	return fmt.Sprintf(`%s: %s
%s
request %s of kind %s (%s), refused by %s in %s at %s under version %d
queued %d, running %d of %d, expected wait %d ms, time left %d ms, advised to try again after %d ms`,
		r.Reason, reasonTexts[r.Reason], run, r.ID, kindOrNone(r.Kind), r.Rank, r.Host, r.Domain, at, r.Version,
		f.Queued, f.Running, f.Limit, f.Wait, f.TimeLeft, r.RetryAfter)
}

func kindOrNone(kind string) string {
	if kind == "" {
		return "(none)"
	}
	return kind
}

// Refusals is daisygap refusals.
type Refusals struct {
	baseCommand
	minutes int
}

// NewRefusals returns the command.
func NewRefusals(o term.Output) *Refusals {
	return &Refusals{baseCommand: baseCommand{Output: o, description: description{
		name:     "refusals",
		synopsis: "sum the refusals by minute, domain, kind and reason",
		usage:    "refusals [--minutes N] [--json]\n",
	}}}
}

// SetFlags defines the flags.
func (c *Refusals) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.IntVar(&c.minutes, "minutes", 60, "how far back to look")
}

// Execute sums the refusals, and exits with the code for partial answers when something was not reached.
func (c *Refusals) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	all, missing, err := c.client().Totals(ctx)
	if err != nil {
		return c.Output.Fail(err)
	}
	oldest := time.Now().Unix()/60 - int64(c.minutes)
	var totals []daisygap.RefusalTotal
	for _, t := range all {
		if t.Minute >= oldest {
			totals = append(totals, t)
		}
	}
	status := subcommands.ExitSuccess
	if len(missing) > 0 {
		status = term.ExitPartial
	}
	report := struct {
		Totals  []daisygap.RefusalTotal `json:"totals"`
		Missing []string                `json:"missing"`
	}{totals, missing}
	return c.Output.Report(c.asJSON, report, status, func() { c.print(totals, missing) })
}

func (c *Refusals) print(totals []daisygap.RefusalTotal, missing []string) {
	var rows [][]string
	for _, t := range totals {
		at := time.Unix(t.Minute*60, 0).UTC().Format("2006-01-02T15:04Z")
		rank := t.Rank.String()
		if t.Kind == "" {
			rank = "-"
		}
		rows = append(rows, []string{at, t.Domain, kindOrNone(t.Kind), rank, string(t.Reason), strconv.FormatInt(t.Count, 10)})
	}
	c.Output.Table([]string{"MINUTE", "DOMAIN", "KIND", "RANK", "REASON", "COUNT"}, rows)
	for _, m := range missing {
		c.Output.Printf("not reached: %s", m)
	}
}
