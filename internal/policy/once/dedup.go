package once

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// Window is how long a key is stored, in milliseconds.
	Window = daisygap.Millis(600_000)
	// maxKeys is the largest number of stored keys. Above it the oldest keys are removed before the end of the window.
	maxKeys = 50_000
)

// Verdict is the decision on a request with an idempotency key.
type Verdict string

// The verdicts.
const (
	// Fresh means that the key is new and the request may run. The key is stored from now on.
	Fresh Verdict = "fresh"
	// Seen means that a request with the key began here before and may have run.
	Seen Verdict = "seen"
	// Uncertain means that the key of a request marked as a repeat is not stored, but the request may have begun at another
	// daemon or its key may have been lost.
	Uncertain Verdict = "uncertain"
)

type keyEntry struct {
	key     string
	begunAt daisygap.Millis
}

// hostSet is the list of hosts that store the keys of a scope from a time on.
type hostSet struct {
	since daisygap.Millis
	hosts []string
}

// Deduplicator stores the idempotency keys that one daemon owns. It is not safe for concurrent use.
type Deduplicator struct {
	// Self is the host name of this daemon.
	Self string
	// Started is when the daemon began to store keys.
	Started daisygap.Millis

	keys  map[string]*list.Element
	order *list.List
	// completeSince is the time since which no key was removed before the end of its window.
	completeSince daisygap.Millis
	hostSets      map[string][]hostSet
}

// Owner returns the host that stores a key, by rendezvous hashing.
func Owner(key string, hosts []string) string {
	best, highest := "", uint64(0)
	for _, host := range hosts {
		if h := xxhash.Sum64String(key + "\x00" + host); best == "" || h > highest {
			best, highest = host, h
		}
	}
	return best
}

// SetHosts sets the hosts among which the keys of a scope are divided from now on. Earlier lists are kept for one window,
// because their hosts may still store keys of the scope.
func (d *Deduplicator) SetHosts(scope string, hosts []string, now daisygap.Millis) {
	if d.hostSets == nil {
		d.hostSets = make(map[string][]hostSet)
	}
	sets := d.hostSets[scope]
	if n := len(sets); n > 0 && slices.Equal(sets[n-1].hosts, hosts) {
		return
	}
	sets = append(sets, hostSet{since: now, hosts: hosts})
	for len(sets) > 1 && now-sets[1].since > Window {
		sets = sets[1:]
	}
	d.hostSets[scope] = sets
}

// Begin decides on a request with a key, and stores the key if the request may run. repeat is set if the caller marked the
// request as sent before.
func (d *Deduplicator) Begin(scope, key string, repeat bool, now daisygap.Millis) Verdict {
	d.expire(now)
	if _, ok := d.keys[key]; ok {
		return Seen
	}
	if repeat && !d.hasFullHistory(scope, key, now) {
		return Uncertain
	}
	d.add(key, now)
	return Fresh
}

// Forget removes the key of a request that certainly did not run, so that the request may be sent again.
func (d *Deduplicator) Forget(key string) {
	if e, ok := d.keys[key]; ok {
		d.order.Remove(e)
		delete(d.keys, key)
	}
}

// Len returns the number of stored keys.
func (d *Deduplicator) Len() int {
	return len(d.keys)
}

// hasFullHistory reports whether any request with the key within the window must have begun here: the daemon has run for a
// whole window without removing keys early, and owned the key under every list of hosts in that time.
func (d *Deduplicator) hasFullHistory(scope, key string, now daisygap.Millis) bool {
	if now-d.Started < Window || now-d.completeSince < Window {
		return false
	}
	for _, set := range d.hostSets[scope] {
		if Owner(key, set.hosts) != d.Self {
			return false
		}
	}
	return len(d.hostSets[scope]) > 0
}

// add stores a key. If the store is full, the oldest key is removed.
func (d *Deduplicator) add(key string, now daisygap.Millis) {
	if d.keys == nil {
		d.keys = make(map[string]*list.Element)
		d.order = list.New()
		d.completeSince = now - Window
	}
	if len(d.keys) >= maxKeys {
		d.completeSince = now
		d.remove(d.order.Back())
	}
	d.keys[key] = d.order.PushFront(keyEntry{key: key, begunAt: now})
}

// expire removes the keys older than the window.
func (d *Deduplicator) expire(now daisygap.Millis) {
	if d.order == nil {
		return
	}
	for e := d.order.Back(); e != nil && now-e.Value.(keyEntry).begunAt > Window; e = d.order.Back() {
		d.remove(e)
	}
}

func (d *Deduplicator) remove(e *list.Element) {
	delete(d.keys, e.Value.(keyEntry).key)
	d.order.Remove(e)
}
