package fault

import (
	"context"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/daisygap/daisygap/internal/soak/link"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// faultKind is a kind of fault, chosen with a probability proportional to its weight. inject makes all random choices
// before it returns, and runs the fault in the background.
type faultKind struct {
	name   string
	weight int
	inject func(*Run)
}

var faultKinds = []faultKind{
	{"kill", 6, func(r *Run) { r.killDaemons(r.sampleHosts(0)) }},
	{"kill many", 2, func(r *Run) { r.killDaemons(r.sampleHosts(0.6)) }},
	{"stop", 6, func(r *Run) { r.stopDaemons(r.sampleHosts(0), 0) }},
	{"roll", 2, func(r *Run) { r.stopDaemons(r.sampleHosts(1), r.randomDuration(200*time.Millisecond, time.Second)) }},
	{"pause", 4, (*Run).pauseDaemon},
	{"hup", 2, (*Run).reloadDaemons},
	{"store", 7, (*Run).failStore},
	{"store forgets", 2, (*Run).compactStore},
	{"store link", 5, func(r *Run) { r.impairDaemonLink(func(h *host) *link.Proxy { return h.storeLink }) }},
	{"peer link", 5, func(r *Run) { r.impairDaemonLink(func(h *host) *link.Proxy { return h.peerLink }) }},
	{"caller link", 3, func(r *Run) { r.impairDaemonLink(func(h *host) *link.Proxy { return h.callerLink }) }},
	{"server link", 5, (*Run).impairServerLink},
	{"server fault", 9, func(r *Run) { r.failServer(serverFaults) }},
	{"limit", 5, (*Run).limitServers},
	{"crash", 5, (*Run).crashServer},
	{"drain", 6, (*Run).drainServer},
	{"evacuate", 3, (*Run).evacuateDomain},
	{"configure", 8, func(r *Run) { r.writeConfigurations(1) }},
	{"configure storm", 2, func(r *Run) { r.writeConfigurations(6) }},
	{"burst", 3, (*Run).addCallers},
	{"rotate keys", 4, func(r *Run) { r.writeConfigurations(2) }},
	{"flood", 5, (*Run).floodByCustomer},
	{"bodies", 4, (*Run).holdBodies},
	{"invalid status", 5, func(r *Run) { r.failServer([]instance.Fault{instance.InvalidStatus}) }},
}

// runFault calls do in the background, and records a fault of the scope (see promise.FaultHistory.Begin) until do
// returns.
func (r *Run) runFault(scope string, do func()) {
	r.group.Go(func() {
		defer r.deployment.checker.Faults.Begin(scope)()
		do()
	})
}

func (r *Run) logError(err error) {
	if err != nil {
		r.logf("a step of a fault failed: %v", err)
	}
}

// killDaemons sends SIGKILL to the daemons and restarts each after a random downtime.
func (r *Run) killDaemons(hosts []*host) {
	for _, h := range hosts {
		downtime := r.randomDuration(200*time.Millisecond, 9*time.Second)
		r.logf("kill %s, restart after %v", h.Settings.Host, downtime)
		r.runFault(h.Settings.Host, func() {
			h.Kill()
			time.Sleep(downtime)
			r.logError(h.Start())
		})
	}
}

// stopDaemons stops the daemons gracefully and restarts them. It waits for the gap between the stops of two daemons.
func (r *Run) stopDaemons(hosts []*host, gap time.Duration) {
	r.group.Go(func() {
		for _, h := range hosts {
			r.group.Go(func() { r.stopDaemon(h) })
			time.Sleep(gap)
		}
	})
}

// stopDaemon sends SIGTERM to one daemon, waits for its exit, and restarts it.
func (r *Run) stopDaemon(h *host) {
	name := h.Settings.Host
	r.logf("stop %s", name)
	defer r.deployment.checker.Faults.BeginPlanned(name)()
	signaledAt := time.Now()
	r.deployment.checker.DaemonStopping(name)
	if err := h.Terminate(gracePeriod); err != nil {
		r.deployment.checker.StopFailed(name, signaledAt, err)
	}
	time.Sleep(300 * time.Millisecond)
	r.logError(h.Start())
}

// pauseDaemon suspends a daemon with SIGSTOP and resumes it with SIGCONT.
func (r *Run) pauseDaemon() {
	h, duration := r.sampleHosts(0)[0], r.randomDuration(300*time.Millisecond, 6*time.Second)
	r.logf("pause %s for %v", h.Settings.Host, duration)
	r.runFault(h.Settings.Host, func() {
		h.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		h.Signal(syscall.SIGCONT)
	})
}

// reloadDaemons sends SIGHUP to half of the daemons, which makes them read their settings again.
func (r *Run) reloadDaemons() {
	for _, h := range r.sampleHosts(0.5) {
		r.logf("send SIGHUP to %s", h.Settings.Host)
		h.Signal(syscall.SIGHUP)
	}
}

// failStore makes the store fail for a while. In a third of the cases the entry of one server expires meanwhile, and
// the server registers again after the store has recovered.
func (r *Run) failStore() {
	faults := []store.Faults{{Down: true}, {Down: true}, {Slow: 200}, {Silent: true}, {DropResponses: 5}}
	f, duration := faults[r.random.IntN(len(faults))], r.randomDuration(500*time.Millisecond, 6*time.Second)
	entryExpires, reregisterDelay := r.random.IntN(3) == 0, r.randomDuration(100*time.Millisecond, 1_500*time.Millisecond)
	s := r.deployment.randomServer(r.random)
	r.logf("store fault %+v for %v, entry of %s expires: %v", f, duration, s.ID, entryExpires)
	r.runFault(promise.AllDaemons, func() {
		r.deployment.site.Store.SetFaults(f)
		time.Sleep(duration)
		if entryExpires {
			r.logError(r.deployment.site.Put(serverKey(s), nil))
		}
		r.deployment.site.Store.SetFaults(store.Faults{})
		if entryExpires && r.deployment.isActive(s) {
			time.Sleep(reregisterDelay)
			r.logError(r.deployment.register(s))
		}
	})
}

// isActive reports whether no other fault has removed the server.
func (d *deployment) isActive(s *server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.servers, s)
}

// compactStore drops the store's history of changes and resets the connections to the store, so that watches can't
// resume.
func (r *Run) compactStore() {
	r.logf("compact the store")
	r.runFault(promise.AllDaemons, func() {
		r.deployment.site.Store.Memory.Compact()
		for _, h := range r.deployment.hosts {
			h.storeLink.Reset()
		}
	})
}

// impairDaemonLink applies a random fault to one link of a random daemon; linkOf selects the link.
func (r *Run) impairDaemonLink(linkOf func(*host) *link.Proxy) {
	h := r.sampleHosts(0)[0]
	impairment, duration := r.randomLinkFault()
	r.logf("impair a link of %s: %+v for %v", h.Settings.Host, impairment, duration)
	r.runFault(h.Settings.Host, func() { impairment.apply(linkOf(h), duration) })
}

// impairServerLink applies a random fault to the link to a random server.
func (r *Run) impairServerLink() {
	s := r.deployment.randomServer(r.random)
	impairment, duration := r.randomLinkFault()
	r.logf("impair the link to %s: %+v for %v", s.ID, impairment, duration)
	r.runFault(s.ID, func() { impairment.apply(s.link, duration) })
}

// linkFault is a fault of a link. The impairment applies to all connections for a limited time. Reset and blackhole
// apply once to the connections that are open when the fault begins.
type linkFault struct {
	link.Impairment
	reset     bool
	blackhole bool
}

func (r *Run) randomLinkFault() (linkFault, time.Duration) {
	list := []linkFault{
		{reset: true},
		{blackhole: true},
		{Impairment: link.Impairment{Delay: r.randomDuration(10*time.Millisecond, 300*time.Millisecond)}},
		{Impairment: link.Impairment{StallToTarget: true}},
		{Impairment: link.Impairment{StallFromTarget: true}},
		{Impairment: link.Impairment{StallToTarget: true, StallFromTarget: true}, reset: true},
	}
	return list[r.random.IntN(len(list))], r.randomDuration(500*time.Millisecond, 6*time.Second)
}

func (f linkFault) apply(proxy *link.Proxy, duration time.Duration) {
	if f.reset {
		proxy.Reset()
	}
	if f.blackhole {
		proxy.BlackholeOpen()
	}
	if f.Impairment == (link.Impairment{}) {
		return
	}
	proxy.SetImpairment(f.Impairment)
	time.Sleep(duration)
	proxy.SetImpairment(link.Impairment{})
}

// serverFaults are the faults of a server that the fault "server fault" chooses from.
var serverFaults = []instance.Fault{
	instance.Shed, instance.Fail, instance.Lose, instance.Cut, instance.Unframed, instance.UnframedCut,
	instance.Extra, instance.ExtraLate, instance.NoStamp, instance.WrongID, instance.Encoded, instance.Garbage, instance.Silent,
}

// failServer makes a random server misbehave by one of the faults for a while.
func (r *Run) failServer(faults []instance.Fault) {
	s, f, duration := r.deployment.randomServer(r.random), faults[r.random.IntN(len(faults))], r.randomDuration(500*time.Millisecond, 5*time.Second)
	r.logf("server fault of %s: %s for %v", s.ID, f, duration)
	r.runFault(s.ID, func() {
		s.SetFault(f)
		time.Sleep(duration)
		s.SetFault(instance.None)
	})
}

// limitServers makes some servers name a rate for a while.
func (r *Run) limitServers() {
	rates := []float64{0, 1, 4, 12}
	for range 1 + r.random.IntN(3) {
		s, rate, duration := r.deployment.randomServer(r.random), rates[r.random.IntN(len(rates))], r.randomDuration(5*time.Second, 12*time.Second)
		r.logf("%s names a rate of %g for %v", s.ID, rate, duration)
		r.group.Go(func() {
			r.deployment.checker.ServerLimited(s.tracked, rate)
			s.SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
			time.Sleep(duration)
			s.SetLimit("")
			r.deployment.checker.ServerLimited(s.tracked, -1)
		})
	}
}

// addressReuseDelay is the minimum time from the crash of a server to the reuse of its address by a server of another
// pool.
const addressReuseDelay = 2 * time.Second

// crashServer stops a server without notice. Its entry in the store expires later. A cold server then replaces it:
// under a new name, under the same name and address, or under a new name while a server of another pool gets the old
// address.
func (r *Run) crashServer() {
	s := r.deployment.randomServer(r.random)
	expiryDelay, replacementDelay := r.randomDuration(time.Second, 4*time.Second), r.randomDuration(0, 3*time.Second)
	replacement := []string{"new", "same name", "reused address"}[r.random.IntN(3)]
	r.logf("crash %s, entry expires after %v, replacement (%s) %v later", s.ID, expiryDelay, replacement, replacementDelay)
	if !r.deployment.removeServer(s) {
		return
	}
	r.runFault(s.ID, func() {
		s.Close()
		time.Sleep(expiryDelay)
		r.logError(r.deployment.site.Put(serverKey(s), nil))
		time.Sleep(replacementDelay)
		switch replacement {
		case "same name":
			r.startServer(s.Pool, s.Domain, s.ID, s.link)
		case "reused address":
			time.Sleep(max(0, addressReuseDelay-expiryDelay-replacementDelay))
			r.startServer(otherPool(s.Pool), s.Domain, "", s.link)
			r.startServer(s.Pool, s.Domain, "", nil)
		default:
			r.startServer(s.Pool, s.Domain, "", nil)
		}
	})
}

func otherPool(pool string) string {
	if pool == pools[0] {
		return pools[1]
	}
	return pools[0]
}

func (r *Run) startServer(pool, domain, id string, proxy *link.Proxy) {
	_, err := r.deployment.startServer(pool, domain, id, coldPeriod, proxy)
	r.logError(err)
}

// drainPeriod is how long a draining server still serves. It is longer than the time within which daemons must stop
// sending requests to the server (2.5 s).
const drainPeriod = 3 * time.Second

// drainServer replaces a server gracefully. In two thirds of the cases the leaving server marks its entry as draining; otherwise it
// deletes its entry, or every second time announces its departure only in its responses until it is gone.
func (r *Run) drainServer() {
	s, announces := r.deployment.randomServer(r.random), r.random.IntN(3) > 0
	r.logf("drain %s, entry marked as draining: %v", s.ID, announces)
	if !r.deployment.removeServer(s) {
		return
	}
	silent := !announces && r.faults["drain by header"] < r.faults["drain by deletion"]
	switch {
	case silent:
		r.faults["drain by header"]++
	case !announces:
		r.faults["drain by deletion"]++
	}
	r.group.Go(func() {
		r.startServer(s.Pool, s.Domain, "", nil)
		if silent {
			r.leaveByHeader(s)
			return
		}
		s.SetDraining()
		if announces {
			r.logError(r.deployment.register(s))
		} else {
			r.logError(r.deployment.site.Put(serverKey(s), nil))
		}
		r.deployment.checker.ServerDraining(s.tracked)
		time.Sleep(drainPeriod)
		r.logError(r.deployment.site.Put(serverKey(s), nil))
		s.Close()
	})
}

// leaveByHeader lets a server announce its departure only in its responses, and ends it.
func (r *Run) leaveByHeader(s *server) {
	s.SetLeaving("1")
	r.deployment.checker.ServerLeaving(s.tracked)
	time.Sleep(drainPeriod + time.Second)
	r.logError(r.deployment.site.Put(serverKey(s), nil))
	r.deployment.checker.ServerDraining(s.tracked)
	s.Close()
}

// evacuateDomain evacuates a random domain for a while.
func (r *Run) evacuateDomain() {
	domain, duration := domains[r.random.IntN(len(domains))], r.randomDuration(2*time.Second, 9*time.Second)
	r.logf("evacuate %s for %v", domain, duration)
	r.group.Go(func() {
		r.logError(r.deployment.site.Put("op/evacuate/"+domain, []byte("{}")))
		r.deployment.checker.SetEvacuated(domain, true)
		time.Sleep(duration)
		r.deployment.checker.SetEvacuated(domain, false)
		r.logError(r.deployment.site.Put("op/evacuate/"+domain, nil))
	})
}

// writeConfigurations writes n new configurations, one every 300 ms.
func (r *Run) writeConfigurations(n int) {
	r.logf("write %d new configurations", n)
	r.group.Go(func() {
		for range n {
			r.logError(r.deployment.configure())
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// addCallers triples the number of callers for a while. The additional callers send requests at four times the usual
// rate.
func (r *Run) addCallers() {
	duration := r.randomDuration(time.Second, 4*time.Second)
	r.logf("add %d callers for %v", 2*r.Callers, duration)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	group := r.startCallers(ctx, "burst", 2*r.Callers, meanCallerInterval/4, domains, r.deployment.currentRequestKinds)
	r.group.Go(func() {
		defer cancel()
		group.Wait()
	})
}
