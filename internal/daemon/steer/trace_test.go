package steer_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/command/operate"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// logBuffer collects the log of all daemons of a site.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (r *logBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Write(p)
}

func (r *logBuffer) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.String()
}

// startWithLog starts a site with one daemon and captures its log.
func startWithLog(t *testing.T, domain string, pools ...string) (*testSite, *logBuffer) {
	t.Helper()
	r := &logBuffer{}
	out := logrus.New()
	out.SetOutput(r)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	ts := &testSite{
		Site: &site.Site{Regions: regions, Routes: routes, Log: out}, t: t,
		servers: make(map[string]*instance.Server),
	}
	ts.must(ts.Run())
	t.Cleanup(ts.Close)
	for _, pool := range pools {
		ts.startServer(domain+"-"+pool, pool, domain)
	}
	d, err := ts.Start("host-0", domain)
	ts.must(err)
	ts.daemons = append(ts.daemons, d)
	ts.await("the daemon to become ready", d.Listeners.Daemon.Ready)
	return ts, r
}

// trace returns the output of daisygap trace for a log.
func trace(t *testing.T, id, log string) string {
	t.Helper()
	var out bytes.Buffer
	c := operate.NewTrace(term.Output{Out: &out, Err: &out})
	c.In = strings.NewReader(log)
	flags := flag.NewFlagSet("trace", flag.ContinueOnError)
	if err := flags.Parse([]string{id}); err != nil {
		t.Fatal(err)
	}
	if status := c.Execute(context.Background(), flags); status != subcommands.ExitSuccess {
		t.Fatalf("status %d: %s", status, out.String())
	}
	return out.String()
}

// varyingParts replaces what differs from run to run.
var varyingParts = []struct{ from, to string }{
	{`\d\d:\d\d:\d\d\.\d{3}`, "TIME"},
	{`request-\d+`, "REQUEST"},
	{`run=\w{8,}`, "run=RUN"},
	{`127(\.\d+){3}:\d+`, "ADDRESS"},
	{` error=.*?( \w+=)`, " error=ERROR$1"},
	{`(_ms|load|wait|revision|in_flight)=-?[\d.e-]+`, "$1=N"},
	{`fingerprint=[0-9a-f]{16}`, "fingerprint=FINGERPRINT"},
	{`by=host-0\.\w+`, "by=host-0.RUN"},
}

// compareTrace compares the output of a trace with its golden file.
func compareTrace(t *testing.T, name, output string) {
	t.Helper()
	for _, v := range varyingParts {
		output = regexp.MustCompile(v.from).ReplaceAllString(output, v.to)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(output), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), output); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestTraceOfRequestRefusedUnderOverload(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "desk")
	ts.servers["n-1-desk"].Slots = 1
	ts.servers["n-1-desk"].ServiceTime = 200
	ts.must(ts.Register(ts.servers["n-1-desk"]))
	ts.await("the server's new entry", func() bool { return strings.Count(log.text(), `"key":"servers/n-1-desk"`) > 1 })
	var group sync.WaitGroup
	refused := make(chan string, 20)
	for i := range 12 {
		client := newClient(t)
		group.Go(func() {
			if got := ts.sendRequest(client, ts.daemons[0], http.MethodPost, fmt.Sprintf("/orders/%d", i), ""); got.header.Get(daisygap.HeaderReason) == string(daisygap.ReasonQueueFull) {
				refused <- got.id
			}
		})
	}
	group.Wait()
	if len(refused) == 0 {
		t.Fatal("no request was refused with reason queue_full")
	}
	compareTrace(t, "overload", trace(t, <-refused, log.text()))
}

func TestTraceOfRequestWithTruncatedResponse(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "desk")
	ts.setFault(instance.Cut, "desk")
	got := ts.sendRequest(newClient(t), ts.daemons[0], http.MethodPost, "/orders/1", "an order")
	if got.status != http.StatusBadGateway {
		t.Fatalf("status %d", got.status)
	}
	compareTrace(t, "broken", trace(t, got.id, log.text()))
}

func TestTraceOfTimeoutAroundConfigurationChangeAndPlannedStop(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "stock")
	ts.setFault(instance.Silent, "stock")
	ts.must(ts.Configure(routes))
	ts.await("configuration version 6", func() bool { return strings.Contains(log.text(), `"version":6`) })
	ts.daemons[0].Listeners.Daemon.Leave(ts.daemons[0].Listeners.Daemon.Clock.Now() + 5_000)
	got := ts.sendRequest(newClient(t), ts.daemons[0], http.MethodGet, "/brief/1", "")
	if got.status != http.StatusGatewayTimeout {
		t.Fatalf("status %d", got.status)
	}
	compareTrace(t, "stop", trace(t, got.id, log.text()))
}

func TestTraceOfRequestThatCrashesServers(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "desk")
	for i := range 3 {
		ts.servers["n-1-desk"].SetFault(instance.Crash)
		got := ts.sendRequest(newClient(t), ts.daemons[0], http.MethodPost, "/orders/1", "an order")
		if got.status != http.StatusBadGateway {
			t.Fatalf("copy %d: status %d", i, got.status)
		}
		ts.await("the evidence", func() bool { return strings.Count(log.text(), `"request crashed"`) > i })
		ts.must(ts.Put(fmt.Sprintf("servers/n-1-desk%s", strings.Repeat("-next", i)), nil))
		id := "n-1-desk" + strings.Repeat("-next", i+1)
		ts.startServer(id, "desk", "n-1")
		ts.servers["n-1-desk"] = ts.servers[id]
		ts.await("the next server", func() bool { return strings.Contains(log.text(), `"key":"servers/`+id+`"`) })
	}
	got := ts.sendRequest(newClient(t), ts.daemons[0], http.MethodPost, "/orders/1", "an order")
	if got.header.Get(daisygap.HeaderReason) != string(daisygap.ReasonPoisoned) {
		t.Fatalf("status %d, reason %q", got.status, got.header.Get(daisygap.HeaderReason))
	}
	compareTrace(t, "poisoned", trace(t, got.id, log.text()))
}

// TestLogRateIsLimited guards against a log that grows with the number of refusals. It has 2,000 requests refused and counts
// their lines, which must stay within the rate, and expects an event with the number of suppressed lines.
func TestLogRateIsLimited(t *testing.T) {
	ts, log := startWithLog(t, "n-1")
	client := newClient(t)
	started := time.Now()
	const count = 2_000
	for i := range count {
		ts.sendRequest(client, ts.daemons[0], http.MethodPost, fmt.Sprintf("/orders/%d", i), "")
	}
	time.Sleep(1100 * time.Millisecond)
	ts.sendRequest(client, ts.daemons[0], http.MethodPost, "/orders/last", "")
	text := log.text()
	seconds := int(time.Since(started).Seconds()) + 2
	if n := strings.Count(text, `"msg":"refusal"`); n == 0 || n > 20*seconds {
		t.Errorf("log has %d lines for %d refusals in %d s", n, count, seconds)
	}
	if !strings.Contains(text, `"events suppressed"`) {
		t.Error("no event reports the suppressed lines")
	}
}
