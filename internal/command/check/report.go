package check

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/term"
)

// maxShown is the number of findings of one rule that the text output shows for a file. A wrong column can concern every customer. The JSON
// output contains all.
const maxShown = 20

// fileResult is the result of one file. Failures are the errors that make the file as a whole invalid.
type fileResult struct {
	File     string                  `json:"file"`
	Type     string                  `json:"type"`
	Findings []finding               `json:"findings"`
	Changes  []daisygap.ConfigChange `json:"changes,omitempty"`

	failures []error
}

// finding is a finding with its path in the file.
type finding struct {
	Severity daisygap.Severity `json:"severity"`
	Rule     string            `json:"rule"`
	Field    string            `json:"field"`
	Text     string            `json:"text"`
}

// result is the JSON output.
type result struct {
	Files    []fileResult `json:"files"`
	Errors   int          `json:"errors"`
	Warnings int          `json:"warnings"`
}

// add adds a finding with the names of the file's format.
func (r *fileResult) add(f daisygap.Finding) {
	path := f.Table
	for _, part := range []string{f.Name, f.Field} {
		if part != "" {
			path += "." + part
		}
	}
	r.Findings = append(r.Findings, finding{Severity: f.Severity, Rule: f.Rule, Field: path, Text: f.Text})
}

// count returns the number of findings of a severity.
func (r *fileResult) count(severity daisygap.Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// report writes the results and returns the exit code: that of a failed check if a file can't be read, else that of an invalid file if there
// are errors.
func (c *Command) report(files []fileResult) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for i := range files {
		r := &files[i]
		for _, err := range r.failures {
			var field *daisygap.FieldError
			switch {
			case !errors.As(err, &field):
				status = term.ExitFailed
			case status != term.ExitFailed:
				status = term.ExitInvalid
			}
		}
		if r.count(daisygap.SeverityError) > 0 && status != term.ExitFailed {
			status = term.ExitInvalid
		}
	}
	return c.Output.Report(c.asJSON, toJSON(files), status, func() {
		for i := range files {
			c.printFile(&files[i])
		}
	})
}

// toJSON returns the JSON output, in which the failures are findings too.
func toJSON(files []fileResult) result {
	out := result{Files: make([]fileResult, len(files))}
	for i, r := range files {
		list := make([]finding, 0, len(r.failures)+len(r.Findings))
		for _, err := range r.failures {
			list = append(list, failure(err))
		}
		r.Findings = append(list, r.Findings...)
		out.Files[i] = r
		out.Errors += r.count(daisygap.SeverityError)
		out.Warnings += r.count(daisygap.SeverityWarning)
	}
	return out
}

func failure(err error) finding {
	var field *daisygap.FieldError
	if !errors.As(err, &field) {
		return finding{Severity: daisygap.SeverityError, Rule: "unreadable", Text: err.Error()}
	}
	return finding{Severity: daisygap.SeverityError, Rule: "invalid", Field: field.Field, Text: field.Error()}
}

// printFile writes the errors of a file to the standard error, and the rest to the standard output.
func (c *Command) printFile(r *fileResult) {
	for _, err := range r.failures {
		c.Output.Fail(err)
	}
	shown := make(map[string]int)
	var rules []string
	for _, f := range r.Findings {
		if shown[f.Rule]++; shown[f.Rule] > maxShown {
			if shown[f.Rule] == maxShown+1 {
				rules = append(rules, f.Rule)
			}
			continue
		}
		line := fmt.Sprintf("%s: %s: %s (%s)", r.File, printable(f.Field), printable(f.Text), f.Rule)
		if f.Severity == daisygap.SeverityError {
			fmt.Fprintf(c.Output.Err, "daisygap: %s\n", line)
		} else {
			c.Output.Printf("warning: %s", line)
		}
	}
	for _, rule := range rules {
		c.Output.Printf("%s: %d more of %s; --json lists all", r.File, shown[rule]-maxShown, rule)
	}
	c.printChanges(r)
	errorCount, warnings := len(r.failures)+r.count(daisygap.SeverityError), r.count(daisygap.SeverityWarning)
	switch {
	case errorCount > 0:
	case warnings == 1:
		c.Output.Printf("%s: %s, no error, 1 warning", r.File, r.Type)
	case warnings > 1:
		c.Output.Printf("%s: %s, no error, %d warnings", r.File, r.Type, warnings)
	default:
		c.Output.Printf("%s: %s, no fault found", r.File, r.Type)
	}
}

func (c *Command) printChanges(r *fileResult) {
	switch {
	case c.against == "" || r.Type != "configuration" || len(r.failures) > 0:
		return
	case len(r.Changes) == 0:
		c.Output.Printf("%s: no difference from %s", r.File, c.against)
		return
	}
	rows := make([][]string, len(r.Changes))
	for i, change := range r.Changes {
		rows[i] = []string{change.Table, change.Name, change.Field, change.Old, change.New}
		for j, text := range rows[i] {
			if rows[i][j] = printable(text); text == "" {
				rows[i][j] = "-"
			}
		}
	}
	c.Output.Printf("%s: differences from %s", r.File, c.against)
	c.Output.Table([]string{"TABLE", "NAME", "FIELD", "OLD", "NEW"}, rows)
}

// printable quotes a text with control characters, which would break lines or columns.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
