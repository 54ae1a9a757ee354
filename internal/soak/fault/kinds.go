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

// kind is one kind of fault; begin makes its random choices at once and goes on in the background.
type kind struct {
	name   string
	weight int
	begin  func(*Run)
}

var all = []kind{
	{"kill", 6, func(r *Run) { r.kill(r.some(0)) }},
	{"kill many", 2, func(r *Run) { r.kill(r.some(0.6)) }},
	{"stop", 6, func(r *Run) { r.stop(r.some(0), 0) }},
	{"roll", 2, func(r *Run) { r.stop(r.some(1), r.span(200*time.Millisecond, time.Second)) }},
	{"pause", 4, (*Run).pause},
	{"hup", 2, (*Run).hup},
	{"store", 7, (*Run).storeFault},
	{"store forgets", 2, (*Run).compact},
	{"store link", 5, func(r *Run) { r.harmHost(func(h *host) *link.Proxy { return h.store }) }},
	{"peer link", 5, func(r *Run) { r.harmHost(func(h *host) *link.Proxy { return h.peers }) }},
	{"caller link", 3, func(r *Run) { r.harmHost(func(h *host) *link.Proxy { return h.callers }) }},
	{"server link", 5, (*Run).harmServer},
	{"server fault", 9, (*Run).serverFault},
	{"crash", 5, (*Run).crash},
	{"drain", 6, (*Run).drain},
	{"evacuate", 3, (*Run).evacuate},
	{"configure", 8, func(r *Run) { r.configure(1) }},
	{"configure storm", 2, func(r *Run) { r.configure(6) }},
	{"burst", 3, (*Run).burst},
}

// during notes trouble of a scope while something lasts.
func (r *Run) during(scope string, do func()) {
	r.group.Go(func() {
		defer r.world.ledger.Faults.Begin(scope)()
		do()
	})
}

func (r *Run) must(err error) {
	if err != nil {
		r.say("the fault failed: %v", err)
	}
}

// kill ends processes at once and starts them again.
func (r *Run) kill(hosts []*host) {
	for _, h := range hosts {
		away := r.span(200*time.Millisecond, 9*time.Second)
		r.say("kill %s for %v", h.Settings.Host, away)
		r.during(h.Settings.Host, func() {
			h.Kill()
			time.Sleep(away)
			r.must(h.Start())
		})
	}
}

// stop ends processes as planned, one after the other, and starts them again.
func (r *Run) stop(hosts []*host, gap time.Duration) {
	r.group.Go(func() {
		for _, h := range hosts {
			r.group.Go(func() { r.stopOne(h) })
			time.Sleep(gap)
		}
	})
}

func (r *Run) stopOne(h *host) {
	name := h.Settings.Host
	r.say("stop %s", name)
	defer r.world.ledger.Faults.BeginPlanned(name)()
	told := time.Now()
	r.world.ledger.DaemonStopping(name)
	if err := h.Terminate(grace); err != nil {
		r.world.ledger.StopFailed(name, told, err)
	}
	time.Sleep(300 * time.Millisecond)
	r.must(h.Start())
}

// pause freezes a process for a while.
func (r *Run) pause() {
	h, span := r.some(0)[0], r.span(300*time.Millisecond, 6*time.Second)
	r.say("pause %s for %v", h.Settings.Host, span)
	r.during(h.Settings.Host, func() {
		h.Signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.Signal(syscall.SIGCONT)
	})
}

// hup tells some processes that their settings changed.
func (r *Run) hup() {
	for _, h := range r.some(0.5) {
		r.say("hup %s", h.Settings.Host)
		h.Signal(syscall.SIGHUP)
	}
}

// storeFault makes the store fail for a while; entries of servers may lapse meanwhile.
func (r *Run) storeFault() {
	faults := []store.Faults{{Down: true}, {Down: true}, {Slow: 200}, {Silent: true}, {DropResponses: 5}}
	f, span := faults[r.random.IntN(len(faults))], r.span(500*time.Millisecond, 6*time.Second)
	lapse, back := r.random.IntN(3) == 0, r.span(100*time.Millisecond, 1_500*time.Millisecond)
	s := r.world.pick(r.random)
	r.say("store %+v for %v, %s lapses: %v", f, span, s.ID, lapse)
	r.during(promise.AllDaemons, func() {
		r.world.site.Store.SetFaults(f)
		time.Sleep(span)
		if lapse {
			r.must(r.world.site.Put(serverKey(s), nil))
		}
		r.world.site.Store.SetFaults(store.Faults{})
		if lapse && r.world.runsStill(s) {
			time.Sleep(back)
			r.must(r.world.register(s))
		}
	})
}

// runsStill tells whether no other fault has taken a server away.
func (w *world) runsStill(s *server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.servers, s)
}

// compact drops the store's history and cuts the watches.
func (r *Run) compact() {
	r.say("the store forgets its history")
	r.during(promise.AllDaemons, func() {
		r.world.site.Store.Memory.Compact()
		for _, h := range r.world.hosts {
			h.store.Reset()
		}
	})
}

// harmHost harms one link of a daemon.
func (r *Run) harmHost(of func(*host) *link.Proxy) {
	h := r.some(0)[0]
	harm, span := r.harm()
	r.say("a link of %s: %+v for %v", h.Settings.Host, harm, span)
	r.during(h.Settings.Host, func() { harm.apply(of(h), span) })
}

// harmServer harms the link to a server.
func (r *Run) harmServer() {
	s := r.world.pick(r.random)
	harm, span := r.harm()
	r.say("the link to %s: %+v for %v", s.ID, harm, span)
	r.during(s.ID, func() { harm.apply(s.link, span) })
}

// harm is how a link is harmed: its open connections at first, all of them for a while, or both.
type harm struct {
	link.Impairment
	reset   bool
	silence bool
}

func (r *Run) harm() (harm, time.Duration) {
	list := []harm{
		{reset: true},
		{silence: true},
		{Impairment: link.Impairment{Delay: r.span(10*time.Millisecond, 300*time.Millisecond)}},
		{Impairment: link.Impairment{StallToTarget: true}},
		{Impairment: link.Impairment{StallFromTarget: true}},
		{Impairment: link.Impairment{StallToTarget: true, StallFromTarget: true}, reset: true},
	}
	return list[r.random.IntN(len(list))], r.span(500*time.Millisecond, 6*time.Second)
}

func (h harm) apply(p *link.Proxy, span time.Duration) {
	if h.reset {
		p.Reset()
	}
	if h.silence {
		p.BlackholeOpen()
	}
	if h.Impairment == (link.Impairment{}) {
		return
	}
	p.SetImpairment(h.Impairment)
	time.Sleep(span)
	p.SetImpairment(link.Impairment{})
}

// serverFault has a server treat its requests badly for a while.
func (r *Run) serverFault() {
	faults := []instance.Fault{
		instance.Shed, instance.Fail, instance.Lose, instance.Cut, instance.Unframed, instance.UnframedCut,
		instance.Extra, instance.ExtraLate, instance.NoStamp, instance.WrongID, instance.Encoded, instance.Garbage, instance.Silent,
	}
	s, f, span := r.world.pick(r.random), faults[r.random.IntN(len(faults))], r.span(500*time.Millisecond, 5*time.Second)
	r.say("%s: %s for %v", s.ID, f, span)
	r.during(s.ID, func() {
		s.SetFault(f)
		time.Sleep(span)
		s.SetFault(instance.None)
	})
}

// reuseAfter is how long an address rests before a server of another pool may get it.
const reuseAfter = 2 * time.Second

// crash ends a server at once; its entry lapses later, and another one comes, cold, under its name, at its address or anew.
func (r *Run) crash() {
	s := r.world.pick(r.random)
	lapse, away := r.span(time.Second, 4*time.Second), r.span(0, 3*time.Second)
	how := []string{"new", "same name", "reused address"}[r.random.IntN(3)]
	r.say("crash %s, entry ends after %v, %s after %v", s.ID, lapse, how, away)
	if !r.world.take(s) {
		return
	}
	r.during(s.ID, func() {
		s.Close()
		time.Sleep(lapse)
		r.must(r.world.site.Put(serverKey(s), nil))
		time.Sleep(away)
		switch how {
		case "same name":
			r.start(s.Pool, s.Domain, s.ID, s.link)
		case "reused address":
			time.Sleep(max(0, reuseAfter-lapse-away))
			r.start(otherPool(s.Pool), s.Domain, "", s.link)
			r.start(s.Pool, s.Domain, "", nil)
		default:
			r.start(s.Pool, s.Domain, "", nil)
		}
	})
}

func otherPool(pool string) string {
	if pool == pools[0] {
		return pools[1]
	}
	return pools[0]
}

func (r *Run) start(pool, domain, id string, at *link.Proxy) {
	_, err := r.world.startServer(pool, domain, id, coldSpan, at)
	r.must(err)
}

// drainSpan is how long a leaving server still serves, and a little longer.
const drainSpan = 3 * time.Second

// drain has a server leave, with or without saying so, and another take its place.
func (r *Run) drain() {
	s, says := r.world.pick(r.random), r.random.IntN(3) > 0
	r.say("%s leaves, and says so: %v", s.ID, says)
	if !r.world.take(s) {
		return
	}
	r.group.Go(func() {
		r.start(s.Pool, s.Domain, "", nil)
		s.SetDraining()
		if says {
			r.must(r.world.register(s))
		} else {
			r.must(r.world.site.Put(serverKey(s), nil))
		}
		r.world.ledger.ServerLeft(s.known)
		time.Sleep(drainSpan)
		r.must(r.world.site.Put(serverKey(s), nil))
		s.Close()
	})
}

// evacuate empties a domain for a while.
func (r *Run) evacuate() {
	domain, span := domains[r.random.IntN(len(domains))], r.span(2*time.Second, 9*time.Second)
	r.say("evacuate %s for %v", domain, span)
	r.group.Go(func() {
		r.must(r.world.site.Put("op/evacuate/"+domain, []byte("{}")))
		r.world.ledger.SetEvacuated(domain, true)
		time.Sleep(span)
		r.world.ledger.SetEvacuated(domain, false)
		r.must(r.world.site.Put("op/evacuate/"+domain, nil))
	})
}

// configure writes new configurations, several in quick succession for a storm.
func (r *Run) configure(times int) {
	r.say("%d new configurations", times)
	r.group.Go(func() {
		for range times {
			r.must(r.world.configure())
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// burst has many callers more come for a while.
func (r *Run) burst() {
	span := r.span(time.Second, 4*time.Second)
	r.say("a burst of %d callers for %v", 2*r.Callers, span)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	group := r.startCallers(ctx, "burst", 2*r.Callers, callerPause/4)
	r.group.Go(func() {
		defer cancel()
		group.Wait()
	})
}
