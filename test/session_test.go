// Package test runs scripted sessions of operators and callers against daemons that run as separate processes.
package test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/tools/txtar"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/command/run"
	"github.com/daisygap/daisygap/internal/standin/fleet"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/store"
	"github.com/daisygap/daisygap/internal/standin/upstream"
)

const readyTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"daisygap": func() { os.Exit(run.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":    expand,
			"listening": listening,
			"members":   members,
			"ready":     ready,
			"send":      send,
			"faults":    faults,
			"golden":    golden,
		},
	})
}

// setup starts a store and two upstreams, and chooses free addresses for the listeners of the daemons a and b.
func setup(env *testscript.Env) error {
	clock := &daisygap.Clock{}
	server := &store.Server{Memory: store.NewMemory(clock)}
	storeServer := httptest.NewServer(server.Handler())
	env.Defer(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	env.Setenv("STORE", storeServer.URL)
	env.Values["store"] = server
	for i := range 2 {
		u := &upstream.Server{Name: fmt.Sprintf("orders-%d", i+1), Clock: clock, Slots: 4, ServiceTime: 5, ResponseBytes: 100, RestartDelay: 200, Seed: 1}
		address, err := port.Free()
		if err != nil {
			return err
		}
		if err := u.Run(address); err != nil {
			return err
		}
		env.Defer(u.Close)
		env.Setenv(fmt.Sprintf("UP%d", i+1), u.Address())
	}
	for _, host := range []string{"A", "B"} {
		for _, listener := range []string{"CALLER", "CARRY", "PEER", "OPERATOR"} {
			address, err := port.Free()
			if err != nil {
				return err
			}
			env.Setenv(host+"_"+listener, address)
		}
	}
	env.Setenv("DAISYGAP_TOKEN", "secret")
	env.Setenv("USER", "op")
	return nil
}

// expand replaces environment variables in the given files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// listening waits until each of the given operator addresses answers.
func listening(ts *testscript.TestScript, _ bool, args []string) {
	await(ts, args, func(status int) bool { return status != 0 })
}

// members waits until the membership view of a daemon's domain has the given size and no change of view is pending.
func members(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	client := &operator.Client{Base: "http://" + args[1], HTTP: http.DefaultClient}
	ts.Check(fleet.Until(readyTimeout, func() error {
		s, err := client.Status(context.Background())
		if err == nil && (len(s.View.Members) != want || s.View.Next != nil) {
			err = fmt.Errorf("want %d members and no pending view, got %+v", want, s.View)
		}
		return err
	}))
}

// ready waits until each of the given daemons reports that it is ready, which takes a configuration and a lease.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	await(ts, args, func(status int) bool { return status == http.StatusOK })
}

func await(ts *testscript.TestScript, addresses []string, accept func(status int) bool) {
	for _, address := range addresses {
		deadline := time.Now().Add(readyTimeout)
		for !accept(readiness(address)) {
			if time.Now().After(deadline) {
				ts.Fatalf("%s isn't ready after %v", address, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// readiness returns the HTTP status of a daemon's readiness endpoint, or 0 when the daemon can't be reached.
func readiness(address string) int {
	res, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// send sends a request and prints the status and the refusal headers (reason, and whether it was run). It stores the
// receipt in the variable RECEIPT.
func send(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(args[0], "http://"+args[1], strings.NewReader("{}"))
	ts.Check(err)
	req.Header.Set(daisygap.HeaderID, args[2])
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer res.Body.Close()
	ts.Setenv("RECEIPT", res.Header.Get(daisygap.HeaderReceipt))
	fmt.Fprintf(ts.Stdout(), "%d %s %s\n", res.StatusCode, res.Header.Get(daisygap.HeaderReason), res.Header.Get(daisygap.HeaderRun))
}

// faults sets the faults of the store from a JSON document.
func faults(ts *testscript.TestScript, _ bool, args []string) {
	res, err := http.Post(ts.Getenv("STORE")+"/v1/faults", "application/json", strings.NewReader(args[0]))
	ts.Check(err)
	ts.Check(res.Body.Close())
}

var (
	portPattern = regexp.MustCompile(`127(\.\d+){3}:\d+`)
	timePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d)?Z`)
)

// golden compares the output of the last command with a file. Times and addresses are masked.
func golden(ts *testscript.TestScript, _ bool, args []string) {
	got := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	got = portPattern.ReplaceAllString(got, "ADDRESS")
	got = timePattern.ReplaceAllString(got, "TIME")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		ts.Check(updateGolden(ts.Name(), args[0], got))
		return
	}
	if diff := cmp.Diff(ts.ReadFile(args[0]), got); diff != "" {
		ts.Fatalf("%s (-want +got):\n%s", args[0], diff)
	}
}

// updateGolden rewrites one golden file of a session. It is used when the variable UPDATE_GOLDEN is set.
func updateGolden(session, name, text string) error {
	file := "testdata/" + session + ".txtar"
	archive, err := txtar.ParseFile(file)
	if err != nil {
		return err
	}
	for i := range archive.Files {
		if archive.Files[i].Name == name {
			archive.Files[i].Data = []byte(text)
		}
	}
	return os.WriteFile(file, txtar.Format(archive), 0o644)
}
