package admission

import "github.com/daisygap/daisygap"

const (
	// Part of the slots' time left over by more urgent work that less urgent work may fill while the other comes in.
	headroomPart = 0.96
	// Starts that may be made up for after the slots were full, in service times.
	maxRoom = 2
	// How long after its last start a more urgent kind still counts as coming in, in milliseconds.
	activeSpan = daisygap.Millis(2_000)
)

// spread spaces the starts of less urgent work that waits for more slots than are free: started together it would also
// end together, and more urgent work would find no slot until then.
type spread struct {
	// room is the slot time in milliseconds that less urgent work may begin to use.
	room float64
	last daisygap.Millis
	// open tells whether room was ever counted.
	open bool
}

// advance adds the slot time that passed.
func (s *spread) advance(slots int, service float64, now daisygap.Millis) {
	if !s.open {
		s.open, s.last, s.room = true, now, service
	}
	s.room = min(s.room+float64(now-s.last)*float64(slots)*headroomPart, maxRoom*service)
	s.last = now
}

// charge takes the slot time of a start; those of urgent work delay the others for one service time at most.
func (s *spread) charge(slots int, service float64, urgent bool) {
	if urgent {
		service *= headroomPart
	}
	s.room = max(s.room-service, -float64(slots)*service)
}

// wait returns the time until the next less urgent start.
func (s *spread) wait(slots int) daisygap.Millis {
	if s.room > 0 || slots <= 0 {
		return 0
	}
	return daisygap.Millis(-s.room/(float64(slots)*headroomPart)) + 1
}

// held tells whether a kind must leave a free slot to more urgent work that may come.
func (q *Queue) held(k *kind, now daisygap.Millis) bool {
	if k.service == 0 || !q.urgentActive(k, now) || q.Waiting() <= q.limit-q.Running() {
		return false
	}
	q.spread.advance(q.limit, k.service, now)
	return q.spread.room <= 0
}

// urgentActive tells whether a kind more urgent than the given one was started lately.
func (q *Queue) urgentActive(k *kind, now daisygap.Millis) bool {
	for _, o := range q.kinds {
		if o.rule.Rank < k.rule.Rank && o.started > 0 && now-o.started < activeSpan {
			return true
		}
	}
	return false
}
