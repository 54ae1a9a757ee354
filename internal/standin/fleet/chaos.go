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
	faultGap     = 400 * time.Millisecond
	shortestHurt = 500 * time.Millisecond
	longestHurt  = 3 * time.Second
)

// Chaos combines faults at random from a seed, and checks the invariants against the stand-ins' own records.
type Chaos struct {
	Fleet *Fleet
	Seed  uint64
	// Log is told of every fault.
	Log func(format string, args ...any)

	random   *rand.Rand
	group    sync.WaitGroup
	mu       sync.Mutex
	busy     map[string]bool
	versions map[string]uint64
	broken   []string
	patches  int
}

// Run makes faults until the context ends, then heals everything.
func (c *Chaos) Run(ctx context.Context) {
	c.random = rand.New(rand.NewPCG(c.Seed, 99))
	c.busy = make(map[string]bool)
	c.versions = make(map[string]uint64)
	for caller.SleepUntil(ctx, time.Now().Add(faultGap/2+time.Duration(c.random.Int64N(int64(faultGap))))) {
		c.watchVersions()
		c.one(ctx)
	}
	c.group.Wait()
	c.Fleet.Store.SetFaults(store.Faults{})
}

// one starts one fault and heals it after a while; all choices are made here, in order, so that they follow from the seed.
func (c *Chaos) one(ctx context.Context) {
	host := c.Fleet.Hosts[c.random.IntN(len(c.Fleet.Hosts))]
	other := c.Fleet.Hosts[c.random.IntN(len(c.Fleet.Hosts))]
	hurt := shortestHurt + time.Duration(c.random.Int64N(int64(longestHurt-shortestHurt)))
	switch c.random.IntN(10) {
	case 0:
		c.withHost(host, func() { c.killAndRestart(host, hurt) })
	case 1:
		c.withHost(host, func() { c.stopAndRestart(host) })
	case 2:
		c.cutDomains(host.Domain, other.Domain, hurt)
	case 3:
		c.heal(hurt, func(on bool) {
			c.Log("store cut from %s: %v", host.Name, on)
			c.Fleet.Store.Partition(host.Name, on)
		})
	case 4:
		c.storeFault(hurt, store.Faults{Down: true})
	case 5:
		c.storeFault(hurt, store.Faults{Slow: 300})
	case 6:
		c.storeFault(hurt, store.Faults{DropResponses: 3})
	case 7:
		c.crashUpstream(ctx, host)
	default:
		c.race(ctx, host, other)
	}
}

// withHost runs a fault of one host unless another is under way there.
func (c *Chaos) withHost(host Host, fault func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[host.Domain] {
		return
	}
	c.busy[host.Domain] = true
	c.group.Go(func() {
		fault()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy[host.Domain] = false
	})
}

func (c *Chaos) killAndRestart(host Host, hurt time.Duration) {
	c.Log("kill %s for %v", host.Name, hurt)
	c.Fleet.Kill(host.Name)
	time.Sleep(hurt)
	c.restart(host)
}

func (c *Chaos) stopAndRestart(host Host) {
	c.Log("stop %s gracefully", host.Name)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if cut := c.Fleet.Stop(ctx, host.Name); cut > 0 {
		c.fail("the planned stop of %s cut %d requests", host.Name, cut)
	}
	c.restart(host)
}

func (c *Chaos) restart(host Host) {
	c.mu.Lock()
	delete(c.versions, host.Name)
	c.mu.Unlock()
	if _, err := c.Fleet.Start(host); err != nil {
		c.fail("%s didn't start again: %v", host.Name, err)
	}
}

// heal switches a fault on and, after a while, off.
func (c *Chaos) heal(hurt time.Duration, set func(on bool)) {
	set(true)
	c.group.Go(func() {
		time.Sleep(hurt)
		set(false)
	})
}

func (c *Chaos) storeFault(hurt time.Duration, f store.Faults) {
	c.heal(hurt, func(on bool) {
		c.Log("store fault %+v: %v", f, on)
		if !on {
			f = store.Faults{}
		}
		c.Fleet.Store.SetFaults(f)
	})
}

func (c *Chaos) cutDomains(a, b string, hurt time.Duration) {
	if a == b {
		return
	}
	c.heal(hurt, func(on bool) {
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
	c.group.Go(func() {
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

// race lets two operators patch the same version at two daemons; at most one may win.
func (c *Chaos) race(ctx context.Context, a, b Host) {
	base := c.Fleet.Node(a.Name).Daemon.Version()
	c.patches++
	n := c.patches
	won := make(chan uint64, 2)
	for i, host := range []Host{a, b} {
		client := &operator.Client{Base: "http://" + c.Fleet.Node(host.Name).Settings.OperatorAddress, Token: Token, HTTP: &http.Client{Timeout: 10 * time.Second}}
		merge := json.RawMessage(fmt.Sprintf(`{"lookup":{"ttl":%d}}`, 1_000+n*2+i))
		p := daisygap.Patch{ID: fmt.Sprintf("race-%d-%d-%d", c.Seed, n, i), Author: "chaos", Merge: merge}
		c.group.Go(func() {
			version, err := client.Patch(ctx, base, p)
			if err != nil {
				version = 0
			}
			won <- version
		})
	}
	c.group.Go(func() {
		if x, y := <-won, <-won; x > 0 && y > 0 {
			c.fail("two operators won version %d and %d against version %d", x, y, base)
		}
	})
}

// watchVersions checks that no daemon goes back to a lower version.
func (c *Chaos) watchVersions() {
	for _, n := range c.Fleet.Nodes() {
		version := n.Daemon.Version()
		c.mu.Lock()
		if version < c.versions[n.Settings.Host] {
			c.broken = append(c.broken, fmt.Sprintf("%s went from version %d to %d", n.Settings.Host, c.versions[n.Settings.Host], version))
		}
		c.versions[n.Settings.Host] = version
		c.mu.Unlock()
	}
}

func (c *Chaos) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Check returns every broken invariant, by the records of the upstreams and of the callers.
func (c *Chaos) Check(rows []caller.Row, results []caller.Result) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := slices.Clone(c.broken)
	runs := make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(c.Fleet.Upstreams)) {
		u := c.Fleet.Upstreams[name]
		r := u.Record()
		if r.PeakRunning > u.Slots {
			broken = append(broken, fmt.Sprintf("%s ran %d requests at once on %d slots", name, r.PeakRunning, u.Slots))
		}
		if r.Shed > 0 {
			broken = append(broken, fmt.Sprintf("%s was sent %d requests beyond its %d slots", name, r.Shed, u.Slots))
		}
		for id, n := range r.Runs {
			runs[id] += n
		}
	}
	broken = append(broken, c.Fleet.overLinks(c.Fleet.configuration())...)
	for _, r := range results {
		if r.Reason != "" && r.Run == daisygap.NotRun && runs[r.ID] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused (%s) as not run, but ran %d times", r.ID, r.Reason, runs[r.ID]))
		}
		if strings.HasPrefix(r.ID, "once") && runs[r.ID] > 1 {
			broken = append(broken, fmt.Sprintf("%s may not be repeated, but ran %d times", r.ID, runs[r.ID]))
		}
		if r.Reason != "" && r.Receipt == "" && r.Reason != daisygap.ReasonNoConfiguration {
			broken = append(broken, fmt.Sprintf("%s was refused (%s) without a receipt", r.ID, r.Reason))
		}
	}
	for _, r := range rows {
		if r.Sent != r.OnTime+r.Late+r.Refused+r.Failed {
			broken = append(broken, fmt.Sprintf("flow %s: %d sent, but %d accounted for", r.Flow, r.Sent, r.OnTime+r.Late+r.Refused+r.Failed))
		}
		if n := r.Reasons["failed: "+caller.ErrResponseMismatch.Error()]; n > 0 {
			broken = append(broken, fmt.Sprintf("flow %s: %d callers got another request's answer", r.Flow, n))
		}
	}
	return broken
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
