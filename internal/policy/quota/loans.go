package quota

import "github.com/daisygap/daisygap"

// Loan is a part of a limit that one daemon lets another use for a time.
type Loan struct {
	ID     uint64
	Limit  string
	Peer   string
	Amount int
	Until  daisygap.Millis
}

// Lender records what this daemon lent; it is not safe for concurrent use.
type Lender struct {
	lastID uint64
	loans  map[uint64]Loan
}

// Lend opens a loan; Until is the lender's time at which the amount is surely unused again.
func (l *Lender) Lend(limit, peer string, amount int, until daisygap.Millis) Loan {
	if l.loans == nil {
		l.loans = make(map[uint64]Loan)
	}
	l.lastID++
	loan := Loan{ID: l.lastID, Limit: limit, Peer: peer, Amount: amount, Until: until}
	l.loans[loan.ID] = loan
	return loan
}

// Extend moves the end of a loan to a later time, and reports whether the loan was still open for that peer.
func (l *Lender) Extend(id uint64, peer string, until daisygap.Millis) bool {
	loan, ok := l.loans[id]
	if !ok || loan.Peer != peer {
		return false
	}
	loan.Until = max(loan.Until, until)
	l.loans[id] = loan
	return true
}

// Return closes a loan before its end; a repeated return is ignored.
func (l *Lender) Return(id uint64, peer string) (Loan, bool) {
	loan, ok := l.loans[id]
	if !ok || loan.Peer != peer {
		return Loan{}, false
	}
	delete(l.loans, id)
	return loan, true
}

// Expire closes and returns the loans whose end has passed.
func (l *Lender) Expire(now daisygap.Millis) []Loan {
	var lapsed []Loan
	for id, loan := range l.loans {
		if now >= loan.Until {
			lapsed = append(lapsed, loan)
			delete(l.loans, id)
		}
	}
	return lapsed
}

// Outstanding returns how much of a limit is lent now.
func (l *Lender) Outstanding(limit string) int {
	n := 0
	for _, loan := range l.loans {
		if loan.Limit == limit {
			n += loan.Amount
		}
	}
	return n
}
