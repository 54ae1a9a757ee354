package entry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/once"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

// homeTries bounds the hosts that are asked to remember the key of a first attempt.
const homeTries = 2

// ledger is this daemon's memory of idempotency keys.
type ledger struct {
	mu     sync.Mutex
	ledger once.Deduplicator
}

// scopeOf names the hosts that remember the keys of a kind from a region.
func scopeOf(region, kind string) string { return region + "\x00" + kind }

// planOnce tells the ledger which hosts remember the keys of each region and kind that may not be repeated.
func (d *Daemon) planOnce(w *routing.Topology) {
	l := &d.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	now := d.Clock.Now()
	for kind, k := range w.Snapshot.Config.Kinds {
		if k.Idempotent {
			continue
		}
		for region := range w.Snapshot.Config.Regions {
			l.ledger.SetHosts(scopeOf(region, kind), names(w.IdempotencyHosts(region, kind)), now)
		}
	}
}

func names(hosts []daisygap.Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Name
	}
	return list
}

// ServeIdempotency answers a daemon that has a request with a key.
func (d *Daemon) ServeIdempotency(c daisygap.IdempotencyRequest) daisygap.IdempotencyReply {
	l := &d.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Release {
		l.ledger.Forget(c.Key)
		return daisygap.IdempotencyReply{}
	}
	return daisygap.IdempotencyReply{Verdict: string(l.ledger.Begin(c.Scope, c.Key, c.Repeated, d.Clock.Now()))}
}

// claim is a key that a host remembers for a request in progress.
type claim struct {
	home daisygap.Host
	call daisygap.IdempotencyRequest
}

// claimKey makes a host remember the request's key; the refusal says why the request may not go on.
func (e *exchange) claimKey() (*claim, *daisygap.Refusal) {
	r := e.in.Request
	if r.Idempotent || r.Key == "" || r.Hop > 0 {
		return nil, nil
	}
	d := e.d
	region := d.table.Load().RegionOf(e.in.Address)
	hosts := d.world.Load().IdempotencyHosts(region, r.Kind)
	call := daisygap.IdempotencyRequest{Scope: scopeOf(region, r.Kind), Key: r.Kind + "\x00" + r.Key, Repeated: e.in.Retried}
	for range min(homeTries, len(hosts)) {
		home := homeOf(call.Key, hosts)
		answer, err := d.askHome(e, home, call)
		if err == nil {
			return e.judge(&claim{home: home, call: call}, once.Verdict(answer.Verdict))
		}
		d.Log.With("once").Debugf("%s doesn't answer: %v", home.Name, err)
		metrics.GetOrCreateCounter(`daisygap_once_unreached_total`).Inc()
		if call.Repeated {
			return nil, e.refusal(daisygap.ReasonDuplicate, daisygap.RunUnknown, daisygap.RefusalMetrics{TimeLeft: e.left()})
		}
		hosts = without(hosts, home.Name)
	}
	return nil, nil
}

func (d *Daemon) askHome(e *exchange, home daisygap.Host, call daisygap.IdempotencyRequest) (daisygap.IdempotencyReply, error) {
	if home.Name == d.Settings.Host {
		return d.ServeIdempotency(call), nil
	}
	return d.Peers.Idempotency(e.ctx, home.PeerAddress, call)
}

func (e *exchange) judge(c *claim, v once.Verdict) (*claim, *daisygap.Refusal) {
	if v == once.Fresh {
		return c, nil
	}
	return nil, e.refusal(daisygap.ReasonDuplicate, daisygap.RunUnknown, daisygap.RefusalMetrics{TimeLeft: e.left()})
}

// release forgets a claimed key after a refusal that says that the request was not run.
func (e *exchange) release(c *claim) {
	if c == nil {
		return
	}
	call := c.call
	call.Release = true
	if c.home.Name == e.d.Settings.Host {
		e.d.ServeIdempotency(call)
		return
	}
	d := e.d
	d.background(func() {
		if _, err := d.Peers.Idempotency(d.ctx, c.home.PeerAddress, call); err != nil {
			d.Log.With("once").Debugf("%s keeps a key: %v", c.home.Name, err)
		}
	})
}

func homeOf(key string, hosts []daisygap.Host) daisygap.Host {
	name := once.Owner(key, names(hosts))
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	return daisygap.Host{}
}

func without(hosts []daisygap.Host, name string) []daisygap.Host {
	var rest []daisygap.Host
	for _, h := range hosts {
		if h.Name != name {
			rest = append(rest, h)
		}
	}
	return rest
}
