package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"strconv"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/term"
)

// Config implements the daisygap config command.
type Config struct {
	baseCommand
	since uint64
}

// NewConfig returns the command.
func NewConfig(o term.Output) *Config {
	return &Config{baseCommand: baseCommand{Output: o, description: description{
		name:     "config",
		synopsis: "show the configuration, its history or the difference to a file",
		usage: `config show            the current version, without the callers' address blocks
config history         the patches committed after version --since
config diff FILE       the merge patch from the current version to the file
`,
	}}}
}

// SetFlags defines the flags.
func (c *Config) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.since, "since", 0, "show the patches after this version")
}

// Execute runs one of the subcommands.
func (c *Config) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := term.Arguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	switch term.FirstArgument(args) {
	case "show", "":
		return c.show(ctx)
	case "history":
		return c.history(ctx)
	case "diff":
		return c.diff(ctx, term.FirstArgument(args[1:]))
	}
	c.Output.Printf("%s", c.Usage())
	return subcommands.ExitUsageError
}

func (c *Config) show(ctx context.Context) subcommands.ExitStatus {
	version, document, err := c.client().Document(ctx)
	if err != nil {
		return c.Output.Fail(err)
	}
	if c.asJSON {
		return c.Output.JSON(struct {
			Version  uint64          `json:"version"`
			Document json.RawMessage `json:"document"`
		}{version, document})
	}
	var text bytes.Buffer
	if err := json.Indent(&text, document, "", "  "); err != nil {
		return c.Output.Fail(err)
	}
	c.Output.Printf("version %d\n%s", version, text.String())
	return subcommands.ExitSuccess
}

func (c *Config) history(ctx context.Context) subcommands.ExitStatus {
	patches, truncated, err := c.client().History(ctx, c.since)
	if err != nil {
		return c.Output.Fail(err)
	}
	if c.asJSON {
		return c.Output.JSON(patches)
	}
	if truncated {
		c.Output.Printf("patches of older versions are compacted into a snapshot")
	}
	var rows [][]string
	for _, p := range patches {
		rows = append(rows, []string{strconv.FormatUint(p.Version, 10), formatTime(p.Time), p.Author, p.ID, truncate(p.Merge)})
	}
	c.Output.Table([]string{"VERSION", "TIME", "AUTHOR", "ID", "PATCH"}, rows)
	return subcommands.ExitSuccess
}

func formatTime(t daisygap.Millis) string {
	if t == 0 {
		return "-"
	}
	return time.UnixMilli(int64(t)).UTC().Format(time.RFC3339)
}

func truncate(merge []byte) string {
	const maxLength = 100
	if len(merge) > maxLength {
		return string(merge[:maxLength]) + "..."
	}
	return string(merge)
}

func (c *Config) diff(ctx context.Context, file string) subcommands.ExitStatus {
	want, err := readFile(file)
	if err != nil {
		return c.Output.Fail(err)
	}
	_, document, err := c.client().Document(ctx)
	if err != nil {
		return c.Output.Fail(err)
	}
	merge, err := jsonpatch.CreateMergePatch(document, want)
	if err != nil {
		return c.Output.Fail(daisygap.WrapError("compare", file, err))
	}
	return c.Output.JSON(json.RawMessage(withoutSigningKeys(merge)))
}

// withoutSigningKeys removes the signing keys from a merge patch. The daemon returns them masked, so that the difference
// would replace the real keys.
func withoutSigningKeys(merge []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(merge, &fields) != nil {
		return merge
	}
	delete(fields, "keys")
	out, err := json.Marshal(fields)
	if err != nil {
		return merge
	}
	return out
}
