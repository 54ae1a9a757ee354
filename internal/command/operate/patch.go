package operate

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/command/term"
)

// pollInterval is how often the daemons' versions are fetched while waiting.
const pollInterval = 100 * time.Millisecond

// commitCommand holds the flags and the commit logic of the commands that change the configuration.
type commitCommand struct {
	baseCommand
	base        uint64
	id          string
	author      string
	waitTimeout time.Duration
}

func (c *commitCommand) setCommitFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.base, "base", 0, "the version that the patch is based on")
	f.StringVar(&c.id, "id", "", "patch ID; reuse it to retry after a lost response")
	f.StringVar(&c.author, "author", envOr("USER", "operator"), "author recorded with the change")
	f.DurationVar(&c.waitTimeout, "wait", 0, "wait up to this long until all daemons have the version")
}

// commitPatch commits a merge patch and prints the new version. With --wait it first waits until the daemons have it.
func (c *commitCommand) commitPatch(ctx context.Context, merge []byte) subcommands.ExitStatus {
	client := c.client()
	if c.id == "" {
		c.id = uuid.NewString()
	}
	version, err := client.Patch(ctx, c.base, daisygap.Patch{ID: c.id, Author: c.author, Merge: merge})
	if err != nil {
		status := c.Output.Fail(err)
		if status == term.ExitOutcomeUnknown {
			c.Output.Printf("  the patch ID is %s", c.id)
		}
		return status
	}
	result := commitResult{Version: version, ID: c.id}
	if c.waitTimeout > 0 {
		c.awaitVersion(ctx, client, &result)
	}
	return c.report(&result)
}

// commitResult is the report on a committed patch.
type commitResult struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	Waited  bool   `json:"waited"`
	// UpToDate names the daemons that have the version or a later one, Behind those with an earlier one.
	UpToDate []string `json:"have,omitempty"`
	Behind   []string `json:"lack,omitempty"`
	// Unreachable names the domains whose daemons could not be listed.
	Unreachable []string `json:"silent,omitempty"`
}

// awaitVersion polls until all daemons of all domains have the version, or the wait timeout expires.
func (c *commitCommand) awaitVersion(ctx context.Context, client *operator.Client, result *commitResult) {
	ctx, cancel := context.WithTimeout(ctx, c.waitTimeout)
	defer cancel()
	result.Waited = true
	for {
		members, unreachable, err := client.Members(ctx)
		if err == nil {
			result.UpToDate, result.Behind, result.Unreachable = hostsUpToDate(members, result.Version), hostsBehind(members, result.Version), unreachable
			if len(result.Behind) == 0 && len(result.Unreachable) == 0 {
				return
			}
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func hostsUpToDate(members []daisygap.MemberStatus, version uint64) []string {
	var hosts []string
	for _, m := range members {
		if m.Version >= version {
			hosts = append(hosts, m.Host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

func hostsBehind(members []daisygap.MemberStatus, version uint64) []string {
	var hosts []string
	for _, m := range members {
		if m.Version < version {
			hosts = append(hosts, m.Host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

func (c *commitCommand) report(result *commitResult) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if len(result.Behind)+len(result.Unreachable) > 0 {
		status = term.ExitPartial
	}
	return c.Output.Report(c.asJSON, result, status, func() { c.print(result) })
}

func (c *commitCommand) print(result *commitResult) {
	c.Output.Printf("version %d is committed", result.Version)
	if !result.Waited {
		return
	}
	c.Output.Printf("in force on %d daemons", len(result.UpToDate))
	for _, host := range result.Behind {
		c.Output.Printf("not yet in force on %s", host)
	}
	for _, domain := range result.Unreachable {
		c.Output.Printf("domain %s is unreachable", domain)
	}
}

// Patch implements the daisygap patch command.
type Patch struct {
	commitCommand
}

// NewPatch returns the command.
func NewPatch(o term.Output) *Patch {
	return &Patch{commitCommand{baseCommand: baseCommand{Output: o, description: description{
		name:     "patch",
		synopsis: "commit a merge patch to the configuration",
		usage: `patch --base N FILE    commit a merge patch (RFC 7396) as version N+1; - reads standard input
  If N is not the current version, the patch is rejected and the patches committed since N are listed.
`,
	}}}}
}

// SetFlags defines the flags.
func (c *Patch) SetFlags(f *flag.FlagSet) { c.setCommitFlags(f) }

// Execute commits the patch in a file.
func (c *Patch) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	merge, err := readFile(term.FirstArgument(args))
	if err != nil {
		return c.Output.Fail(err)
	}
	if !json.Valid(merge) {
		return c.Output.Fail(&daisygap.FieldError{File: args[0], Field: "patch", Want: "a JSON object (RFC 7396)"})
	}
	return c.commitPatch(ctx, merge)
}

func readFile(name string) ([]byte, error) {
	switch name {
	case "":
		return nil, &daisygap.FieldError{Field: "FILE", Want: "a file name, or - for standard input"}
	case "-":
		data, err := io.ReadAll(os.Stdin)
		return data, daisygap.WrapError("read", "standard input", err)
	}
	data, err := os.ReadFile(name)
	return data, daisygap.WrapError("read", name, err)
}

// drainSections maps the types that can be drained to their section under drains in the configuration.
var drainSections = map[string]string{"host": "hosts", "upstream": "upstreams", "domain": "domains", "region": "regions"}

// Drain implements the daisygap drain command.
type Drain struct {
	commitCommand
	undo bool
}

// NewDrain returns the command.
func NewDrain(o term.Output) *Drain {
	return &Drain{commitCommand: commitCommand{baseCommand: baseCommand{Output: o, description: description{
		name:     "drain",
		synopsis: "drain a host, an upstream, a domain or a region",
		usage: `drain host|upstream|domain|region NAME    commit a patch that starts the drain
  daisygap status shows the progress; --undo ends the drain.
`,
	}}}}
}

// SetFlags defines the flags.
func (c *Drain) SetFlags(f *flag.FlagSet) {
	c.setCommitFlags(f)
	f.BoolVar(&c.undo, "undo", false, "end the drain")
}

// Execute commits a patch that starts or ends the drain.
func (c *Drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil || len(args) != 2 || drainSections[args[0]] == "" {
		c.Output.Printf("%s", c.Usage())
		return subcommands.ExitUsageError
	}
	if c.base == 0 {
		version, _, err := c.client().Document(ctx)
		if err != nil {
			return c.Output.Fail(err)
		}
		c.base = version
	}
	value := "true"
	if c.undo {
		value = "null"
	}
	merge := `{"drains":{` + strconv.Quote(drainSections[args[0]]) + `:{` + strconv.Quote(args[1]) + `:` + value + `}}}`
	return c.commitPatch(ctx, []byte(merge))
}
