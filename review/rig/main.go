// Command rig plays one case of the review: it starts the project's daemon as separate processes between stand-ins of the platform's
// store, servers and clients, and judges what these stand-ins see.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// play runs one case with or without its disruption and reports whether the rule held.
type play func(r *rig, trouble bool) (held bool, err error)

var cases = map[string]play{
	"half-close":    halfClose,
	"encoded-slash": encodedSlash,
	"crasher":       crasher,
	"bare-refusal":  bareRefusal,
	"paused-upload": pausedUploads,
}

// longest is the time after which a case is given up.
const longest = 110 * time.Second

const usage = "usage: rig CASE RECORD-FILE"

func main() {
	os.Exit(playCase())
}

func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return 2
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
			r.note("could not run: not at its end after %s", longest)
		}
		r.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %t", os.Args[1], trouble)
	held, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		return 2
	case !held:
		r.note("RESULT: the rule was broken")
		return 1
	}
	r.note("RESULT: the rule held")
	return 0
}
