package upstream

import (
	"cmp"
	"maps"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// LoanDuration is how long a borrower may start work on a loan.
	LoanDuration = daisygap.Millis(1_000)
	// One slot in so many isn't lent, so that a large daemon's own first request finds one.
	reserveDivisor = 20
)

type loanKey struct {
	peer string
	id   uint64
}

type borrowedLoan struct {
	upstream string
	slots    int
	expires  daisygap.Millis
	recalled bool
	ended    bool
	// returned loans are remembered until their end, so that a repeated answer doesn't open them again.
	returned bool
}

// Lend gives idle slots to a peer for work of a rank, up to the wanted number; own work as urgent goes first.
func (p *Pool) Lend(peer string, want int, rank daisygap.Rank) []daisygap.Loan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.expireLoans(now)
	if !p.LeaseValid() || p.queue.WaitingAtOrAbove(rank) > 0 {
		return nil
	}
	spare := p.lendableSlots(now)
	var lent []daisygap.Loan
	for _, u := range p.balancer.Upstreams() {
		idle := min(u.Share-u.Lent-u.Running, want, spare)
		if idle <= 0 || p.balancer.Limit(u, now) == 0 {
			continue
		}
		l := p.lender.Lend(u.Name, peer, idle, now+LoanDuration+p.maxRunTime)
		u.Lent += idle
		want -= idle
		spare -= idle
		lent = append(lent, daisygap.Loan{ID: l.ID, Upstream: u.Name, Slots: idle})
	}
	return lent
}

// lendableSlots returns how many idle slots may be lent beyond the reserve.
func (p *Pool) lendableSlots(now daisygap.Millis) int {
	idle, share := 0, 0
	for _, u := range p.balancer.Upstreams() {
		if p.balancer.Limit(u, now) == 0 {
			continue
		}
		share += u.Share
		idle += max(u.Share-u.Lent-u.Running, 0)
	}
	return idle - share/reserveDivisor
}

// ExtendLent lets a peer go on using loans; it returns those that stand. A lender whose own requests wait extends none.
func (p *Pool) ExtendLent(peer string, ids []uint64) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.expireLoans(now)
	if !p.LeaseValid() || p.queue.Waiting() > 0 {
		return nil
	}
	var extended []uint64
	for _, id := range ids {
		if p.lender.Extend(id, peer, now+LoanDuration+p.maxRunTime) {
			extended = append(extended, id)
		}
	}
	return extended
}

// CloseReturned closes loans that a peer returned.
func (p *Pool) CloseReturned(peer string, ids []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if l, ok := p.lender.Return(id, peer); ok {
			if u := p.balancer.Find(l.Limit); u != nil {
				u.Lent -= l.Amount
			}
		}
	}
	p.dispatch(p.Clock.Now())
}

// AddBorrowed takes in loans that were asked for at a time.
func (p *Pool) AddBorrowed(peer string, lent []daisygap.Loan, requestedAt daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range lent {
		u := p.balancer.Find(l.Upstream)
		key := loanKey{peer: peer, id: l.ID}
		if _, known := p.borrowed[key]; known {
			continue
		}
		p.borrowed[key] = borrowedLoan{upstream: l.Upstream, slots: l.Slots, expires: requestedAt + LoanDuration, ended: u == nil}
		if u != nil {
			u.Borrowed += l.Slots
		}
	}
	p.dispatch(p.Clock.Now())
}

// ExtendBorrowed moves the end of loans that the lender extended, counted from when that was asked.
func (p *Pool) ExtendBorrowed(peer string, ids []uint64, requestedAt daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		key := loanKey{peer: peer, id: id}
		if l, ok := p.borrowed[key]; ok && !l.ended {
			l.expires = max(l.expires, requestedAt+LoanDuration)
			p.borrowed[key] = l
		}
	}
}

// Recall ends the use of everything borrowed from a peer as soon as running requests allow.
func (p *Pool) Recall(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.borrowed {
		if key.peer == peer {
			l.recalled = true
			p.borrowed[key] = l
		}
	}
	p.expireLoans(p.Clock.Now())
}

// NeedsRecall tells that own requests wait while slots are lent.
func (p *Pool) NeedsRecall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Waiting() == 0 {
		return false
	}
	for _, u := range p.balancer.Upstreams() {
		if u.Lent > 0 {
			return true
		}
	}
	return false
}

// SlotDemand returns how many more slots the most urgent waiting requests could use, and their rank.
func (p *Pool) SlotDemand() (slots int, rank daisygap.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank = p.queue.MostUrgentWaiting()
	if !p.LeaseValid() {
		return 0, rank
	}
	return p.queue.WaitingAtOrAbove(rank), rank
}

// DueLoans is the upkeep of what was borrowed from one peer.
type DueLoans struct {
	Peer   string
	Extend []uint64
	Return []uint64
}

// DueLoans returns, by peer, the loans to extend because they are in use, and those to return.
func (p *Pool) DueLoans() []DueLoans {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.expireLoans(now)
	byPeer := make(map[string]*DueLoans)
	for _, key := range p.sortedLoanKeys() {
		l := p.borrowed[key]
		d := byPeer[key.peer]
		if d == nil {
			d = &DueLoans{Peer: key.peer}
			byPeer[key.peer] = d
		}
		u := p.balancer.Find(l.upstream)
		switch {
		case l.returned && now >= l.expires:
			delete(p.borrowed, key)
		case l.returned:
		case l.ended && (u == nil || u.Running+u.Lent <= u.Share+u.Borrowed):
			d.Return = append(d.Return, key.id)
			l.returned = true
			p.borrowed[key] = l
		case !l.ended && now >= l.expires-LoanDuration/2:
			d.Extend = append(d.Extend, key.id)
		}
	}
	var due []DueLoans
	for _, peer := range slices.Sorted(maps.Keys(byPeer)) {
		due = append(due, *byPeer[peer])
	}
	return due
}

// sortedLoanKeys returns the borrowed loans in a fixed order.
func (p *Pool) sortedLoanKeys() []loanKey {
	return slices.SortedFunc(maps.Keys(p.borrowed), func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.peer, b.peer), cmp.Compare(a.id, b.id))
	})
}

// expireLoans ends loans by time, on both sides, and those that have become idle.
func (p *Pool) expireLoans(now daisygap.Millis) {
	for _, l := range p.lender.Expire(now) {
		if u := p.balancer.Find(l.Limit); u != nil {
			u.Lent -= l.Amount
		}
	}
	if len(p.borrowed) == 0 {
		return
	}
	idle := p.queue.Waiting() == 0
	for _, key := range p.sortedLoanKeys() {
		l := p.borrowed[key]
		if l.ended {
			continue
		}
		u := p.balancer.Find(l.upstream)
		unused := u != nil && idle && now >= l.expires-LoanDuration/2 && u.Running+u.Lent+l.slots <= u.Share+u.Borrowed
		if now < l.expires && !l.recalled && !unused && u != nil {
			continue
		}
		l.ended = true
		p.borrowed[key] = l
		if u != nil {
			u.Borrowed -= l.slots
		}
	}
}
