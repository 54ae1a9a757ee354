package load

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/platform"
)

// Command implements the daisygap load command.
type Command struct {
	Output term.Output

	targets      string
	flows        string
	duration     time.Duration
	maxRequests  int
	seed         uint64
	addressBlock string
	callers      int
	asJSON       bool
	direct       bool
	keyFile      string
	platformHost string
}

// Name returns the command's name.
func (*Command) Name() string { return "load" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string {
	return "send open-loop load and measure latency and outcomes by kind and rank"
}

// Usage returns the help text.
func (*Command) Usage() string {
	return `load --target ADDRESS[,ADDRESS...] --flow KIND:RANK:METHOD:PATH:RATE:TARGET[,...]
  RATE is in requests per second, TARGET in milliseconds. Latency is measured from the scheduled send time.
`
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "target", "", "comma-separated caller addresses of daemons")
	f.StringVar(&c.flows, "flow", "", "comma-separated flows to send")
	f.DurationVar(&c.duration, "for", 10*time.Second, "how long to send requests")
	f.IntVar(&c.maxRequests, "most", 1_000_000, "maximum number of requests to send")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random intervals between requests")
	f.StringVar(&c.addressBlock, "block", "10.101", "first two octets of the callers' addresses")
	f.IntVar(&c.callers, "callers", 50, "number of callers in each flow")
	f.BoolVar(&c.asJSON, "json", false, "write JSON")
	f.StringVar(&c.keyFile, "keys", "", "file with customers' keys, one a line, which the requests carry in turn")
	f.StringVar(&c.platformHost, "platform", "", "host name to send to daemons on the platform, with its headers and without look-ups")
	f.BoolVar(&c.direct, "direct", false, "send all requests to the first target, without look-ups")
}

// Execute sends the load and prints a table.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flows, err := c.parseFlows()
	if err == nil && c.targets == "" {
		err = &daisygap.FieldError{Field: "--target", Want: "at least one caller address"}
	}
	var keys []daisygap.CustomerKey
	if err == nil && c.keyFile != "" {
		keys, err = readKeys(c.keyFile)
	}
	if err != nil {
		return c.Output.Fail(err)
	}
	d := &caller.Driver{Targets: strings.Split(c.targets, ","), Flows: flows, Seed: c.seed, MaxRequests: c.maxRequests, Direct: c.direct, Keys: keys}
	if c.platformHost != "" {
		d.Host, d.WriteHead = c.platformHost, platform.WriteCallerHead
	}
	rows := d.Run(ctx)
	if c.asJSON {
		return c.Output.JSON(rows)
	}
	PrintRows(c.Output, rows)
	return subcommands.ExitSuccess
}

// readKeys reads the keys from a file. Empty lines are ignored. Keys aren't flags, because the arguments of a process are public.
func readKeys(name string) ([]daisygap.CustomerKey, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, daisygap.WrapError("read keys", name, err)
	}
	var keys []daisygap.CustomerKey
	for line := range strings.Lines(string(data)) {
		if key := strings.TrimSpace(line); key != "" {
			keys = append(keys, daisygap.CustomerKey(key))
		}
	}
	if len(keys) == 0 {
		return nil, &daisygap.FieldError{Field: "--keys", Want: "a file with at least one key"}
	}
	return keys, nil
}

func (c *Command) parseFlows() ([]caller.Flow, error) {
	var flows []caller.Flow
	for i, spec := range strings.Split(c.flows, ",") {
		fields := strings.Split(spec, ":")
		if len(fields) != 6 {
			return nil, &daisygap.FieldError{Field: "--flow", Want: "KIND:RANK:METHOD:PATH:RATE:TARGET", Got: spec}
		}
		var rank daisygap.Rank
		if err := rank.UnmarshalText([]byte(fields[1])); err != nil {
			return nil, &daisygap.FieldError{Field: "--flow", Want: "a rank", Got: fields[1]}
		}
		rate, err := strconv.ParseFloat(fields[4], 64)
		if err != nil || rate <= 0 {
			return nil, &daisygap.FieldError{Field: "--flow", Want: "a rate above 0", Got: fields[4]}
		}
		target, err := strconv.ParseInt(fields[5], 10, 32)
		if err != nil || target <= 0 {
			return nil, &daisygap.FieldError{Field: "--flow", Want: "a target in milliseconds", Got: fields[5]}
		}
		flows = append(flows, caller.Flow{
			Name: fmt.Sprintf("%s-%d", fields[0], i), Kind: fields[0], Rank: rank, Method: fields[2], Path: fields[3],
			Rate: rate, End: c.duration, Target: daisygap.Millis(target), Callers: c.callers, AddressBlock: c.addressBlock,
		})
	}
	return flows, nil
}

// PrintRows writes a table of the outcomes and latencies of each flow.
func PrintRows(o term.Output, rows []caller.Row) {
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			r.Flow, r.Kind, r.Rank.String(), strconv.Itoa(r.Sent), strconv.Itoa(r.OnTime), strconv.Itoa(r.Late),
			strconv.Itoa(r.Refused), strconv.Itoa(r.Failed), formatLatency(r.P50), formatLatency(r.P99), formatLatency(r.P999), formatReasons(r.Reasons),
		})
	}
	o.Table([]string{"FLOW", "KIND", "RANK", "SENT", "ON TIME", "LATE", "REFUSED", "FAILED", "P50", "P99", "P99.9", "WHY"}, cells)
}

// formatLatency formats a latency in milliseconds.
func formatLatency(ms float64) string {
	return strconv.FormatFloat(ms, 'f', 1, 64)
}
