package quota

import "github.com/daisygap/daisygap"

const (
	// RateLoanDuration is how long a borrower may use a lent rate after it asked for it, in milliseconds.
	RateLoanDuration = daisygap.Millis(1_000)
	// reclaimMargin is how much longer the lender leaves a lent rate unused, in milliseconds, so that both daemons don't use
	// it in the same window.
	reclaimMargin = daisygap.Millis(100)
	// reserveDivisor is the inverse of the fraction of the share that is never lent, so that the lender's own urgent writes
	// can start immediately.
	reserveDivisor = 10
)

type rateLoan struct {
	amount int64
	until  daisygap.Millis
}

type rateKey struct {
	peer string
	id   uint64
}

// Rate is a daemon's share of a rate limit in bytes per second, with the rates it has lent and borrowed. It is not safe for
// concurrent use.
type Rate struct {
	// Share is the daemon's share without loans, as divided among the current members.
	Share int64

	lastLoanID uint64
	lent       []rateLoan
	borrowed   map[rateKey]rateLoan
}

// Effective returns the rate that the daemon may use: its share less what it lent, plus what it borrowed.
func (r *Rate) Effective(now daisygap.Millis) int64 {
	r.expire(now)
	n := r.Share - r.lentTotal()
	for _, l := range r.borrowed {
		n += l.amount
	}
	return max(n, 0)
}

// WithinShare reports whether the lent rates fit in the share, which they may not after the share has become smaller.
func (r *Rate) WithinShare(now daisygap.Millis) bool {
	r.expire(now)
	return r.lentTotal() <= r.Share
}

// Lend lends up to the wanted rate of what this daemon doesn't use, and returns the ID and amount of the loan, or zeros if
// there is nothing to lend.
func (r *Rate) Lend(want, used int64, now daisygap.Millis) (id uint64, amount int64) {
	r.expire(now)
	amount = min(want, r.Share-r.Share/reserveDivisor-r.lentTotal()-used)
	if amount <= 0 {
		return 0, 0
	}
	r.lastLoanID++
	r.lent = append(r.lent, rateLoan{amount: amount, until: now + RateLoanDuration + reclaimMargin})
	return r.lastLoanID, amount
}

// Borrow records a loan from a peer. The asked time is when this daemon sent its request, from which the loan's duration
// counts. Recording the same loan again has no effect.
func (r *Rate) Borrow(peer string, id uint64, amount int64, asked, now daisygap.Millis) {
	r.expire(now)
	if r.borrowed == nil {
		r.borrowed = make(map[rateKey]rateLoan)
	}
	if until := asked + RateLoanDuration; now < until {
		r.borrowed[rateKey{peer: peer, id: id}] = rateLoan{amount: amount, until: until}
	}
}

func (r *Rate) lentTotal() int64 {
	n := int64(0)
	for _, l := range r.lent {
		n += l.amount
	}
	return n
}

func (r *Rate) expire(now daisygap.Millis) {
	kept := r.lent[:0]
	for _, l := range r.lent {
		if now < l.until {
			kept = append(kept, l)
		}
	}
	r.lent = kept
	for key, l := range r.borrowed {
		if now >= l.until {
			delete(r.borrowed, key)
		}
	}
}
