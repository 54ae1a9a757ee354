package allowance

import (
	"math"
	"math/rand/v2"

	"github.com/daisygap/daisygap"
)

const (
	// minFractionChange is the relative change of a fraction from which on it is sent again, and minFractionStep the smallest absolute
	// one. The level of the bucket makes good what the difference admits or refuses.
	minFractionChange = 0.08
	minFractionStep   = 0.001
	// minWaitChange is the change of a wait from which on it is sent again.
	minWaitChange = daisygap.Millis(250)
	// openedPeriod is how long the end of a limit is listed for daemons that didn't get it.
	openedPeriod = daisygap.Millis(5_000)
)

// board holds limits with the version at which each changed last, so that a reply lists only changes.
type board struct {
	version uint64
	// complete is the version before which ended limits are no longer listed.
	complete uint64
	entries  map[uint64]*boardEntry
}

type boardEntry struct {
	limit   daisygap.AllowanceLimit
	version uint64
	endedAt daisygap.Millis
}

// set records a limit, or its end if the fraction is 1.
func (b *board) set(limit daisygap.AllowanceLimit, now daisygap.Millis) {
	if b.entries == nil {
		b.entries = make(map[uint64]*boardEntry)
		// A random start makes the versions of a restarted daemon differ from those before. JSON keeps integers below 2^53.
		b.version = uint64(rand.Uint32()) << 16
		b.complete = b.version
	}
	e := b.entries[limit.Customer]
	switch {
	case e == nil && limit.Fraction >= 1:
		return
	case e == nil:
		e = &boardEntry{}
		b.entries[limit.Customer] = e
	case !differs(e.limit, limit):
		return
	}
	b.version++
	e.limit, e.version, e.endedAt = limit, b.version, now
}

func differs(old, limit daisygap.AllowanceLimit) bool {
	if (old.Fraction >= 1) != (limit.Fraction >= 1) {
		return true
	}
	change := math.Abs(old.Fraction - limit.Fraction)
	wait := max(old.Wait-limit.Wait, limit.Wait-old.Wait)
	return change > max(minFractionStep, minFractionChange*old.Fraction) || wait >= max(minWaitChange, old.Wait/2)
}

// changes returns the reply to a report that has seen the changes up to a version.
func (b *board) changes(seen uint64, now daisygap.Millis) daisygap.AllowanceReply {
	for id, e := range b.entries {
		if e.limit.Fraction >= 1 && now-e.endedAt > openedPeriod {
			b.complete = max(b.complete, e.version)
			delete(b.entries, id)
		}
	}
	reply := daisygap.AllowanceReply{Version: b.version, Full: seen < b.complete || seen > b.version || seen == 0}
	if !reply.Full && seen == b.version {
		return reply
	}
	for _, e := range b.entries {
		if reply.Full && e.limit.Fraction < 1 || !reply.Full && e.version > seen {
			reply.Limits = append(reply.Limits, e.limit)
		}
	}
	return reply
}
