package retry

// Retries that are allowed before any fresh request has earned some.
const initialCredit = 3

// Most retries that a quiet time can save up.
const maxCredit = 100

// Budget allows a part of the fresh requests to be tried again; it is not safe for concurrent use.
type Budget struct {
	Ratio       float64
	credit      float64
	initialized bool
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.initialize()
	b.credit = min(b.credit+b.Ratio, maxCredit)
}

// TryWithdraw spends one retry, or reports that the budget is used up.
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
