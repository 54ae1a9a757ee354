package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/client"
)

const (
	readyLimit = 20 * time.Second
	// faultGap is the mean time between the begins of two faults; most last longer, so that they overlap.
	faultGap = 700 * time.Millisecond
	// recovery is the time after the last fault by which requests must be served again, and tail how long that is watched.
	recovery = 15 * time.Second
	tail     = 3 * time.Second
	// callerPause is the mean time between two requests of one caller.
	callerPause = 40 * time.Millisecond
	// settle is the time for the last requests to end.
	settle = 4 * time.Second
)

// Run is one run under faults that follow from a seed; set the fields before Play.
type Run struct {
	// Binary is the program whose daemons run, and Folder takes their settings and logs.
	Binary  string
	Folder  string
	Seed    uint64
	Daemons int
	Callers int
	// Duration is how long faults come.
	Duration time.Duration
	// Log is told of every fault.
	Log func(format string, args ...any)

	world  *world
	random *rand.Rand
	group  sync.WaitGroup
	began  time.Time
	faults map[string]int
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Count      promise.Count  `json:"count"`
	FaultFree  promise.Count  `json:"calm"`
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"broken"`
}

// Execute runs the deployment, its callers and the faults, and returns what was seen; an error means that it couldn't be run.
func (r *Run) Execute(ctx context.Context) (Report, error) {
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.faults = make(map[string]int)
	if err := os.MkdirAll(r.Folder, 0o700); err != nil {
		return Report{}, err
	}
	binary, err := filepath.Abs(r.Binary)
	if err != nil {
		return Report{}, err
	}
	if r.world, err = build(binary, r.Folder, r.Daemons); err != nil {
		return Report{}, err
	}
	defer r.world.close()
	if err := r.world.awaitReady(); err != nil {
		return Report{}, err
	}
	calling, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := r.startCallers(calling, "caller", r.Callers, callerPause)
	r.began = time.Now()
	r.makeFaults(ctx)
	r.group.Wait()
	recovered := time.Now().Add(recovery)
	sleep(ctx, recovery+tail)
	stopCallers()
	callers.Wait()
	sleep(ctx, settle)
	r.world.ledger.Close(r.world.runs(), recovered)
	return Report{
		Seed: r.Seed, Count: r.world.ledger.Counts(time.Time{}), FaultFree: r.world.ledger.Counts(recovered),
		Faults: r.faults, Violations: r.world.ledger.Violations(),
	}, nil
}

// startCallers starts callers in all domains.
func (r *Run) startCallers(ctx context.Context, name string, number int, pause time.Duration) *sync.WaitGroup {
	group := new(sync.WaitGroup)
	for i := range number {
		domain := domains[i%len(domains)]
		c := &client.Caller{
			Name: fmt.Sprintf("%s-%d", name, i), Domain: domain, Region: regions[domain], Patient: i%3 == 0, MeanInterval: pause,
			Entries: r.world.entries(), Kinds: r.world.currentKinds, Checker: r.world.ledger,
			Random: rand.New(rand.NewPCG(r.Seed, r.random.Uint64())),
		}
		group.Go(func() { c.Run(ctx) })
	}
	return group
}

func (w *world) awaitReady() error {
	checks := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			res, err := checks.Get("http://" + h.Settings.Steering.ReadyAddress + "/readiness")
			if err != nil {
				break
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.hosts) {
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready within %v", readyLimit)
}

// makeFaults begins one fault after the other; all choices are made in this order, so that they follow from the seed.
func (r *Run) makeFaults(ctx context.Context) {
	sum := 0
	for _, f := range all {
		sum += f.weight
	}
	for time.Since(r.began) < r.Duration && sleep(ctx, r.span(faultGap/2, 3*faultGap/2)) {
		at := r.random.IntN(sum)
		for _, f := range all {
			if at -= f.weight; at >= 0 {
				continue
			}
			r.faults[f.name]++
			f.begin(r)
			break
		}
	}
}

// span returns a random time between two.
func (r *Run) span(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// some returns a random part of the daemons, at least one.
func (r *Run) some(part float64) []*host {
	hosts := r.world.hosts
	n := max(1, int(part*float64(len(hosts))))
	var list []*host
	for _, i := range r.random.Perm(len(hosts))[:n] {
		list = append(list, hosts[i])
	}
	return list
}

func (r *Run) say(format string, args ...any) {
	r.Log("%6.2f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// sleep waits, and reports false when the context ended before.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
