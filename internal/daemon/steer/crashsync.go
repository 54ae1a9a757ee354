package steer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/poison"
)

const (
	// staleContact is the time without contact to other daemons after which this one asks for all crash reports. It is below the
	// time for which daemons forward a report.
	staleContact = daisygap.Millis(3_000)
	// crashSyncWait is how long requests wait for these reports, and crashSyncPeers the number of daemons asked.
	crashSyncWait  = daisygap.Millis(300)
	crashSyncPeers = 5
	// newsPushDelay collects reports that arise together into one message.
	newsPushDelay = daisygap.Millis(5)
	// newsPushRate and newsPushBurst limit the rounds of messages per second, and newsPushFanout is the number of daemons that a
	// round reaches in a large fleet, where each of them forwards the news.
	newsPushRate   = 2
	newsPushBurst  = 10
	newsPushFanout = 8
)

// crashSync is the state of the exchange of all reports after this daemon started, or was frozen or cut off.
type crashSync struct {
	// contact is the time of the last exchange with another daemon, and wallContact the same by the time of day. They are 0 at the start.
	contact     atomic.Int64
	wallContact atomic.Int64
	mu          sync.Mutex
	// running is closed when the pending exchange ends. It is nil if there is none.
	running chan struct{}
	// isolated is set while no other daemon responds.
	isolated atomic.Bool
}

// noteContact records that another daemon's reports were received.
func (d *Daemon) noteContact() {
	d.crashes.sync.contact.Store(int64(d.Clock.Now()))
	d.crashes.sync.wallContact.Store(int64(d.Clock.Wall()))
	d.crashes.sync.isolated.Store(false)
}

// isContactStale reports whether reports of other daemons may have been missed. The monotonic clock doesn't count the time for which a
// machine is suspended, but the time of day does.
func (d *Daemon) isContactStale() bool {
	at, wallAt := daisygap.Millis(d.crashes.sync.contact.Load()), daisygap.Millis(d.crashes.sync.wallContact.Load())
	return at == 0 || d.Clock.Now()-at > staleContact || d.Clock.Wall()-wallAt > staleContact
}

// awaitCrashSync makes sure that this daemon knows the requests that other daemons block. It waits for them for a short time after the
// daemon started or regained its processor, and once when it lost contact.
func (d *Daemon) awaitCrashSync(ctx context.Context) {
	s := &d.crashes.sync
	if !d.isContactStale() || s.isolated.Load() {
		return
	}
	s.mu.Lock()
	if s.running == nil {
		s.running = make(chan struct{})
		go d.syncCrashes(s.running)
	}
	running := s.running
	s.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
	}
}

// syncCrashes asks some daemons for all crash reports, and closes done when they responded or after crashSyncWait.
func (d *Daemon) syncCrashes(done chan struct{}) {
	s := &d.crashes.sync
	var group sync.WaitGroup
	for _, address := range d.crashSyncTargets() {
		group.Go(func() { d.exchangeGossip(address) })
	}
	responded := make(chan struct{})
	go func() {
		group.Wait()
		close(responded)
	}()
	select {
	case <-responded:
	case <-time.After(crashSyncWait.Duration()):
	}
	if d.isContactStale() {
		s.isolated.Store(true)
	}
	s.mu.Lock()
	s.running = nil
	s.mu.Unlock()
	close(done)
}

// crashSyncTargets returns the addresses of up to crashSyncPeers daemons: live ones first, then those that may be. A daemon that has just
// started knows none to be alive, and its predecessor's address may be among the others.
func (d *Daemon) crashSyncTargets() []string {
	list := d.gossipTargets(crashSyncPeers)
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	more := slices.Clone(d.Settings.Peers)
	for _, p := range d.membership.roster.StorePeers() {
		more = append(more, p.Address)
	}
	own := d.membership.roster.Self.Peer.Address
	for _, address := range more {
		if len(list) >= crashSyncPeers {
			break
		}
		if address != own && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func (d *Daemon) wakeNewsPush() {
	select {
	case d.crashes.wake <- struct{}{}:
	default:
	}
}

// runNewsPush sends new reports of crashes and restarts to other daemons at once, since the next copy of the request, or the next request
// for the upstream, may arrive at any of them.
func (d *Daemon) runNewsPush() {
	limiter := rate.NewLimiter(newsPushRate, newsPushBurst)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.crashes.wake:
		}
		if limiter.Wait(d.ctx) != nil || !d.sleep(newsPushDelay) {
			return
		}
		d.pushNews()
	}
}

// pushNews sends new reports to all daemons of a small fleet, or to some of a large one.
func (d *Daemon) pushNews() {
	count, small := newsPushFanout, d.isSmallFleet()
	if small {
		count = smallFleet
	}
	c, now := &d.crashes, d.Clock.Now()
	c.mu.Lock()
	g := daisygap.Gossip{Crashes: c.tracker.TakeNews(!small, now), NewsOnly: true}
	c.mu.Unlock()
	if g.Restarts = d.fleet.TakeRestartNews(now); len(g.Crashes)+len(g.Restarts) == 0 {
		return
	}
	for _, address := range d.gossipTargets(count) {
		go func() {
			// A daemon that doesn't respond gets the reports by gossip once it does.
			_, _ = d.Peers.Gossip(address, g)
		}()
	}
}

func (d *Daemon) isSmallFleet() bool {
	d.membership.mu.Lock()
	defer d.membership.mu.Unlock()
	return len(d.membership.roster.Alive(d.Clock.Now())) <= smallFleet
}

// mergeCrashes merges another daemon's reports. In a large fleet it forwards what is new.
func (d *Daemon) mergeCrashes(g daisygap.Gossip) {
	if len(g.Crashes)+len(g.Answers) == 0 {
		return
	}
	news := false
	now := d.Clock.Now()
	d.updateTracker(func(t *poison.Tracker) { news = t.Merge(g.Crashes, g.Answers, now) })
	if news && !d.isSmallFleet() {
		d.wakeNewsPush()
	}
}
