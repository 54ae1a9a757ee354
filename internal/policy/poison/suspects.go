package poison

import (
	"container/list"

	"github.com/daisygap/daisygap"
)

const maxFingerprints = 4096

// Retention is how long a fingerprint is remembered after its last crash, in milliseconds.
const Retention = daisygap.Millis(300_000)

type suspect struct {
	hash    uint64
	blocked bool
	last    daisygap.Millis
}

// SuspectTracker remembers fingerprints that were at crashes, up to a fixed number; it is not safe for concurrent use.
type SuspectTracker struct {
	suspects map[uint64]*list.Element
	lru      *list.List
}

// Suspect tells whether a fingerprint was at a crash already, so that it must not run beside another suspect.
func (s *SuspectTracker) Suspect(hash uint64, now daisygap.Millis) bool {
	return s.find(hash, now) != nil
}

// Blocked tells whether a fingerprint is held back.
func (s *SuspectTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	r := s.find(hash, now)
	return r != nil && r.blocked
}

// Record takes in a crash report: the first makes a fingerprint a suspect, and one of a suspect that ran apart from others holds it back. It reports whether that is new.
func (s *SuspectTracker) Record(c daisygap.Crash, now daisygap.Millis) bool {
	r := s.touch(c.Fingerprint, now)
	if !c.Suspect || r.blocked {
		return false
	}
	r.blocked = true
	return true
}

// Clear forgets a fingerprint that an upstream has answered, unless it is held back already.
func (s *SuspectTracker) Clear(hash uint64) {
	e := s.suspects[hash]
	if e == nil || e.Value.(*suspect).blocked {
		return
	}
	s.lru.Remove(e)
	delete(s.suspects, hash)
}

// Block holds a fingerprint back because another daemon does.
func (s *SuspectTracker) Block(hash uint64, now daisygap.Millis) {
	s.touch(hash, now).blocked = true
}

// Len returns the number of remembered fingerprints.
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

// evictOldest makes room, and prefers to forget a fingerprint that is only suspected.
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
