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

// Status implements the daisygap status command.
type Status struct {
	baseCommand
}

// NewStatus returns the command.
func NewStatus(o term.Output) *Status {
	return &Status{baseCommand{Output: o, description: description{
		name:     "status",
		synopsis: "show the state of a daemon and its view of all domains",
		usage:    "status [--json]\n",
	}}}
}

// SetFlags defines the flags.
func (c *Status) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute prints the status.
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

// formatCondition lists the conditions that apply to a daemon, such as ready or leaseholder.
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

// domainRow returns the table row of a domain.
func domainRow(d daisygap.DomainStatus) []string {
	state := "serving"
	switch {
	case d.Lost:
		state = "not reachable"
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

// Lookup implements the daisygap lookup command.
type Lookup struct {
	baseCommand
	caller string
}

// NewLookup returns the command.
func NewLookup(o term.Output) *Lookup {
	return &Lookup{baseCommand: baseCommand{Output: o, description: description{
		name:     "lookup",
		synopsis: "show the entry hosts that a look-up returns for a caller",
		usage:    "lookup --caller ADDRESS KIND\n",
	}}}
}

// SetFlags defines the flags.
func (c *Lookup) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.caller, "caller", "127.0.0.1", "the caller's IP address")
}

// Execute prints the response to the look-up.
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

// Explain implements the daisygap explain command.
type Explain struct {
	baseCommand
}

// NewExplain returns the command.
func NewExplain(o term.Output) *Explain {
	return &Explain{baseCommand{Output: o, description: description{
		name:     "explain",
		synopsis: "explain a refusal from its receipt",
		usage:    "explain RECEIPT\n  Any daemon can explain a receipt, even if the daemon that issued it no longer exists.\n",
	}}}
}

// SetFlags defines the flags.
func (c *Explain) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute prints the explanation of a receipt.
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

// reasonTexts explains each refusal reason.
var reasonTexts = map[daisygap.Reason]string{
	daisygap.ReasonQueueFull:       "the queue for this kind of request was full",
	daisygap.ReasonDeadline:        "the expected wait plus the service time exceeded the time left before the deadline",
	daisygap.ReasonExpired:         "the deadline passed before the request was complete",
	daisygap.ReasonCancelled:       "the caller disconnected",
	daisygap.ReasonLinkFull:        "the link between the regions had no bandwidth for the response before the deadline",
	daisygap.ReasonNoCapacity:      "no domain that may serve the request had capacity",
	daisygap.ReasonNotAllowed:      "the domain may not serve this kind of request",
	daisygap.ReasonFenced:          "the daemon had no valid lease for its share of the slots",
	daisygap.ReasonDraining:        "everything that could serve the request was being drained",
	daisygap.ReasonPoisoned:        "the same request crashed the upstreams that ran it",
	daisygap.ReasonDuplicate:       "a request with the same idempotency key was run or may have been run",
	daisygap.ReasonBadRequest:      "the request could not be read",
	daisygap.ReasonTooLarge:        "the request body was too large",
	daisygap.ReasonUnknownKind:     "the request matched no configured kind",
	daisygap.ReasonNoConfiguration: "the daemon had not received a configuration yet",
	daisygap.ReasonUnreachable:     "the chosen upstream could not be reached",
	daisygap.ReasonUpstreamFailed:  "the connection to the upstream that ran the request failed",
	daisygap.ReasonUpstreamShed:    "the upstream shed the request",
}

func formatRefusal(r *daisygap.Refusal) string {
	run := "The request was not run."
	if r.Run == daisygap.RunUnknown {
		run = "The request may have been run; its outcome is unknown."
	}
	at := time.UnixMilli(int64(r.Time)).UTC().Format(time.RFC3339)
	f := r.Metrics
	return fmt.Sprintf(`%s: %s
%s
request %s of kind %s (%s), refused by %s in %s at %s under version %d
queued %d, running %d of %d, expected wait %d ms, time left %d ms, retry after %d ms`,
		r.Reason, reasonTexts[r.Reason], run, r.ID, kindOrNone(r.Kind), r.Rank, r.Host, r.Domain, at, r.Version,
		f.Queued, f.Running, f.Limit, f.Wait, f.TimeLeft, r.RetryAfter)
}

func kindOrNone(kind string) string {
	if kind == "" {
		return "(none)"
	}
	return kind
}

// Refusals implements the daisygap refusals command.
type Refusals struct {
	baseCommand
	minutes int
}

// NewRefusals returns the command.
func NewRefusals(o term.Output) *Refusals {
	return &Refusals{baseCommand: baseCommand{Output: o, description: description{
		name:     "refusals",
		synopsis: "count refusals by minute, domain, kind and reason",
		usage:    "refusals [--minutes N] [--json]\n",
	}}}
}

// SetFlags defines the flags.
func (c *Refusals) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.IntVar(&c.minutes, "minutes", 60, "show refusals of this many past minutes")
}

// Execute prints the refusal counts. It returns ExitPartial if some of the counts could not be fetched.
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
		c.Output.Printf("unreachable: %s", m)
	}
}
