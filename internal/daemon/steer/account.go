package steer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/retry"
)

// eventRate is the number of lines a second for one kind of event; what is over it is counted.
const eventRate = 20

var (
	relayed       = metrics.NewCounter(`daisygap_relayed_updates_total`)
	droppedEvents = metrics.NewCounter(`daisygap_events_over_rate_total`)
)

// atomicGauge is a gauge's value.
type atomicGauge struct{ value atomic.Uint64 }

func (g *atomicGauge) set(v uint64) { g.value.Store(v) }

func (g *atomicGauge) get() float64 { return float64(g.value.Load()) }

func init() {
	metrics.NewGauge(`daisygap_configuration_version`, versionGauge.get)
	metrics.NewGauge(`daisygap_store_revision`, revisionGauge.get)
	metrics.NewGauge(`daisygap_store_reachable`, storeReachable.get)
}

// eventLimits bounds the lines a second of each kind of event.
type eventLimits struct {
	mu     sync.Mutex
	counts map[string]eventCount
}

type eventCount struct {
	second daisygap.Millis
	lines  int
}

// allow reports whether a line of a kind may be written, and how many were left out since the last one.
func (l *eventLimits) allow(kind string, now daisygap.Millis) (allowed bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]eventCount)
	}
	c := l.counts[kind]
	if second := now / 1_000; c.second != second {
		leftOut = max(0, c.lines-eventRate)
		c = eventCount{second: second}
	}
	c.lines++
	l.counts[kind] = c
	return c.lines <= eventRate, leftOut
}

// event writes a line unless the rate of its kind is used up; what was left out is said later.
func (d *Daemon) event(name, kind string, fields func() daisygap.Fields) {
	allowed, leftOut := d.events.allow(kind, d.Clock.Now())
	if leftOut > 0 {
		d.Log.Event("lines left out", daisygap.Fields{"of": name, "kind": kind, "lines": leftOut})
	}
	if !allowed {
		droppedEvents.Inc()
		return
	}
	d.Log.Event(name, fields())
}

// budgets are this daemon's parts of the retry budgets, by pool.
type budgets struct {
	mu      sync.Mutex
	ratio   float64
	slack   float64
	window  daisygap.Millis
	daemons int
	pools   map[string]*retry.Shared
}

func (b *budgets) setDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A daemon that is cut off must not take the others' parts, so the number never falls.
	b.daemons = max(n, b.daemons)
}

func (b *budgets) pool(name string) *retry.Shared {
	if b.pools == nil {
		b.pools = make(map[string]*retry.Shared)
	}
	s := b.pools[name]
	if s == nil {
		s = &retry.Shared{Ratio: b.ratio, Slack: b.slack, Window: b.window}
		b.pools[name] = s
	}
	return s
}

func (b *budgets) fresh(pool string, now daisygap.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(pool).Fresh(b.daemons, now)
}

func (b *budgets) take(pool string, now daisygap.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(pool).Take(b.daemons, now)
}

func countRefusal(reason daisygap.Reason, route string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_refusals_total{reason=%q,route=%q}`, reason, route)).Inc()
}

func countRetry(reason daisygap.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_retries_total{reason=%q}`, reason)).Inc()
}
