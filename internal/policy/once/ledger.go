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

type entry struct {
	key   string
	begun daisygap.Millis
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

	keys   map[string]*list.Element
	recent *list.List
	// complete is the time since which no key was forgotten early.
	complete daisygap.Millis
	sets     map[string][]hostSet
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
func (l *Deduplicator) SetHosts(scope string, hosts []string, now daisygap.Millis) {
	if l.sets == nil {
		l.sets = make(map[string][]hostSet)
	}
	sets := l.sets[scope]
	if n := len(sets); n > 0 && slices.Equal(sets[n-1].hosts, hosts) {
		return
	}
	sets = append(sets, hostSet{since: now, hosts: hosts})
	for len(sets) > 1 && now-sets[1].since > Window {
		sets = sets[1:]
	}
	l.sets[scope] = sets
}

// Begin decides on a request with a key; repeat tells that its caller marked it as sent before.
func (l *Deduplicator) Begin(scope, key string, repeat bool, now daisygap.Millis) Verdict {
	l.forget(now)
	if _, ok := l.keys[key]; ok {
		return Seen
	}
	if repeat && !l.remembers(scope, key, now) {
		return Uncertain
	}
	l.add(key, now)
	return Fresh
}

// Forget forgets a key whose request was surely not run, so that it may be sent again.
func (l *Deduplicator) Forget(key string) {
	if e, ok := l.keys[key]; ok {
		l.recent.Remove(e)
		delete(l.keys, key)
	}
}

// Len returns the number of remembered keys.
func (l *Deduplicator) Len() int {
	return len(l.keys)
}

// remembers tells whether any request with the key within the window must have been begun here.
func (l *Deduplicator) remembers(scope, key string, now daisygap.Millis) bool {
	if now-l.Started < Window || now-l.complete < Window {
		return false
	}
	for _, set := range l.sets[scope] {
		if Owner(key, set.hosts) != l.Self {
			return false
		}
	}
	return len(l.sets[scope]) > 0
}

func (l *Deduplicator) add(key string, now daisygap.Millis) {
	if l.keys == nil {
		l.keys = make(map[string]*list.Element)
		l.recent = list.New()
		l.complete = now - Window
	}
	if len(l.keys) >= maxKeys {
		l.complete = now
		l.drop(l.recent.Back())
	}
	l.keys[key] = l.recent.PushFront(entry{key: key, begun: now})
}

func (l *Deduplicator) forget(now daisygap.Millis) {
	if l.recent == nil {
		return
	}
	for e := l.recent.Back(); e != nil && now-e.Value.(entry).begun > Window; e = l.recent.Back() {
		l.drop(e)
	}
}

func (l *Deduplicator) drop(e *list.Element) {
	delete(l.keys, e.Value.(entry).key)
	l.recent.Remove(e)
}
