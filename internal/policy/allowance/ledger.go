package allowance

import (
	"math"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	// minDemandPeriod is the shortest time over which the demand for a customer is averaged. The one of a small customer is the time in
	// which its rate brings demandTokens, up to maxDemandPeriod, so that two requests in a row don't count as a flood.
	minDemandPeriod = daisygap.Millis(500)
	maxDemandPeriod = daisygap.Millis(1_000)
	demandTokens    = 2
	// peakPeriod is the time over which the peak of the demand decays.
	peakPeriod = daisygap.Millis(5_000)
	// settlePeriod is the time in seconds in which tokens that were saved up are used, and debtPeriod the one in which a negative level is
	// made good. The shorter it is, the more of an excess is made good within the 5 s for which the bound holds.
	settlePeriod = 1.0
	debtPeriod   = 0.5
	// minDepth is the smallest number of tokens that a bucket holds, and minDepthPeriod the same as a time in seconds at the rate. Without
	// them a customer without a burst would be refused below its rate. The bound on requests in 5 s allows as many beyond the burst.
	minDepth       = 10
	minDepthPeriod = 0.2
	// firstDebt is the time in seconds at a rate above smallRate that a new bucket lacks, because the coordinator before may have admitted an excess that
	// nobody remembers. Customers at the usual 0.6 of their rates are open nevertheless.
	firstDebt = 0.15
	// firstInterval is the time that the first report on a customer covers.
	firstInterval = daisygap.Millis(250)
	// maxDebt is the time in seconds at the rate in which the lowest level is made good.
	maxDebt = 5.0
	// openAt is the fraction from which on a customer is open, and limitBelow the one below which it becomes limited. The demand of a small fleet
	// varies by a tenth from report to report, and a debt of 0.08 s at the rate already lowers the fraction as much.
	openAt     = 1.1
	limitBelow = 0.85
	// forgetBucket is the time without a request after which a bucket is forgotten. The customer's next one starts empty.
	forgetBucket = daisygap.Millis(60_000)
	pruneEvery   = daisygap.Millis(10_000)
)

// Ledger holds the buckets of the customers whose slots this daemon coordinates. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	daemons int
	// list holds the customers of the configuration in force, and customers those with a rate by their IDs once they are needed.
	list      []daisygap.Customer
	customers map[uint64]*daisygap.Customer
	slots     map[SlotKey]*ledgerSlot
	changes   []Change
}

// Change reports that a customer became limited or open again.
type Change struct {
	Customer string
	Limited  bool
	// Rate is the customer's rate, Demand the number of its requests per second, and Level that of its tokens.
	Rate   float64
	Demand float64
	Level  float64
}

// ledgerSlot holds the buckets of one slot.
type ledgerSlot struct {
	buckets map[uint64]*bucket
	// limited holds the IDs of the limited customers.
	limited  map[uint64]bool
	board    board
	relays   map[string]relayState
	prunedAt daisygap.Millis
}

// relayState is the last report of a relay: when it arrived, and the number of daemons in its group that recently reported.
type relayState struct {
	at    daisygap.Millis
	heard int
}

// bucket is the token bucket of one customer with its demand.
type bucket struct {
	// level is the number of tokens. It is negative if more requests were admitted.
	level float64
	// demand is the moving average of the arriving requests per second.
	demand float64
	// peak is the highest demand lately. It decays over peakPeriod.
	peak       float64
	updatedAt  daisygap.Millis
	reportedAt daisygap.Millis
}

// SetCustomers sets the customers of the configuration in force.
func (l *Ledger) SetCustomers(list []daisygap.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.customers = list, nil
}

// SetDaemons sets the number of known daemons, including this one and those that can't be reached.
func (l *Ledger) SetDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = max(n, 1)
}

// Report counts the report of a relay and returns the changes of the slot's limits.
func (l *Ledger) Report(r daisygap.AllowanceReport, now daisygap.Millis) daisygap.AllowanceReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !IsValid(r) {
		return daisygap.AllowanceReply{Full: true}
	}
	s := l.slot(SlotKey{r.Slot, r.Slots}, now)
	s.relays[r.From] = relayState{now, r.Heard}
	l.buildCustomers()
	part := l.heardPart(s, now)
	for _, u := range r.Uses {
		c := l.customers[u.Customer]
		if c == nil {
			continue
		}
		b := s.buckets[u.Customer]
		if b == nil {
			b = &bucket{updatedAt: now}
			if c.Rate > smallRate {
				b.level = -firstDebt * c.Rate
				// The first report counts the requests of an interval, for which the bucket has tokens as well.
				b.updatedAt = now - firstInterval
			}
			s.buckets[u.Customer] = b
		}
		b.update(c, part, now)
		b.reportedAt = now
		b.level = max(b.level-float64(u.Admitted), -maxDebt*c.Rate)
		b.demand += float64(max(u.Admitted+u.Refused, 0)) * 1_000 / float64(demandPeriod(c))
		b.peak = max(b.peak, b.demand)
	}
	for _, u := range r.Uses {
		l.limit(s, u.Customer, part, now)
	}
	for id := range s.limited {
		l.limit(s, id, part, now)
	}
	return s.board.changes(r.Seen, now)
}

func (l *Ledger) slot(key SlotKey, now daisygap.Millis) *ledgerSlot {
	if l.slots == nil {
		l.slots = make(map[SlotKey]*ledgerSlot)
	}
	s := l.slots[key]
	if s == nil {
		s = &ledgerSlot{buckets: make(map[uint64]*bucket), limited: make(map[uint64]bool), relays: make(map[string]relayState)}
		l.slots[key] = s
	}
	if now-s.prunedAt > pruneEvery {
		s.prunedAt = now
		for id, b := range s.buckets {
			if now-b.reportedAt > forgetBucket {
				delete(s.buckets, id)
			}
		}
		for other, o := range l.slots {
			if o != s && now-o.prunedAt > forgetBucket {
				delete(l.slots, other)
			}
		}
	}
	return s
}

func (l *Ledger) buildCustomers() {
	if l.customers != nil {
		return
	}
	l.customers = make(map[uint64]*daisygap.Customer)
	for i := range l.list {
		if c := &l.list[i]; c.Rate > 0 {
			l.customers[ID(c.Name)] = c
		}
	}
}

// heardPart returns the fraction of the known daemons whose use is reported to this coordinator. The others use their equal shares.
func (l *Ledger) heardPart(s *ledgerSlot, now daisygap.Millis) float64 {
	heard := 0
	for name, r := range s.relays {
		if now-r.at > relayHeardPeriod(l.daemons) {
			delete(s.relays, name)
		} else {
			heard += r.heard
		}
	}
	return min(1, float64(heard)/float64(max(l.daemons, 1)))
}

// limit updates the limit of a customer on the slot's board.
func (l *Ledger) limit(s *ledgerSlot, id uint64, part float64, now daisygap.Millis) {
	b, c := s.buckets[id], l.customers[id]
	if b == nil || c == nil {
		if s.limited[id] {
			delete(s.limited, id)
			s.board.set(daisygap.AllowanceLimit{Customer: id, Fraction: 1}, now)
		}
		// The bucket stays until it is pruned, so that a customer that comes back still has its debt.
		return
	}
	b.update(c, part, now)
	demand := b.demand
	if b.level < 0 && c.Rate > smallRate {
		// A flood that pauses would otherwise be admitted again until it is reported.
		demand = b.peak
	}
	granted := max(0, c.Rate*part+max(b.level, 0)/settlePeriod+min(b.level, 0)/debtPeriod)
	threshold := limitBelow
	if s.limited[id] {
		threshold = openAt
	}
	if granted >= threshold*demand {
		if s.limited[id] {
			delete(s.limited, id)
			l.noteChange(c, b, false)
			s.board.set(daisygap.AllowanceLimit{Customer: id, Fraction: 1}, now)
		}
		return
	}
	if !s.limited[id] {
		s.limited[id] = true
		l.noteChange(c, b, true)
	}
	// A fraction just below 1 doesn't yet end the limit.
	fraction := min(math.Round(granted/demand*10_000)/10_000, 0.9999)
	backlog := max(0, 1-b.level) + max(0, b.demand-granted)
	wait := min(backlog/c.Rate*1_000, float64(maxRetryAfter))
	s.board.set(daisygap.AllowanceLimit{Customer: id, Fraction: fraction, Wait: daisygap.Millis(math.Ceil(wait))}, now)
}

// maxChanges bounds the changes that are kept until TakeChanges.
const maxChanges = 100

func (l *Ledger) noteChange(c *daisygap.Customer, b *bucket, limited bool) {
	if len(l.changes) < maxChanges {
		l.changes = append(l.changes, Change{Customer: c.Name, Limited: limited, Rate: c.Rate, Demand: b.demand, Level: b.level})
	}
}

// TakeChanges returns the customers that became limited or open since the last call.
func (l *Ledger) TakeChanges() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.changes
	l.changes = nil
	return list
}

// update adds the tokens since the last call and lets the demand decay. Only a part of the rate and of the burst is this coordinator's.
func (b *bucket) update(c *daisygap.Customer, part float64, now daisygap.Millis) {
	depth := max(c.Burst, minDepth, minDepthPeriod*c.Rate)
	b.level = min(depth*part, b.level+c.Rate*part*float64(now-b.updatedAt)/1_000)
	b.demand *= decayOf(now-b.updatedAt, demandPeriod(c))
	b.peak = max(b.demand, b.peak*decayOf(now-b.updatedAt, peakPeriod))
	b.updatedAt = now
}

// decayOf returns the factor by which a moving average over a period falls in some time.
func decayOf(since, period daisygap.Millis) float64 {
	if since <= 0 {
		return 1
	}
	return math.Exp(-float64(since) / float64(period))
}

func demandPeriod(c *daisygap.Customer) daisygap.Millis {
	return min(max(daisygap.Millis(demandTokens*1_000/c.Rate), minDemandPeriod), maxDemandPeriod)
}
