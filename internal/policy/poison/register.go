package poison

import (
	"container/list"

	"github.com/daisygap/daisygap"
)

const maxPrints = 4096

// Memory is how long a fingerprint is remembered after its last crash, in milliseconds.
const Memory = daisygap.Millis(300_000)

type record struct {
	hash    uint64
	blocked bool
	last    daisygap.Millis
}

// SuspectTracker remembers fingerprints that were at crashes, up to a fixed number; it is not safe for concurrent use.
type SuspectTracker struct {
	records map[uint64]*list.Element
	recent  *list.List
}

// Suspect tells whether a fingerprint was at a crash already, so that it must not run beside another suspect.
func (g *SuspectTracker) Suspect(hash uint64, now daisygap.Millis) bool {
	return g.find(hash, now) != nil
}

// Blocked tells whether a fingerprint is held back.
func (g *SuspectTracker) Blocked(hash uint64, now daisygap.Millis) bool {
	r := g.find(hash, now)
	return r != nil && r.blocked
}

// Record takes in a crash report: the first makes a fingerprint a suspect, and one of a suspect that ran apart from others holds it back. It reports whether that is new.
func (g *SuspectTracker) Record(c daisygap.Crash, now daisygap.Millis) bool {
	r := g.touch(c.Fingerprint, now)
	if !c.Suspect || r.blocked {
		return false
	}
	r.blocked = true
	return true
}

// Clear forgets a fingerprint that an upstream has answered, unless it is held back already.
func (g *SuspectTracker) Clear(hash uint64) {
	e := g.records[hash]
	if e == nil || e.Value.(*record).blocked {
		return
	}
	g.recent.Remove(e)
	delete(g.records, hash)
}

// Block holds a fingerprint back because another daemon does.
func (g *SuspectTracker) Block(hash uint64, now daisygap.Millis) {
	g.touch(hash, now).blocked = true
}

// Len returns the number of remembered fingerprints.
func (g *SuspectTracker) Len() int {
	return len(g.records)
}

func (g *SuspectTracker) find(hash uint64, now daisygap.Millis) *record {
	e := g.records[hash]
	if e == nil {
		return nil
	}
	r := e.Value.(*record)
	if now-r.last > Memory {
		g.recent.Remove(e)
		delete(g.records, hash)
		return nil
	}
	return r
}

func (g *SuspectTracker) touch(hash uint64, now daisygap.Millis) *record {
	if g.records == nil {
		g.records = make(map[uint64]*list.Element)
		g.recent = list.New()
	}
	if r := g.find(hash, now); r != nil {
		r.last = now
		g.recent.MoveToFront(g.records[hash])
		return r
	}
	if len(g.records) >= maxPrints {
		g.dropOldest()
	}
	r := &record{hash: hash, last: now}
	g.records[hash] = g.recent.PushFront(r)
	return r
}

// dropOldest makes room, and prefers to forget a fingerprint that is only suspected.
func (g *SuspectTracker) dropOldest() {
	victim := g.recent.Back()
	for e := victim; e != nil; e = e.Prev() {
		if !e.Value.(*record).blocked {
			victim = e
			break
		}
	}
	g.recent.Remove(victim)
	delete(g.records, victim.Value.(*record).hash)
}
