// Command rig2 plays the cases of the second review: it starts daemons as processes, between stand-ins of the platform's store, of servers
// and of clients, and writes a record of what was sent, answered and run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by number. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"stale-refusal": staleRefusal,
	"timed-out":     timedOut,
	"slow-reader":   slowReader,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE PROGRAM RECORD")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	r, err := newRig(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := await(func() (bool, error) { return play(r) })
	switch {
	case err != nil:
		r.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.record("result: the rule was broken")
		return exitBroken
	}
	r.record("result: the rule held")
	return exitHeld
}

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// await waits for the end of a case, for a signal or until caseTimeout.
func await(play func() (bool, error)) (bool, error) {
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := play()
		ended <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case r := <-ended:
		return r.broken, r.err
	case s := <-signals:
		return false, fmt.Errorf("ended by %v", s)
	case <-time.After(caseTimeout):
		return false, errors.New("the case took too long")
	}
}
