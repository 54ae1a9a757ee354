package once

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
)

const (
	// Window is how long a key is remembered, in milliseconds.
	Window = daisygap.Millis(600_000)
	// maxKeys bounds the memory; beyond it the oldest keys are forgotten and the window is shorter.
	maxKeys = 50_000
)

// Verdict says what may become of a request with a key.
type Verdict string

// The verdicts.
const (
	// Fresh means that the key was not seen; it is remembered now.
	Fresh Verdict = "fresh"
	// Seen means that a request with the key was begun here and may have run.
	Seen Verdict = "seen"
	// Uncertain means that a request marked as a repeat isn't remembered, but another daemon may have begun it.
	Uncertain Verdict = "uncertain"
)

type keyEntry struct {
	key     string
	begunAt daisygap.Millis
}

type hostSet struct {
	since daisygap.Millis
	hosts []string
}

// Deduplicator is one daemon's memory of keys; it is not safe for concurrent use.
type Deduplicator struct {
	// Self is this daemon's name.
	Self string
	// Started is when the memory began.
	Started daisygap.Millis

	keys  map[string]*list.Element
	order *list.List
	// completeSince is the time since which no key was forgotten early.
	completeSince daisygap.Millis
	hostSets      map[string][]hostSet
}

// Owner returns the host that remembers a key, by rendezvous hash.
func Owner(key string, hosts []string) string {
	best, highest := "", uint64(0)
	for _, host := range hosts {
		if h := xxhash.Sum64String(key + "\x00" + host); best == "" || h > highest {
			best, highest = host, h
		}
	}
	return best
}

// SetHosts notes which hosts remember the keys of a scope from now on.
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

// Begin decides on a request with a key; repeat tells that its caller marked it as sent before.
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

// Forget forgets a key whose request was surely not run, so that it may be sent again.
func (d *Deduplicator) Forget(key string) {
	if e, ok := d.keys[key]; ok {
		d.order.Remove(e)
		delete(d.keys, key)
	}
}

// Len returns the number of remembered keys.
func (d *Deduplicator) Len() int {
	return len(d.keys)
}

// hasFullHistory tells whether any request with the key within the window must have been begun here.
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
