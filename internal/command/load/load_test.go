package load

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"

	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// TestLoadSendsKeys guards against keys that don't reach the daemon, and that requests don't use in turn.
func TestLoadSendsKeys(t *testing.T) {
	s := &site.Site{
		Regions: map[string]string{"n-1": "north"}, Routes: []site.Route{{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "stock"}},
		Customers: []site.Customer{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}},
	}
	must(t, s.Run())
	t.Cleanup(s.Close)
	server := &instance.Server{ID: "i", Pool: "stock", Domain: "n-1", Slots: 64}
	must(t, s.StartServer(server))
	d, err := s.Start("host", "n-1")
	must(t, err)
	if !site.Await(5*time.Second, d.Listeners.Daemon.Ready) {
		t.Fatal("daemon not ready after 5 s")
	}
	keys := filepath.Join(t.TempDir(), "keys")
	must(t, os.WriteFile(keys, []byte("key-a\n\n key-b \nunknown\n"), 0o600))
	var out bytes.Buffer
	c := &Command{Output: term.Output{Out: &out, Err: &out}}
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	c.SetFlags(flags)
	must(t, flags.Parse([]string{
		"--target", d.Settings.CallerAddress, "--platform", site.Host, "--keys", keys, "--flow", "reads:normal:GET:/reads/1:200:1000",
		"--most", "30", "--json",
	}))
	if status := c.Execute(context.Background(), flags); status != subcommands.ExitSuccess {
		t.Fatalf("status %d: %s", status, out.String())
	}
	var rows []caller.Row
	must(t, json.Unmarshal(out.Bytes(), &rows))
	if len(rows) != 1 || rows[0].Sent != 30 || rows[0].Refused != 10 || rows[0].Reasons["unknown_key"] != 10 {
		t.Errorf("rows %+v, want 30 requests of which 10 are refused with unknown_key", rows)
	}
	runs := make(map[string]int)
	for _, r := range server.Runs() {
		runs[r.Customer]++
	}
	if diff := cmp.Diff(map[string]int{"a": 10, "b": 10}, runs); diff != "" {
		t.Errorf("runs by customer (-want +got):\n%s", diff)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
