package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/standin/caller"
	"github.com/daisygap/daisygap/internal/standin/store"
	"github.com/daisygap/daisygap/internal/standin/upstream"
)

const (
	meanFaultInterval = 400 * time.Millisecond
	minFaultDuration  = 500 * time.Millisecond
	maxFaultDuration  = 3 * time.Second
)

// Chaos injects random faults from a seed into a fleet, and checks invariants against the records of the simulated
// upstreams and callers.
type Chaos struct {
	Fleet *Fleet
	Seed  uint64
	// Log is called for every fault.
	Log func(format string, args ...any)

	random *rand.Rand
	wg     sync.WaitGroup
	mu     sync.Mutex
	// busyDomains are the failure domains in which a host is being stopped and restarted.
	busyDomains map[string]bool
	// lastVersions is the last configuration version seen on each host.
	lastVersions map[string]uint64
	violations   []string
	// races counts the calls of raceOperators, to make the patches of each race distinct.
	races int
}

// Run injects faults until the context ends, waits until they are over and clears all store faults.
func (c *Chaos) Run(ctx context.Context) {
	c.random = rand.New(rand.NewPCG(c.Seed, 99))
	c.busyDomains = make(map[string]bool)
	c.lastVersions = make(map[string]uint64)
	for caller.SleepUntil(ctx, time.Now().Add(meanFaultInterval/2+time.Duration(c.random.Int64N(int64(meanFaultInterval))))) {
		c.checkVersions()
		c.injectFault(ctx)
	}
	c.wg.Wait()
	c.Fleet.Store.SetFaults(store.Faults{})
}

// injectFault starts one random fault, which ends by itself. All random choices are made in this goroutine, so that
// their order and thus their values follow from the seed.
func (c *Chaos) injectFault(ctx context.Context) {
	host := c.Fleet.Hosts[c.random.IntN(len(c.Fleet.Hosts))]
	other := c.Fleet.Hosts[c.random.IntN(len(c.Fleet.Hosts))]
	duration := minFaultDuration + time.Duration(c.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	switch c.random.IntN(10) {
	case 0:
		c.injectHostFault(host, func() { c.killAndRestart(host, duration) })
	case 1:
		c.injectHostFault(host, func() { c.stopAndRestart(host) })
	case 2:
		c.partitionDomains(host.Domain, other.Domain, duration)
	case 3:
		c.injectFor(duration, func(on bool) {
			c.Log("partition between store and %s: %v", host.Name, on)
			c.Fleet.Store.Partition(host.Name, on)
		})
	case 4:
		c.injectStoreFault(duration, store.Faults{Down: true})
	case 5:
		c.injectStoreFault(duration, store.Faults{Slow: 300})
	case 6:
		c.injectStoreFault(duration, store.Faults{DropResponses: 3})
	case 7:
		c.crashUpstream(ctx, host)
	default:
		c.raceOperators(ctx, host, other)
	}
}

// injectHostFault runs a fault of one host, unless another one is still running in its failure domain.
func (c *Chaos) injectHostFault(host Host, fault func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busyDomains[host.Domain] {
		return
	}
	c.busyDomains[host.Domain] = true
	c.wg.Go(func() {
		fault()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busyDomains[host.Domain] = false
	})
}

func (c *Chaos) killAndRestart(host Host, duration time.Duration) {
	c.Log("killing %s for %v", host.Name, duration)
	c.Fleet.Kill(host.Name)
	time.Sleep(duration)
	c.restart(host)
}

func (c *Chaos) stopAndRestart(host Host) {
	c.Log("stopping %s gracefully", host.Name)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if canceled := c.Fleet.Stop(ctx, host.Name); canceled > 0 {
		c.addViolation("graceful stop of %s canceled %d requests", host.Name, canceled)
	}
	c.restart(host)
}

func (c *Chaos) restart(host Host) {
	c.mu.Lock()
	delete(c.lastVersions, host.Name)
	c.mu.Unlock()
	if _, err := c.Fleet.Start(host); err != nil {
		c.addViolation("restart of %s failed: %v", host.Name, err)
	}
}

// injectFor enables a fault and disables it after the given duration.
func (c *Chaos) injectFor(duration time.Duration, setFault func(on bool)) {
	setFault(true)
	c.wg.Go(func() {
		time.Sleep(duration)
		setFault(false)
	})
}

func (c *Chaos) injectStoreFault(duration time.Duration, f store.Faults) {
	c.injectFor(duration, func(on bool) {
		c.Log("store fault %+v: %v", f, on)
		if !on {
			f = store.Faults{}
		}
		c.Fleet.Store.SetFaults(f)
	})
}

func (c *Chaos) partitionDomains(a, b string, duration time.Duration) {
	if a == b {
		return
	}
	c.injectFor(duration, func(on bool) {
		c.Log("partition between %s and %s: %v", a, b, on)
		for _, x := range c.Fleet.Hosts {
			for _, y := range c.Fleet.Hosts {
				if x.Domain == a && y.Domain == b {
					c.Fleet.Partition(x.Name, y.Name, on)
				}
			}
		}
	})
}

// crashUpstream sends a poison request: one that crashes the upstream that runs it.
func (c *Chaos) crashUpstream(ctx context.Context, host Host) {
	c.Log("sending poison request through %s", host.Name)
	address := c.Fleet.Node(host.Name).Settings.CallerAddress
	query := c.random.Uint64()
	c.wg.Go(func() {
		url := fmt.Sprintf("http://%s%s?q=%d", address, upstream.PoisonPath, query)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
		}
	})
}

// raceOperators patches the same configuration version through two daemons at once. At most one patch may succeed.
func (c *Chaos) raceOperators(ctx context.Context, a, b Host) {
	base := c.Fleet.Node(a.Name).Daemon.Version()
	c.races++
	n := c.races
	results := make(chan uint64, 2)
	for i, host := range []Host{a, b} {
		client := &operator.Client{Base: "http://" + c.Fleet.Node(host.Name).Settings.OperatorAddress, Token: Token, HTTP: &http.Client{Timeout: 10 * time.Second}}
		merge := json.RawMessage(fmt.Sprintf(`{"lookup":{"ttl":%d}}`, 1_000+n*2+i))
		p := daisygap.Patch{ID: fmt.Sprintf("race-%d-%d-%d", c.Seed, n, i), Author: "chaos", Merge: merge}
		c.wg.Go(func() {
			version, err := client.Patch(ctx, base, p)
			if err != nil {
				version = 0
			}
			results <- version
		})
	}
	c.wg.Go(func() {
		if x, y := <-results, <-results; x > 0 && y > 0 {
			c.addViolation("two patches of version %d succeeded, as versions %d and %d", base, x, y)
		}
	})
}

// checkVersions checks that no daemon's configuration version decreases while it runs.
func (c *Chaos) checkVersions() {
	for _, n := range c.Fleet.Nodes() {
		version := n.Daemon.Version()
		c.mu.Lock()
		if version < c.lastVersions[n.Settings.Host] {
			c.violations = append(c.violations, fmt.Sprintf("%s went back from version %d to %d", n.Settings.Host, c.lastVersions[n.Settings.Host], version))
		}
		c.lastVersions[n.Settings.Host] = version
		c.mu.Unlock()
	}
}

func (c *Chaos) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Check returns all violated invariants, by the records of the upstreams and of the callers.
func (c *Chaos) Check(rows []caller.Row, results []caller.Result) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.violations)
	runs := make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(c.Fleet.Upstreams)) {
		u := c.Fleet.Upstreams[name]
		r := u.Record()
		if r.PeakRunning > u.Slots {
			violations = append(violations, fmt.Sprintf("%s ran %d requests at once on %d slots", name, r.PeakRunning, u.Slots))
		}
		if r.Shed > 0 {
			violations = append(violations, fmt.Sprintf("%s had to shed %d requests beyond its %d slots", name, r.Shed, u.Slots))
		}
		for id, n := range r.Runs {
			runs[id] += n
		}
	}
	violations = append(violations, c.Fleet.linkCapViolations(c.Fleet.configuration())...)
	for _, r := range results {
		if r.Reason != "" && r.Run == daisygap.NotRun && runs[r.ID] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was refused (%s) as not run, but ran %d times", r.ID, r.Reason, runs[r.ID]))
		}
		if strings.HasPrefix(r.ID, "once") && runs[r.ID] > 1 {
			violations = append(violations, fmt.Sprintf("non-idempotent request %s ran %d times", r.ID, runs[r.ID]))
		}
		if r.Reason != "" && r.Receipt == "" && r.Reason != daisygap.ReasonNoConfiguration {
			violations = append(violations, fmt.Sprintf("request %s was refused (%s) without a receipt", r.ID, r.Reason))
		}
	}
	for _, r := range rows {
		if r.Sent != r.OnTime+r.Late+r.Refused+r.Failed {
			violations = append(violations, fmt.Sprintf("flow %s: %d requests sent, but outcomes recorded for %d", r.Flow, r.Sent, r.OnTime+r.Late+r.Refused+r.Failed))
		}
		if n := r.Reasons["failed: "+caller.ErrResponseMismatch.Error()]; n > 0 {
			violations = append(violations, fmt.Sprintf("flow %s: %d callers received the response to another request", r.Flow, n))
		}
	}
	return violations
}

// AwaitConverged waits until all daemons are ready and have the same configuration version.
func (c *Chaos) AwaitConverged(limit time.Duration) error {
	if err := c.Fleet.AwaitReady(limit); err != nil {
		return err
	}
	return Until(limit, func() error {
		versions := make(map[uint64][]string)
		for _, n := range c.Fleet.Nodes() {
			versions[n.Daemon.Version()] = append(versions[n.Daemon.Version()], n.Settings.Host)
		}
		if len(versions) > 1 {
			return errors.New(fmt.Sprint("configuration versions differ: ", versions))
		}
		return nil
	})
}
