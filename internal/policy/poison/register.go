package poison

import (
	"container/list"

	"github.com/daisygap/daisygap"
)

const maxPrints = 4096

// Memory is how long a fingerprint is remembered after its last crash, in milliseconds.
const Memory = daisygap.Millis(300_000)

type record struct {
	print   uint64
	blocked bool
	last    daisygap.Millis
}

// Register remembers fingerprints that were at crashes, up to a fixed number; it is not safe for concurrent use.
type Register struct {
	records map[uint64]*list.Element
	recent  *list.List
}

// Suspect tells whether a fingerprint was at a crash already, so that it must not run beside another suspect.
func (g *Register) Suspect(print uint64, now daisygap.Millis) bool {
	return g.find(print, now) != nil
}

// Blocked tells whether a fingerprint is held back.
func (g *Register) Blocked(print uint64, now daisygap.Millis) bool {
	r := g.find(print, now)
	return r != nil && r.blocked
}

// Note takes in a crash report: the first makes a fingerprint a suspect, and one of a suspect that ran apart from others holds it back. It reports whether that is new.
func (g *Register) Note(c daisygap.Crash, now daisygap.Millis) bool {
	r := g.touch(c.Print, now)
	if !c.Suspect || r.blocked {
		return false
	}
	r.blocked = true
	return true
}

// Clear forgets a fingerprint that an upstream has answered, unless it is held back already.
func (g *Register) Clear(print uint64) {
	e := g.records[print]
	if e == nil || e.Value.(*record).blocked {
		return
	}
	g.recent.Remove(e)
	delete(g.records, print)
}

// Block holds a fingerprint back because another daemon does.
func (g *Register) Block(print uint64, now daisygap.Millis) {
	g.touch(print, now).blocked = true
}

// Len returns the number of remembered fingerprints.
func (g *Register) Len() int {
	return len(g.records)
}

func (g *Register) find(print uint64, now daisygap.Millis) *record {
	e := g.records[print]
	if e == nil {
		return nil
	}
	r := e.Value.(*record)
	if now-r.last > Memory {
		g.recent.Remove(e)
		delete(g.records, print)
		return nil
	}
	return r
}

func (g *Register) touch(print uint64, now daisygap.Millis) *record {
	if g.records == nil {
		g.records = make(map[uint64]*list.Element)
		g.recent = list.New()
	}
	if r := g.find(print, now); r != nil {
		r.last = now
		g.recent.MoveToFront(g.records[print])
		return r
	}
	if len(g.records) >= maxPrints {
		g.dropOldest()
	}
	r := &record{print: print, last: now}
	g.records[print] = g.recent.PushFront(r)
	return r
}

// dropOldest makes room, and prefers to forget a fingerprint that is only suspected.
func (g *Register) dropOldest() {
	victim := g.recent.Back()
	for e := victim; e != nil; e = e.Prev() {
		if !e.Value.(*record).blocked {
			victim = e
			break
		}
	}
	g.recent.Remove(victim)
	delete(g.records, victim.Value.(*record).print)
}
