package check

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/settings"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/policy/validation"
	"github.com/daisygap/daisygap/platform"
)

// Command implements the daisygap check command.
type Command struct {
	Output term.Output

	against string
	servers string
	asJSON  bool
}

// Name returns the command's name.
func (*Command) Name() string { return "check" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string { return "check settings or configuration files" }

// Usage returns the help text.
func (*Command) Usage() string {
	return `check [--against FILE] [--servers FILE] [--json] FILE...
  A file with a "host" field is checked as settings, any other file as a configuration: that of the platform's store if it has a "version" or
  one of its tables, and else the product's own. Settings with the part "steering" tell the regions to check the other files with.
`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "file with the configuration in force, also as the store or config show returns it, to list the differences from")
	f.StringVar(&c.servers, "servers", "", "file with the store's listing of servers/, to check against the registered upstreams")
	f.BoolVar(&c.asJSON, "json", false, "write the results as JSON")
}

// Execute checks every file and reports errors, warnings and differences. Warnings alone don't fail.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := term.Arguments(f)
	if err != nil || len(names) == 0 {
		c.Output.Printf("check: at least one file is required")
		return subcommands.ExitUsageError
	}
	in, err := c.read(names)
	if err != nil {
		return c.Output.Fail(err)
	}
	files := make([]fileResult, len(in.files))
	for i, f := range in.files {
		files[i] = in.check(f)
	}
	return c.report(files)
}

// input is the content of the files and what they are checked with.
type input struct {
	files       []inputFile
	against     string
	againstData []byte
	facts       validation.Facts
}

type inputFile struct {
	name     string
	data     []byte
	settings bool
	err      error
}

// read reads all files, and takes the domains from the settings among the checked files.
func (c *Command) read(names []string) (*input, error) {
	in := &input{against: c.against}
	var err error
	if c.against != "" {
		if in.againstData, err = os.ReadFile(c.against); err != nil {
			return nil, daisygap.WrapError("read", c.against, err)
		}
		in.againstData = unwrap(in.againstData)
	}
	if c.servers != "" {
		data, err := os.ReadFile(c.servers)
		if err != nil {
			return nil, daisygap.WrapError("read", c.servers, err)
		}
		if in.facts.Instances, err = platform.DecodeServers(data); err != nil {
			return nil, inFile(c.servers, err)
		}
		in.facts.HasInstances = true
	}
	for _, name := range names {
		f := inputFile{name: name}
		f.data, f.err = os.ReadFile(name)
		f.settings = f.err == nil && isSettings(f.data)
		in.files = append(in.files, f)
		if !f.settings {
			continue
		}
		if s, err := settings.Parse(name, f.data); err == nil && s.Steering != nil {
			in.facts.Domains = s.Steering.Domains
		}
	}
	return in, nil
}

// inFile adds the file to a field error.
func inFile(file string, err error) error {
	var field *daisygap.FieldError
	if !errors.As(err, &field) {
		return err
	}
	located := *field
	located.File = file
	return &located
}

// check checks one file.
func (in *input) check(f inputFile) fileResult {
	switch {
	case f.err != nil:
		return fileResult{File: f.name, Type: "unreadable", failures: []error{daisygap.WrapError("read", f.name, f.err)}}
	case f.settings:
		r := fileResult{File: f.name, Type: "settings"}
		if _, err := settings.Parse(f.name, f.data); err != nil {
			r.failures = append(r.failures, err)
		}
		return r
	case platform.IsConfiguration(f.data):
		return in.checkSteering(f.name, f.data)
	default:
		return in.checkEntry(f.name, f.data)
	}
}
