package quota

import "github.com/daisygap/daisygap"

const (
	// RateLoanDuration is how long a borrower may use a lent rate.
	RateLoanDuration = daisygap.Millis(1_000)
	// reclaimMargin keeps a lender from using the rate in a window in which the borrower still did.
	reclaimMargin = daisygap.Millis(100)
	// One part in so many of a rate isn't lent, so that own urgent bytes can start at once.
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

// Rate is a daemon's share of a rate in bytes a second, with what it lent and borrowed; it is not safe for concurrent use.
type Rate struct {
	// Share is the share under the view.
	Share int64

	lastLoanID uint64
	lent       []rateLoan
	borrowed   map[rateKey]rateLoan
}

// Effective returns what the daemon may use now.
func (r *Rate) Effective(now daisygap.Millis) int64 {
	r.expire(now)
	n := r.Share - r.lentTotal()
	for _, l := range r.borrowed {
		n += l.amount
	}
	return max(n, 0)
}

// WithinShare tells whether what is lent fits the share.
func (r *Rate) WithinShare(now daisygap.Millis) bool {
	r.expire(now)
	return r.lentTotal() <= r.Share
}

// Lend gives away up to a wanted rate of what is not used, and returns the loan's number and amount.
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

// Borrow takes in a loan that was asked for at a time; a repeated answer changes nothing.
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
