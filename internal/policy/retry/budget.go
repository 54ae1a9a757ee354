package retry

// initialCredit is the number of retries allowed before any first attempt has added credit.
const initialCredit = 3

// maxCredit is the largest number of retries that can be saved up.
const maxCredit = 100

// Budget limits retries to a ratio of the first attempts. It is not safe for concurrent use.
type Budget struct {
	Ratio       float64
	credit      float64
	initialized bool
}

// Deposit adds the credit for one first attempt.
func (b *Budget) Deposit() {
	b.initialize()
	b.credit = min(b.credit+b.Ratio, maxCredit)
}

// TryWithdraw takes the credit for one retry and reports whether there was enough.
func (b *Budget) TryWithdraw() bool {
	b.initialize()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (b *Budget) initialize() {
	if !b.initialized && b.Ratio > 0 {
		b.credit = initialCredit
	}
	b.initialized = true
}
