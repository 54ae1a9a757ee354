package poison

import (
	"container/list"

	"github.com/daisygap/daisygap"
)

// maxFingerprints is the largest number of fingerprints that a tracker holds.
const maxFingerprints = 4096

// Retention is how long a fingerprint is kept after its last crash, in milliseconds.
const Retention = daisygap.Millis(300_000)

type suspect struct {
	hash    uint64
	blocked bool
	last    daisygap.Millis
}

// SuspectTracker holds the fingerprints of requests that ran when an upstream crashed, up to a fixed number. It is not safe
// for concurrent use.
type SuspectTracker struct {
	suspects map[uint64]*list.Element
	lru      *list.List
}

// Suspect reports whether a request with the fingerprint ran when an upstream crashed. It must not run at the same upstream
// as another suspect, so that a further crash shows which one caused it.
func (s *SuspectTracker) Suspect(hash uint64, now daisygap.Millis) bool {
	return s.find(hash, now) != nil
}

// Blocked reports whether requests with the fingerprint are blocked.
func (s *SuspectTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	r := s.find(hash, now)
	return r != nil && r.blocked
}

// Record adds a crash report. The first report makes the fingerprint a suspect. A report on a request that ran as a suspect,
// and so without other suspects at its upstream, blocks the fingerprint. Record reports whether the report newly blocked it.
func (s *SuspectTracker) Record(c daisygap.Crash, now daisygap.Millis) bool {
	r := s.touch(c.Fingerprint, now)
	if !c.Suspect || r.blocked {
		return false
	}
	r.blocked = true
	return true
}

// Clear removes the fingerprint of a request that an upstream has answered, unless the fingerprint is blocked.
func (s *SuspectTracker) Clear(hash uint64) {
	e := s.suspects[hash]
	if e == nil || e.Value.(*suspect).blocked {
		return
	}
	s.lru.Remove(e)
	delete(s.suspects, hash)
}

// Block blocks a fingerprint that another daemon has blocked.
func (s *SuspectTracker) Block(hash uint64, now daisygap.Millis) {
	s.touch(hash, now).blocked = true
}

// Len returns the number of fingerprints held.
func (s *SuspectTracker) Len() int {
	return len(s.suspects)
}

func (s *SuspectTracker) find(hash uint64, now daisygap.Millis) *suspect {
	e := s.suspects[hash]
	if e == nil {
		return nil
	}
	r := e.Value.(*suspect)
	if now-r.last > Retention {
		s.lru.Remove(e)
		delete(s.suspects, hash)
		return nil
	}
	return r
}

func (s *SuspectTracker) touch(hash uint64, now daisygap.Millis) *suspect {
	if s.suspects == nil {
		s.suspects = make(map[uint64]*list.Element)
		s.lru = list.New()
	}
	if r := s.find(hash, now); r != nil {
		r.last = now
		s.lru.MoveToFront(s.suspects[hash])
		return r
	}
	if len(s.suspects) >= maxFingerprints {
		s.evictOldest()
	}
	r := &suspect{hash: hash, last: now}
	s.suspects[hash] = s.lru.PushFront(r)
	return r
}

// evictOldest removes the fingerprint recorded longest ago. A blocked fingerprint is removed only if all are blocked.
func (s *SuspectTracker) evictOldest() {
	victim := s.lru.Back()
	for e := victim; e != nil; e = e.Prev() {
		if !e.Value.(*suspect).blocked {
			victim = e
			break
		}
	}
	s.lru.Remove(victim)
	delete(s.suspects, victim.Value.(*suspect).hash)
}
