package operate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/term"
)

const (
	// contextWindow is how long before the request's first event the events that give its context are included.
	contextWindow = 5 * time.Second
	// maxLineBytes is the maximum length of a log line; a longer line is an error.
	maxLineBytes = 1 << 20
)

// Trace implements the daisygap trace command.
type Trace struct {
	description
	Output term.Output
	// In is read when no log file is named.
	In io.Reader
}

// NewTrace returns the command.
func NewTrace(o term.Output) *Trace {
	return &Trace{Output: o, In: os.Stdin, description: description{
		name:     "trace",
		synopsis: "trace one request through the daemons' logs",
		usage: "trace REQUEST-ID [FILE...]\n" +
			"  Reads JSON log lines of any number of daemons from files or standard input, and ignores text before\n" +
			"  the first brace of a line. Prints the events of the request in time order, together with the events\n" +
			"  of its daemons about the store, the configuration and its upstreams from 5 s before its first event.\n",
	}}
}

// SetFlags defines no flags.
func (*Trace) SetFlags(*flag.FlagSet) {}

// Execute prints the trace. It fails if no line names the request.
func (c *Trace) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return subcommands.ExitUsageError
	}
	var lines []logLine
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			return c.Output.Fail(daisygap.WrapError("read log", name, err))
		}
		found, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return c.Output.Fail(daisygap.WrapError("read log", name, err))
		}
		lines = append(lines, found...)
	}
	if f.NArg() == 1 {
		found, err := readLog(c.In)
		if err != nil {
			return c.Output.Fail(daisygap.WrapError("read log", "standard input", err))
		}
		lines = found
	}
	trace := requestTrace(f.Arg(0), lines)
	if len(trace) == 0 {
		c.Output.Printf("no line names request %s; its events may have been suppressed, see \"events suppressed\" in the logs", f.Arg(0))
		return term.ExitFailed
	}
	for _, l := range trace {
		c.Output.Printf("%s", l.format())
	}
	return subcommands.ExitSuccess
}

// logLine is one event in a daemon's log.
type logLine struct {
	time   time.Time
	host   string
	event  string
	fields map[string]any
}

func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

// parseLine parses one line. It reports false for a line that isn't a daemon's event, such as a truncated one.
func parseLine(data []byte) (logLine, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(data[start:]))
	// A number prints as it was logged.
	d.UseNumber()
	if d.Decode(&fields) != nil || d.More() {
		return logLine{}, false
	}
	popField := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339, popField("time"))
	l := logLine{time: at, host: popField("host"), event: popField("msg"), fields: fields}
	delete(fields, "level")
	delete(fields, "part")
	return l, err == nil && l.event != ""
}

// requestTrace returns the events of a request in time order, those of any daemon on crashes of upstreams under copies of it, and the
// events of the same daemons that give its context, from contextWindow before its first event to its last one.
func requestTrace(id string, lines []logLine) []logLine {
	hosts, upstreams, fingerprints := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.fields["id"] != id {
			continue
		}
		hosts[l.host] = true
		if u, ok := l.fields["upstream"].(string); ok {
			upstreams[u] = true
		}
		if f, ok := l.fields["fingerprint"].(string); ok {
			fingerprints[f] = true
		}
		if first.IsZero() || l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
	}
	trace := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.fields["id"] == id {
			return false
		}
		if f, ok := l.fields["fingerprint"].(string); ok && strings.HasPrefix(l.event, "request ") {
			return !fingerprints[f]
		}
		near := l.time.After(first.Add(-contextWindow)) && !l.time.After(last)
		return !near || !hosts[l.host] || !isContext(l, upstreams)
	})
	slices.SortStableFunc(trace, func(a, b logLine) int { return a.time.Compare(b.time) })
	return trace
}

// isContext reports whether an event is about the state of the daemon or of one of the request's upstreams.
func isContext(l logLine, upstreams map[string]bool) bool {
	switch l.event {
	case "start", "stop", "stopped", "reload", "configuration", "row dropped", "shared key", "evacuation", "store lost", "store reached", "lease lapsed":
		return true
	case "upstream", "entry ended":
		key, _ := l.fields["key"].(string)
		return upstreams[key[strings.LastIndexByte(key, '/')+1:]]
	}
	return false
}

// format returns the event as one line with its fields sorted by name.
func (l logLine) format() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.time.UTC().Format("15:04:05.000"), l.host, l.event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, strings.ReplaceAll(fmt.Sprint(l.fields[name]), "\n", "; "))
	}
	return b.String()
}
