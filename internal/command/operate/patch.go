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

const pollSpan = 100 * time.Millisecond

// commit holds the flags of commands that change the configuration.
type commit struct {
	connection
	base   uint64
	id     string
	author string
	wait   time.Duration
}

func (c *commit) setCommitFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.base, "base", 0, "the version that the patch was written against")
	f.StringVar(&c.id, "id", "", "patch ID; give the same one again after a lost answer")
	f.StringVar(&c.author, "author", envOr("USER", "operator"), "who changes the configuration")
	f.DurationVar(&c.wait, "wait", 0, "wait until all daemons heard from have the version, at most so long")
}

// send commits a merge patch, tells the version and waits for it if asked.
func (c *commit) send(ctx context.Context, merge []byte) subcommands.ExitStatus {
	client := c.client()
	if c.id == "" {
		c.id = uuid.NewString()
	}
	version, err := client.Patch(ctx, c.base, daisygap.Patch{ID: c.id, Author: c.author, Merge: merge})
	if err != nil {
		status := c.Output.Fail(err)
		if status == term.ExitUnknown {
			c.Output.Printf("  the patch ID is %s", c.id)
		}
		return status
	}
	outcome := outcome{Version: version, ID: c.id}
	if c.wait > 0 {
		c.await(ctx, client, &outcome)
	}
	return c.tell(&outcome)
}

// outcome is what a committed patch is reported as.
type outcome struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	Waited  bool   `json:"waited"`
	// Have and Lack name daemons that have the version or a later one, and those that don't yet.
	Have []string `json:"have,omitempty"`
	Lack []string `json:"lack,omitempty"`
	// Silent names the domains that were not heard from.
	Silent []string `json:"silent,omitempty"`
}

func (c *commit) await(ctx context.Context, client *operator.Client, o *outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	o.Waited = true
	for {
		members, silent, err := client.Members(ctx)
		if err == nil {
			o.Have, o.Lack, o.Silent = split(members, o.Version), lacking(members, o.Version), silent
			if len(o.Lack) == 0 && len(o.Silent) == 0 {
				return
			}
		}
		timer := time.NewTimer(pollSpan)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func split(members []daisygap.MemberStatus, version uint64) []string {
	var have []string
	for _, m := range members {
		if m.Version >= version {
			have = append(have, m.Host)
		}
	}
	sort.Strings(have)
	return have
}

func lacking(members []daisygap.MemberStatus, version uint64) []string {
	var lack []string
	for _, m := range members {
		if m.Version < version {
			lack = append(lack, m.Host)
		}
	}
	sort.Strings(lack)
	return lack
}

func (c *commit) tell(o *outcome) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	if len(o.Lack)+len(o.Silent) > 0 {
		status = term.ExitPartial
	}
	return c.Output.Report(c.json, o, status, func() { c.describe(o) })
}

func (c *commit) describe(o *outcome) {
	c.Output.Printf("version %d is committed", o.Version)
	if !o.Waited {
		return
	}
	c.Output.Printf("in force on %d daemons", len(o.Have))
	for _, host := range o.Lack {
		c.Output.Printf("not yet on %s", host)
	}
	for _, domain := range o.Silent {
		c.Output.Printf("not heard from domain %s", domain)
	}
}

// Patch is daisygap patch.
type Patch struct {
	commit
}

// NewPatch returns the command.
func NewPatch(o term.Output) *Patch {
	return &Patch{commit{connection: connection{Output: o, about: about{
		name:     "patch",
		synopsis: "change the configuration against a numbered version",
		usage: `patch --base N FILE    commit a merge patch (RFC 7396) as version N+1; FILE may be -
  A patch written against another version than the current one is refused with what changed since.
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
	return c.send(ctx, merge)
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

// sections maps what can be drained to its part of the configuration.
var sections = map[string]string{"host": "hosts", "upstream": "upstreams", "domain": "domains", "region": "regions"}

// Drain is daisygap drain.
type Drain struct {
	commit
	undo bool
}

// NewDrain returns the command.
func NewDrain(o term.Output) *Drain {
	return &Drain{commit: commit{connection: connection{Output: o, about: about{
		name:     "drain",
		synopsis: "empty a host, an upstream, a domain or a region",
		usage: `drain host|upstream|domain|region NAME    patch the drains of the current version
  daisygap status shows the progress; --undo ends the drain.
`,
	}}}}
}

// SetFlags defines the flags.
func (c *Drain) SetFlags(f *flag.FlagSet) {
	c.setCommitFlags(f)
	f.BoolVar(&c.undo, "undo", false, "end the drain")
}

// Execute patches the drains.
func (c *Drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil || len(args) != 2 || sections[args[0]] == "" {
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
	merge := `{"drains":{` + strconv.Quote(sections[args[0]]) + `:{` + strconv.Quote(args[1]) + `:` + value + `}}}`
	return c.send(ctx, []byte(merge))
}
