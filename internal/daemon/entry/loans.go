package entry

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
)

const (
	loanInterval = 100 * time.Millisecond
	// minBorrowInterval is the shortest interval between two rounds of borrowing for one group, in milliseconds.
	minBorrowInterval = daisygap.Millis(20)
)

// loans passes the demand for slots from the pools to the loop that borrows from other daemons.
type loans struct {
	demand chan string
}

// request asks for slots for a group whose requests wait; it never blocks.
func (l *loans) request(group string) {
	select {
	case l.demand <- group:
	default:
	}
}

// runLoans borrows slots when requests wait, and extends or returns borrowed slots.
func (d *Daemon) runLoans() {
	ticker := time.NewTicker(loanInterval)
	defer ticker.Stop()
	last := make(map[string]daisygap.Millis)
	for {
		select {
		case <-d.ctx.Done():
			return
		case group := <-d.loans.demand:
			if now := d.Clock.Now(); now-last[group] >= minBorrowInterval {
				last[group] = now
				if p := d.pool(group); p != nil && p.NeedsRecall() {
					d.recall(group)
				}
				d.borrow(group)
			}
		case <-ticker.C:
			d.maintainLoans()
			d.borrowLinks()
		}
	}
}

// borrow asks the domain's other daemons in turn until the waiting requests have slots.
func (d *Daemon) borrow(group string) {
	pool := d.pool(group)
	if pool == nil {
		return
	}
	for _, c := range d.otherHosts() {
		want, rank := pool.SlotDemand()
		if want == 0 {
			return
		}
		requestedAt := d.Clock.Now()
		reply, err := d.Peers.Loan(d.ctx, c.PeerAddress, daisygap.LoanRequest{Group: group, Host: d.self.PeerAddress, Amount: want, Rank: rank})
		if err != nil {
			d.Log.With("loan").Debugf("cannot borrow slots: %v", err)
			continue
		}
		if len(reply.Granted) > 0 {
			metrics.GetOrCreateCounter(`daisygap_loans_total{group="` + group + `"}`).Inc()
			pool.AddBorrowed(c.PeerAddress, reply.Granted, requestedAt)
		}
	}
}

// linkGroupPrefix marks a loan call for a part of a link's rate instead of slots of a group.
const linkGroupPrefix = "link:"

// borrowLinks asks the region's other daemons for parts of links with a backlog; these loans expire by themselves.
func (d *Daemon) borrowLinks() {
	for to, want := range d.links.demand() {
		for _, h := range d.regionHosts() {
			requestedAt := d.Clock.Now()
			call := daisygap.LoanRequest{Group: linkGroupPrefix + to, Host: d.self.PeerAddress, Amount: int(want)}
			reply, err := d.Peers.Loan(d.ctx, h.PeerAddress, call)
			if err != nil {
				d.unreachable.add(h.Name, requestedAt)
				d.Log.With("loan").Debugf("cannot borrow link bandwidth: %v", err)
				continue
			}
			for _, lent := range reply.Granted {
				d.links.borrow(to, h.PeerAddress, lent, requestedAt, d.Clock.Now())
			}
		}
	}
}

// regionHosts returns the other daemons of the local region, except those that were unreachable recently.
func (d *Daemon) regionHosts() []daisygap.Host {
	var list []daisygap.Host
	isDown := d.unreachable.contains(d.Clock)
	for _, domain := range d.config().DomainsOf(d.Settings.Region) {
		for _, h := range d.gossip.hostsOf(domain) {
			if h.Name != d.Settings.Host && !isDown(h.Name) {
				list = append(list, h)
			}
		}
	}
	return list
}

// lendLink answers a daemon that asks for a part of a link.
func (d *Daemon) lendLink(to string, want int) daisygap.LoanReply {
	id, amount := d.links.lend(to, int64(want), d.Clock.Now())
	if amount == 0 || d.stopping.Load() {
		return daisygap.LoanReply{}
	}
	return daisygap.LoanReply{Granted: []daisygap.Loan{{ID: id, Amount: int(amount)}}}
}

// maintainLoans extends loans in use, returns unused ones and recalls lent slots that local requests need.
func (d *Daemon) maintainLoans() {
	for group, pool := range *d.pools.Load() {
		for _, due := range pool.DueLoans() {
			d.maintainLoan(group, pool, due)
		}
		if pool.NeedsRecall() {
			d.recall(group)
		}
	}
}

func (d *Daemon) maintainLoan(group string, pool *upstream.Pool, due upstream.DueLoans) {
	if len(due.Extend)+len(due.Return) == 0 {
		return
	}
	requestedAt := d.Clock.Now()
	call := daisygap.LoanRequest{Group: group, Host: d.self.PeerAddress, Extend: due.Extend, Return: due.Return}
	reply, err := d.Peers.Loan(d.ctx, due.Peer, call)
	if err != nil {
		d.Log.With("loan").Debugf("cannot extend or return a loan: %v", err)
		return
	}
	pool.ExtendBorrowed(due.Peer, reply.Extended, requestedAt)
}

func (d *Daemon) recall(group string) {
	call := daisygap.LoanRequest{Group: group, Host: d.self.PeerAddress, Recall: true}
	for _, c := range d.otherHosts() {
		d.goTask(func() {
			if _, err := d.Peers.Loan(d.ctx, c.PeerAddress, call); err != nil {
				d.Log.With("loan").Debugf("cannot recall lent slots: %v", err)
			}
		})
	}
}

// ServeLoan handles a loan call of another daemon of the domain: it lends, extends, takes back or returns slots.
func (d *Daemon) ServeLoan(c daisygap.LoanRequest) daisygap.LoanReply {
	if to, ok := strings.CutPrefix(c.Group, linkGroupPrefix); ok {
		return d.lendLink(to, c.Amount)
	}
	pool := d.pool(c.Group)
	if pool == nil {
		return daisygap.LoanReply{}
	}
	if c.Recall {
		pool.Recall(c.Host)
		return daisygap.LoanReply{}
	}
	var reply daisygap.LoanReply
	if len(c.Return) > 0 {
		pool.CloseReturned(c.Host, c.Return)
	}
	if d.stopping.Load() {
		return reply
	}
	if len(c.Extend) > 0 {
		reply.Extended = pool.ExtendLent(c.Host, c.Extend)
	}
	if c.Amount > 0 {
		reply.Granted = pool.Lend(c.Host, c.Amount, c.Rank)
	}
	return reply
}
