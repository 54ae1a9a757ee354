package entry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/once"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

// maxKeyHosts bounds how many hosts are asked in turn to record the key of a first attempt, until one responds.
const maxKeyHosts = 2

// idempotencyKeys holds the idempotency keys that are recorded on this daemon.
type idempotencyKeys struct {
	mu   sync.Mutex
	keys once.Deduplicator
}

// keyScope returns the scope of the keys of a kind and region; each scope has its own set of hosts.
func keyScope(region, kind string) string { return region + "\x00" + kind }

// planKeyHosts sets the hosts that record the keys of each region and kind that may not be repeated.
func (d *Daemon) planKeyHosts(topology *routing.Topology) {
	l := &d.idempotency
	l.mu.Lock()
	defer l.mu.Unlock()
	now := d.Clock.Now()
	for kind, k := range topology.Snapshot.Config.Kinds {
		if k.Idempotent {
			continue
		}
		for region := range topology.Snapshot.Config.Regions {
			l.keys.SetHosts(keyScope(region, kind), hostNames(topology.IdempotencyHosts(region, kind)), now)
		}
	}
}

func hostNames(hosts []daisygap.Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Name
	}
	return list
}

// ServeIdempotency records or releases an idempotency key for another daemon.
func (d *Daemon) ServeIdempotency(c daisygap.IdempotencyRequest) daisygap.IdempotencyReply {
	l := &d.idempotency
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Release {
		l.keys.Forget(c.Key)
		return daisygap.IdempotencyReply{}
	}
	return daisygap.IdempotencyReply{Verdict: string(l.keys.Begin(c.Scope, c.Key, c.Retried, d.Clock.Now()))}
}

// keyClaim is a key that a host has recorded for a request in progress.
type keyClaim struct {
	host daisygap.Host
	call daisygap.IdempotencyRequest
}

// claimKey records the request's idempotency key with the host responsible for it. A refusal means that the request must
// not proceed. If the hosts can't be reached, a marked retry is refused and a first attempt proceeds without a claim.
func (e *exchange) claimKey() (*keyClaim, *daisygap.Refusal) {
	r := e.in.Request
	if r.Idempotent || r.Key == "" || r.Hop > 0 {
		return nil, nil
	}
	d := e.d
	region := d.table.Load().RegionOf(e.in.Address)
	hosts := d.topology.Load().IdempotencyHosts(region, r.Kind)
	call := daisygap.IdempotencyRequest{Scope: keyScope(region, r.Kind), Key: r.Kind + "\x00" + r.Key, Retried: e.in.Retried}
	for range min(maxKeyHosts, len(hosts)) {
		host := keyHost(call.Key, hosts)
		reply, err := d.callKeyHost(e, host, call)
		if err == nil {
			return e.claimResult(&keyClaim{host: host, call: call}, once.Verdict(reply.Verdict))
		}
		d.Log.With("once").Debugf("cannot claim idempotency key at %s: %v", host.Name, err)
		metrics.GetOrCreateCounter(`daisygap_once_unreached_total`).Inc()
		if call.Retried {
			return nil, e.refusal(daisygap.ReasonDuplicate, daisygap.RunUnknown, daisygap.RefusalMetrics{TimeLeft: e.remaining()})
		}
		hosts = withoutHost(hosts, host.Name)
	}
	return nil, nil
}

func (d *Daemon) callKeyHost(e *exchange, host daisygap.Host, call daisygap.IdempotencyRequest) (daisygap.IdempotencyReply, error) {
	if host.Name == d.Settings.Host {
		return d.ServeIdempotency(call), nil
	}
	return d.Peers.Idempotency(e.ctx, host.PeerAddress, call)
}

func (e *exchange) claimResult(c *keyClaim, v once.Verdict) (*keyClaim, *daisygap.Refusal) {
	if v == once.Fresh {
		return c, nil
	}
	return nil, e.refusal(daisygap.ReasonDuplicate, daisygap.RunUnknown, daisygap.RefusalMetrics{TimeLeft: e.remaining()})
}

// releaseKey releases a claimed key after a refusal that says that the request was not executed.
func (e *exchange) releaseKey(c *keyClaim) {
	if c == nil {
		return
	}
	call := c.call
	call.Release = true
	if c.host.Name == e.d.Settings.Host {
		e.d.ServeIdempotency(call)
		return
	}
	d := e.d
	d.goTask(func() {
		if _, err := d.Peers.Idempotency(d.ctx, c.host.PeerAddress, call); err != nil {
			d.Log.With("once").Debugf("cannot release idempotency key at %s: %v", c.host.Name, err)
		}
	})
}

func keyHost(key string, hosts []daisygap.Host) daisygap.Host {
	name := once.Owner(key, hostNames(hosts))
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	return daisygap.Host{}
}

func withoutHost(hosts []daisygap.Host, name string) []daisygap.Host {
	var others []daisygap.Host
	for _, h := range hosts {
		if h.Name != name {
			others = append(others, h)
		}
	}
	return others
}
