package steer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/retry"
)

var relayedUpdates = metrics.NewCounter(`daisygap_relayed_updates_total`)

// atomicGauge holds a gauge's value for concurrent use.
type atomicGauge struct{ value atomic.Uint64 }

func (g *atomicGauge) set(v uint64) { g.value.Store(v) }

func (g *atomicGauge) get() float64 { return float64(g.value.Load()) }

func init() {
	metrics.NewGauge(`daisygap_configuration_version`, versionGauge.get)
	metrics.NewGauge(`daisygap_store_revision`, revisionGauge.get)
	metrics.NewGauge(`daisygap_store_era`, eraGauge.get)
	metrics.NewGauge(`daisygap_suspected_requests`, suspectedGauge.get)
	metrics.NewGauge(`daisygap_blocked_requests`, blockedGauge.get)
	metrics.NewGauge(`daisygap_limited_upstreams`, limitedGauge.get)
	metrics.NewGauge(`daisygap_lent_requests_per_second`, lentGauge.get)
	metrics.NewGauge(`daisygap_uneven_upstreams`, unevenGauge.get)
	metrics.NewGauge(`daisygap_store_reachable`, storeReachableGauge.get)
}

// retryBudgets holds this daemon's share of each pool's retry budget.
type retryBudgets struct {
	mu      sync.Mutex
	ratio   float64
	slack   float64
	window  daisygap.Millis
	daemons int
	pools   map[string]*retry.SharedBudget
}

func (b *retryBudgets) setDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The number never falls: a partitioned daemon sees fewer daemons and would otherwise spend the others' shares.
	b.daemons = max(n, b.daemons)
}

func (b *retryBudgets) pool(name string) *retry.SharedBudget {
	if b.pools == nil {
		b.pools = make(map[string]*retry.SharedBudget)
	}
	s := b.pools[name]
	if s == nil {
		s = &retry.SharedBudget{Ratio: b.ratio, Slack: b.slack, Window: b.window}
		b.pools[name] = s
	}
	return s
}

func (b *retryBudgets) deposit(pool string, now daisygap.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(pool).Deposit(b.daemons, now)
}

func (b *retryBudgets) tryWithdraw(pool string, now daisygap.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(pool).TryWithdraw(b.daemons, now)
}

func countRefusal(reason daisygap.Reason, route string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_refusals_total{reason=%q,route=%q}`, reason, route)).Inc()
}

func countRetry(reason daisygap.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_retries_total{reason=%q}`, reason)).Inc()
}
