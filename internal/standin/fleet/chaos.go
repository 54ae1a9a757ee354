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

// Chaos combines faults at random from a seed, and checks the invariants against the stand-ins' own records.
type Chaos struct {
	Fleet *Fleet
	Seed  uint64
	// Log is told of every fault.
	Log func(format string, args ...any)

	random       *rand.Rand
	wg           sync.WaitGroup
	mu           sync.Mutex
	busyDomains  map[string]bool
	lastVersions map[string]uint64
	violations   []string
	races        int
}

// Run makes faults until the context ends, then heals everything.
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

// injectFault starts one fault and heals it after a while; all choices are made here, in order, so that they follow from the seed.
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
			c.Log("store cut from %s: %v", host.Name, on)
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

// injectHostFault runs a fault of one host unless another is under way there.
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
	c.Log("kill %s for %v", host.Name, duration)
	c.Fleet.Kill(host.Name)
	time.Sleep(duration)
	c.restart(host)
}

func (c *Chaos) stopAndRestart(host Host) {
	c.Log("stop %s gracefully", host.Name)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if canceled := c.Fleet.Stop(ctx, host.Name); canceled > 0 {
		c.addViolation("the planned stop of %s cut %d requests", host.Name, canceled)
	}
	c.restart(host)
}

func (c *Chaos) restart(host Host) {
	c.mu.Lock()
	delete(c.lastVersions, host.Name)
	c.mu.Unlock()
	if _, err := c.Fleet.Start(host); err != nil {
		c.addViolation("%s didn't start again: %v", host.Name, err)
	}
}

// injectFor switches a fault on and, after a while, off.
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
		c.Log("%s and %s cut from each other: %v", a, b, on)
		for _, x := range c.Fleet.Hosts {
			for _, y := range c.Fleet.Hosts {
				if x.Domain == a && y.Domain == b {
					c.Fleet.Partition(x.Name, y.Name, on)
				}
			}
		}
	})
}

// crashUpstream sends a request that crashes whatever runs it.
func (c *Chaos) crashUpstream(ctx context.Context, host Host) {
	c.Log("a poisonous request at %s", host.Name)
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

// raceOperators lets two operators patch the same version at two daemons; at most one may win.
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
			c.addViolation("two operators won version %d and %d against version %d", x, y, base)
		}
	})
}

// checkVersions checks that no daemon goes back to a lower version.
func (c *Chaos) checkVersions() {
	for _, n := range c.Fleet.Nodes() {
		version := n.Daemon.Version()
		c.mu.Lock()
		if version < c.lastVersions[n.Settings.Host] {
			c.violations = append(c.violations, fmt.Sprintf("%s went from version %d to %d", n.Settings.Host, c.lastVersions[n.Settings.Host], version))
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

// Check returns every broken invariant, by the records of the upstreams and of the callers.
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
			violations = append(violations, fmt.Sprintf("%s was sent %d requests beyond its %d slots", name, r.Shed, u.Slots))
		}
		for id, n := range r.Runs {
			runs[id] += n
		}
	}
	violations = append(violations, c.Fleet.linkCapViolations(c.Fleet.configuration())...)
	for _, r := range results {
		if r.Reason != "" && r.Run == daisygap.NotRun && runs[r.ID] > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused (%s) as not run, but ran %d times", r.ID, r.Reason, runs[r.ID]))
		}
		if strings.HasPrefix(r.ID, "once") && runs[r.ID] > 1 {
			violations = append(violations, fmt.Sprintf("%s may not be repeated, but ran %d times", r.ID, runs[r.ID]))
		}
		if r.Reason != "" && r.Receipt == "" && r.Reason != daisygap.ReasonNoConfiguration {
			violations = append(violations, fmt.Sprintf("%s was refused (%s) without a receipt", r.ID, r.Reason))
		}
	}
	for _, r := range rows {
		if r.Sent != r.OnTime+r.Late+r.Refused+r.Failed {
			violations = append(violations, fmt.Sprintf("flow %s: %d sent, but %d accounted for", r.Flow, r.Sent, r.OnTime+r.Late+r.Refused+r.Failed))
		}
		if n := r.Reasons["failed: "+caller.ErrResponseMismatch.Error()]; n > 0 {
			violations = append(violations, fmt.Sprintf("flow %s: %d callers got another request's answer", r.Flow, n))
		}
	}
	return violations
}

// AwaitConverged waits until all daemons have the same version and are ready.
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
			return errors.New(fmt.Sprint("versions differ: ", versions))
		}
		return nil
	})
}
