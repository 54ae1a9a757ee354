package upstream

import (
	"cmp"
	"maps"
	"slices"

	"github.com/daisygap/daisygap"
)

const (
	// LoanDuration is the time for which a borrower may start requests on a loan without an extension, in milliseconds.
	LoanDuration = daisygap.Millis(1_000)
	// One in reserveDivisor slots of a daemon's shares isn't lent, so that the first request of a daemon with large shares
	// finds a free slot.
	reserveDivisor = 20
)

type loanKey struct {
	peer string
	id   uint64
}

// borrowedLoan is a loan of slots from another daemon.
type borrowedLoan struct {
	upstream string
	slots    int
	expires  daisygap.Millis
	recalled bool
	ended    bool
	// returned is set once the loan was given back. The entry is kept until the loan expires, so that a duplicate of the
	// lender's response doesn't add the loan again.
	returned bool
}

// Lend lends up to the wanted number of idle slots to a peer for requests of a rank. It lends none while requests of the same
// or a more urgent rank wait in this pool. The lender keeps a loan for LoanDuration plus the longest time that a request may
// run, because the borrower may start requests until the end of LoanDuration.
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
		lent = append(lent, daisygap.Loan{ID: l.ID, Upstream: u.Name, Amount: idle})
	}
	return lent
}

// lendableSlots returns the number of idle slots in excess of the reserve.
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

// ExtendLent extends loans to a peer and returns the IDs of the extended ones. It extends none while requests wait in this
// pool.
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

// CloseReturned ends loans that a peer has returned, and reuses their slots.
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

// AddBorrowed adds loans from a peer that were requested at the given time. They expire LoanDuration after the request, and
// so before the lender, which granted them later, takes the slots back. Loans that are known already are ignored.
func (p *Pool) AddBorrowed(peer string, lent []daisygap.Loan, requestedAt daisygap.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range lent {
		u := p.balancer.Find(l.Upstream)
		key := loanKey{peer: peer, id: l.ID}
		if _, known := p.borrowed[key]; known {
			continue
		}
		p.borrowed[key] = borrowedLoan{upstream: l.Upstream, slots: l.Amount, expires: requestedAt + LoanDuration, ended: u == nil}
		if u != nil {
			u.Borrowed += l.Amount
		}
	}
	p.dispatch(p.Clock.Now())
}

// ExtendBorrowed extends loans from a peer until LoanDuration after the time at which the extension was requested.
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

// Recall ends all loans from a peer. No requests start on them any more, and they are returned once the running requests fit
// into the remaining slots.
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

// NeedsRecall reports whether requests wait in this pool while slots are lent.
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

// SlotDemand returns the number of waiting requests of the most urgent rank, and this rank. The number is 0 without a valid
// lease.
func (p *Pool) SlotDemand() (slots int, rank daisygap.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank = p.queue.MostUrgentWaiting()
	if !p.LeaseValid() {
		return 0, rank
	}
	return p.queue.WaitingAtOrAbove(rank), rank
}

// DueLoans holds the IDs of the loans from one peer that are to be extended or returned.
type DueLoans struct {
	Peer   string
	Extend []uint64
	Return []uint64
}

// DueLoans returns the due loans sorted by peer: those to extend, because they are in use and at least half of LoanDuration
// has passed, and those to return.
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

// sortedLoanKeys returns the keys of the borrowed loans by peer and ID, so that loans end in a reproducible order.
func (p *Pool) sortedLoanKeys() []loanKey {
	return slices.SortedFunc(maps.Keys(p.borrowed), func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.peer, b.peer), cmp.Compare(a.id, b.id))
	})
}

// expireLoans ends lent and borrowed loans that have expired, and borrowed loans that were recalled, are no longer needed or
// belong to a removed upstream.
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
