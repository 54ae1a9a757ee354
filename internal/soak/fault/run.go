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
	readyTimeout = 20 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. Most faults last longer, so that they overlap.
	meanFaultInterval = 700 * time.Millisecond
	// recoveryPeriod is the time after the last fault within which requests must be served again. recoveryWatch is how
	// long the run goes on after that, to check it.
	recoveryPeriod = 15 * time.Second
	recoveryWatch  = 3 * time.Second
	// meanCallerInterval is the mean time between two requests of one caller.
	meanCallerInterval = 40 * time.Millisecond
	// settlePeriod is the time for the servers to finish the last requests before the run is checked.
	settlePeriod = 4 * time.Second
)

// Run is one run under random faults, which Seed determines. Set the fields before Execute.
type Run struct {
	// Binary is the path of the daisygap program. Folder is where the settings and logs of the daemons are written.
	Binary  string
	Folder  string
	Seed    uint64
	Daemons int
	Callers int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Log is called with a line for every fault.
	Log func(format string, args ...any)

	deployment *deployment
	random     *rand.Rand
	group      sync.WaitGroup
	started    time.Time
	faults     map[string]int
}

// Report is the outcome of a run. FaultFree counts the requests sent after the recovery period.
type Report struct {
	Seed       uint64         `json:"seed"`
	Count      promise.Count  `json:"count"`
	FaultFree  promise.Count  `json:"calm"`
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"broken"`
}

// Execute starts the deployment and its callers, injects the faults and returns the outcome. An error means that the
// run couldn't be carried out; violations are in the report.
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
	if r.deployment, err = startDeployment(binary, r.Folder, r.Daemons); err != nil {
		return Report{}, err
	}
	defer r.deployment.close()
	if err := r.deployment.awaitReady(); err != nil {
		return Report{}, err
	}
	calling, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := r.startCallers(calling, "caller", r.Callers, meanCallerInterval, domains, r.deployment.currentRequestKinds)
	r.started = time.Now()
	r.injectFaults(ctx)
	r.group.Wait()
	recoveredBy := time.Now().Add(recoveryPeriod)
	sleep(ctx, recoveryPeriod+recoveryWatch)
	stopCallers()
	callers.Wait()
	sleep(ctx, settlePeriod)
	r.deployment.checker.Close(r.deployment.serverRuns(), recoveredBy)
	for _, h := range r.deployment.hosts {
		log, err := h.Log()
		if err != nil {
			return Report{}, err
		}
		r.deployment.checker.CheckLog(h.Settings.Host, log)
	}
	return Report{
		Seed: r.Seed, Count: r.deployment.checker.Counts(time.Time{}), FaultFree: r.deployment.checker.Counts(recoveredBy),
		Faults: r.faults, Violations: r.deployment.checker.Violations(),
	}, nil
}

// startCallers starts n callers, spread evenly over the given domains. They run until ctx ends.
func (r *Run) startCallers(ctx context.Context, name string, n int, meanInterval time.Duration, domains []string, kinds func() []client.Kind) *sync.WaitGroup {
	group := new(sync.WaitGroup)
	for i := range n {
		domain := domains[i%len(domains)]
		c := &client.Caller{
			Name: fmt.Sprintf("%s-%d", name, i), Domain: domain, Region: regions[domain], Patient: i%3 == 0, MeanInterval: meanInterval,
			Entries: r.deployment.entries(), Kinds: kinds, Checker: r.deployment.checker,
			Random: rand.New(rand.NewPCG(r.Seed, r.random.Uint64())),
		}
		group.Go(func() { c.Run(ctx) })
	}
	return group
}

func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			res, err := client.Get("http://" + h.Settings.Steering.ReadyAddress + "/readiness")
			if err != nil {
				break
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
	}
	return fmt.Errorf("daemons not ready within %v", readyTimeout)
}

// injectFaults starts one fault after the other. All random choices are made in this sequence, and not in the
// background, so that the seed determines them.
func (r *Run) injectFaults(ctx context.Context) {
	totalWeight := 0
	for _, f := range faultKinds {
		totalWeight += f.weight
	}
	for time.Since(r.started) < r.Duration && sleep(ctx, r.randomDuration(meanFaultInterval/2, 3*meanFaultInterval/2)) {
		remaining := r.random.IntN(totalWeight)
		for _, f := range faultKinds {
			if remaining -= f.weight; remaining >= 0 {
				continue
			}
			r.faults[f.name]++
			f.inject(r)
			break
		}
	}
}

// randomDuration returns a random duration of at least low and less than high.
func (r *Run) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// sampleHosts returns a random sample of the daemons with the given fraction of them, at least one.
func (r *Run) sampleHosts(fraction float64) []*host {
	hosts := r.deployment.hosts
	n := max(1, int(fraction*float64(len(hosts))))
	var list []*host
	for _, i := range r.random.Perm(len(hosts))[:n] {
		list = append(list, hosts[i])
	}
	return list
}

func (r *Run) logf(format string, args ...any) {
	r.Log("%6.2f s  %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// sleep waits for the duration. It reports false when ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
