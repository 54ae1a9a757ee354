package fault

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/daisygap/daisygap/internal/soak/link"
	"github.com/daisygap/daisygap/internal/soak/promise"
	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// faultKind is one kind of fault; inject makes its random choices at once and goes on in the background.
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
	{"server fault", 9, (*Run).failServer},
	{"crash", 5, (*Run).crashServer},
	{"drain", 6, (*Run).drainServer},
	{"evacuate", 3, (*Run).evacuateDomain},
	{"configure", 8, func(r *Run) { r.writeConfigurations(1) }},
	{"configure storm", 2, func(r *Run) { r.writeConfigurations(6) }},
	{"burst", 3, (*Run).addCallers},
}

// runFault notes trouble of a scope while something lasts.
func (r *Run) runFault(scope string, do func()) {
	r.group.Go(func() {
		defer r.deployment.checker.Faults.Begin(scope)()
		do()
	})
}

func (r *Run) logError(err error) {
	if err != nil {
		r.logf("the fault failed: %v", err)
	}
}

// killDaemons ends processes at once and starts them again.
func (r *Run) killDaemons(hosts []*host) {
	for _, h := range hosts {
		downtime := r.randomDuration(200*time.Millisecond, 9*time.Second)
		r.logf("kill %s for %v", h.Settings.Host, downtime)
		r.runFault(h.Settings.Host, func() {
			h.Kill()
			time.Sleep(downtime)
			r.logError(h.Start())
		})
	}
}

// stopDaemons ends processes as planned, one after the other, and starts them again.
func (r *Run) stopDaemons(hosts []*host, gap time.Duration) {
	r.group.Go(func() {
		for _, h := range hosts {
			r.group.Go(func() { r.stopDaemon(h) })
			time.Sleep(gap)
		}
	})
}

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

// pauseDaemon freezes a process for a while.
func (r *Run) pauseDaemon() {
	h, duration := r.sampleHosts(0)[0], r.randomDuration(300*time.Millisecond, 6*time.Second)
	r.logf("pause %s for %v", h.Settings.Host, duration)
	r.runFault(h.Settings.Host, func() {
		h.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		h.Signal(syscall.SIGCONT)
	})
}

// reloadDaemons tells some processes that their settings changed.
func (r *Run) reloadDaemons() {
	for _, h := range r.sampleHosts(0.5) {
		r.logf("hup %s", h.Settings.Host)
		h.Signal(syscall.SIGHUP)
	}
}

// failStore makes the store fail for a while; entries of servers may lapse meanwhile.
func (r *Run) failStore() {
	faults := []store.Faults{{Down: true}, {Down: true}, {Slow: 200}, {Silent: true}, {DropResponses: 5}}
	f, duration := faults[r.random.IntN(len(faults))], r.randomDuration(500*time.Millisecond, 6*time.Second)
	entryExpires, reregisterDelay := r.random.IntN(3) == 0, r.randomDuration(100*time.Millisecond, 1_500*time.Millisecond)
	s := r.deployment.randomServer(r.random)
	r.logf("store %+v for %v, %s lapses: %v", f, duration, s.ID, entryExpires)
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

// isActive tells whether no other fault has taken a server away.
func (d *deployment) isActive(s *server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.servers, s)
}

// compactStore drops the store's history and cuts the watches.
func (r *Run) compactStore() {
	r.logf("the store forgets its history")
	r.runFault(promise.AllDaemons, func() {
		r.deployment.site.Store.Memory.Compact()
		for _, h := range r.deployment.hosts {
			h.storeLink.Reset()
		}
	})
}

// impairDaemonLink harms one link of a daemon.
func (r *Run) impairDaemonLink(linkOf func(*host) *link.Proxy) {
	h := r.sampleHosts(0)[0]
	impairment, duration := r.randomLinkFault()
	r.logf("a link of %s: %+v for %v", h.Settings.Host, impairment, duration)
	r.runFault(h.Settings.Host, func() { impairment.apply(linkOf(h), duration) })
}

// impairServerLink harms the link to a server.
func (r *Run) impairServerLink() {
	s := r.deployment.randomServer(r.random)
	impairment, duration := r.randomLinkFault()
	r.logf("the link to %s: %+v for %v", s.ID, impairment, duration)
	r.runFault(s.ID, func() { impairment.apply(s.link, duration) })
}

// linkFault is how a link is harmed: its open connections at first, all of them for a while, or both.
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

// failServer has a server treat its requests badly for a while.
func (r *Run) failServer() {
	faults := []instance.Fault{
		instance.Shed, instance.Fail, instance.Lose, instance.Cut, instance.Unframed, instance.UnframedCut,
		instance.Extra, instance.ExtraLate, instance.NoStamp, instance.WrongID, instance.Encoded, instance.Garbage, instance.Silent,
	}
	s, f, duration := r.deployment.randomServer(r.random), faults[r.random.IntN(len(faults))], r.randomDuration(500*time.Millisecond, 5*time.Second)
	r.logf("%s: %s for %v", s.ID, f, duration)
	r.runFault(s.ID, func() {
		s.SetFault(f)
		time.Sleep(duration)
		s.SetFault(instance.None)
	})
}

// addressReuseDelay is how long an address rests before a server of another pool may get it.
const addressReuseDelay = 2 * time.Second

// crashServer ends a server at once; its entry lapses later, and another one comes, cold, under its name, at its address or anew.
func (r *Run) crashServer() {
	s := r.deployment.randomServer(r.random)
	expiryDelay, replacementDelay := r.randomDuration(time.Second, 4*time.Second), r.randomDuration(0, 3*time.Second)
	replacement := []string{"new", "same name", "reused address"}[r.random.IntN(3)]
	r.logf("crash %s, entry ends after %v, %s after %v", s.ID, expiryDelay, replacement, replacementDelay)
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

// drainPeriod is how long a leaving server still serves, and a little longer.
const drainPeriod = 3 * time.Second

// drainServer has a server leave, with or without saying so, and another take its place.
func (r *Run) drainServer() {
	s, announces := r.deployment.randomServer(r.random), r.random.IntN(3) > 0
	r.logf("%s leaves, and says so: %v", s.ID, announces)
	if !r.deployment.removeServer(s) {
		return
	}
	r.group.Go(func() {
		r.startServer(s.Pool, s.Domain, "", nil)
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

// evacuateDomain empties a domain for a while.
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

// writeConfigurations writes new configurations, several in quick succession for a storm.
func (r *Run) writeConfigurations(n int) {
	r.logf("%d new configurations", n)
	r.group.Go(func() {
		for range n {
			r.logError(r.deployment.configure())
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// addCallers has many callers more come for a while.
func (r *Run) addCallers() {
	duration := r.randomDuration(time.Second, 4*time.Second)
	r.logf("a burst of %d callers for %v", 2*r.Callers, duration)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	group := r.startCallers(ctx, "burst", 2*r.Callers, meanCallerInterval/4)
	r.group.Go(func() {
		defer cancel()
		group.Wait()
	})
}
