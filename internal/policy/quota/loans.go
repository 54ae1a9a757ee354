package quota

import "github.com/daisygap/daisygap"

// Loan is a part of a limit that one daemon lends to another. Limit is the name of the limit, and Until the lender's time at
// which the loan expires.
type Loan struct {
	ID     uint64
	Limit  string
	Peer   string
	Amount int
	Until  daisygap.Millis
}

// Lender records the loans that this daemon has given. It is not safe for concurrent use.
type Lender struct {
	lastID uint64
	loans  map[uint64]Loan
}

// Lend records a new loan. The until time is on the lender's clock, and must be so late that the borrower certainly no
// longer uses the amount.
func (l *Lender) Lend(limit, peer string, amount int, until daisygap.Millis) Loan {
	if l.loans == nil {
		l.loans = make(map[uint64]Loan)
	}
	l.lastID++
	loan := Loan{ID: l.lastID, Limit: limit, Peer: peer, Amount: amount, Until: until}
	l.loans[loan.ID] = loan
	return loan
}

// Extend moves the expiry of a loan to a later time, and reports whether the peer still holds the loan.
func (l *Lender) Extend(id uint64, peer string, until daisygap.Millis) bool {
	loan, ok := l.loans[id]
	if !ok || loan.Peer != peer {
		return false
	}
	loan.Until = max(loan.Until, until)
	l.loans[id] = loan
	return true
}

// Return removes a loan before its expiry and returns it. It returns false if the peer doesn't hold the loan, for example
// because the same return arrived before.
func (l *Lender) Return(id uint64, peer string) (Loan, bool) {
	loan, ok := l.loans[id]
	if !ok || loan.Peer != peer {
		return Loan{}, false
	}
	delete(l.loans, id)
	return loan, true
}

// Expire removes and returns the loans that have expired.
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

// Outstanding returns the amount of a limit that is lent.
func (l *Lender) Outstanding(limit string) int {
	n := 0
	for _, loan := range l.loans {
		if loan.Limit == limit {
			n += loan.Amount
		}
	}
	return n
}
