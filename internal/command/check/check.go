package check

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/settings"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// Command implements the daisygap check command.
type Command struct {
	Output term.Output
}

// Name returns the command's name.
func (*Command) Name() string { return "check" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string { return "check settings or configuration files" }

// Usage returns the help text.
func (*Command) Usage() string {
	return "check FILE...\n  A file with a \"host\" field is checked as settings, any other file as a configuration.\n"
}

// SetFlags defines no flags.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute validates every file and reports each invalid one.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files, err := term.Arguments(f)
	if err != nil || len(files) == 0 {
		c.Output.Printf("check: at least one file is required")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, file := range files {
		fileType, err := checkFile(file)
		if err != nil {
			status = c.Output.Fail(err)
			continue
		}
		c.Output.Printf("%s: %s, no fault found", file, fileType)
	}
	return status
}

// checkFile validates a file and returns its type, "settings" or "configuration".
func checkFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", daisygap.WrapError("read", file, err)
	}
	if isSettings(data) {
		_, err := settings.Parse(file, data)
		return "settings", err
	}
	_, err = configuration.Parse(file, data, 1)
	return "configuration", err
}

// isSettings reports whether a file holds settings. JSON that can't be parsed is classified by the text "operator", a
// field that only settings have, so that the syntax error is reported for the right type.
func isSettings(data []byte) bool {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return bytes.Contains(data, []byte(`"operator"`))
	}
	_, ok := fields["host"]
	return ok
}
