package placement

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// TestUpstreamsGetRequestsBySpeed guards against a slow upstream that gets as many requests as the others, so that its queue is full
// while others are idle.
func TestUpstreamsGetRequestsBySpeed(t *testing.T) {
	factors := []float64{2, 1, 1, 0.5}
	refused, late, served := make(map[bool]int), make(map[bool]float64), make([]float64, 4)
	var slow, fast float64
	for seed := range uint64(6) {
		for _, blind := range []bool{true, false} {
			tr := &speedTrial{daemons: 12, upstreams: 4, objects: 40, rate: 100, blind: blind, seed: seed}
			tr.factor = func(i, _ int, _ daisygap.Millis) float64 { return factors[i] }
			tr.tick = func(now daisygap.Millis) {
				if now > 20_000 && now <= 20_500 {
					tr.reset()
				}
			}
			tr.run(60)
			refused[blind] += tr.refused
			late[blind] = max(late[blind], percentile(tr.times, 0.99))
			if !blind {
				slow, fast = slow+tr.speedOf(0, 0).factor/6, fast+tr.speedOf(0, 3).factor/6
				for i, n := range tr.served {
					served[i] += float64(n) / (6 * 40 * tr.rate)
				}
				if tr.inForce(1, isUneven)+tr.inForce(2, isUneven) > 0.2 {
					t.Error("even upstreams count as uneven")
				}
			}
		}
	}
	t.Logf("factors %.2f and %.2f, parts of the requests %.2f, refused %v, 99th percentiles %v", slow, fast, served, refused, late)
	if slow < 1.4 || slow > 2.2 || fast < 0.45 || fast > 0.7 {
		t.Errorf("factors %.2f and %.2f, want about 2 and 0.5", slow, fast)
	}
	if 3*refused[false] > 2*refused[true] || late[false] > late[true] {
		t.Errorf("refused %v, 99th percentiles %v, want two thirds of the refusals and no later responses with the speeds", refused, late)
	}
}

// slowsUnderLoad is the factor of an upstream that slows down from half of its slots on, among even ones.
func slowsUnderLoad(i, running int, _ daisygap.Millis) float64 {
	if i == 0 && running > 2 {
		return 2.5
	}
	return 1
}

// TestSlowingUnderLoadLimitsSlots guards against an upstream that is filled although it slows down from half of its slots on, and against
// the judgment that it is slow at any load.
func TestSlowingUnderLoadLimitsSlots(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 3, 4), nil, 1)
	p := f.Pool("p")
	respond := func(running int, now daisygap.Millis) {
		for i, u := range p.upstreams {
			u.inFlight++
			ms := daisygap.Millis(100 * slowsUnderLoad(i, running, now))
			p.Done(Choice{Upstream: u, isOwner: true, Load: float64(running - 1)}, "r", Outcome{Result: Answered, ResponseTime: ms, Load: &daisygap.LoadReport{Running: running, Slots: 4}}, now)
		}
	}
	now := daisygap.Millis(100)
	for ; now <= 15_000; now += 100 {
		respond(1+3*int(now/100%2), now)
		if now%TickInterval == 0 {
			p.Tick(now)
		}
	}
	u, even := p.upstreams[0], p.upstreams[1]
	u.inFlight, even.inFlight = 3, 3
	t.Logf("usable slots %.1f, factor %.2f, wait %.0f ms", u.effectiveSlots(), u.speed.factor, u.wait(now, 100))
	if u.effectiveSlots() > 2.5 || u.speed.factor != 1 || u.wait(now, 100) <= even.wait(now, 100) || isUneven(even.speed) {
		t.Errorf("usable slots %.1f and factor %.2f, want about 2 and 1; wait %.0f ms, want more than the %.0f ms of an even upstream",
			u.effectiveSlots(), u.speed.factor, u.wait(now, 100), even.wait(now, 100))
	}
	for ; u.effectiveSlots() < 4 && now <= 60_000; now += 500 {
		respond(1, now)
		p.Tick(now)
	}
	if u.effectiveSlots() < 4 {
		t.Errorf("usable slots %.1f although nothing is known of high loads", u.effectiveSlots())
	}
}

// TestSlowingUnderLoadHarmsNoOthers guards against judgments of the other upstreams, and against more refusals than without the speeds.
func TestSlowingUnderLoadHarmsNoOthers(t *testing.T) {
	refused := make(map[bool]int)
	limited, wrong := 0.0, 0.0
	for seed := range uint64(6) {
		for _, blind := range []bool{true, false} {
			tr := &speedTrial{daemons: 12, upstreams: 4, objects: 40, rate: 80, seed: seed, blind: blind, factor: slowsUnderLoad}
			tr.tick = func(now daisygap.Millis) {
				if now > 20_000 {
					limited += tr.inForce(0, func(s speed) bool { return s.slots < 0.9 }) / (6 * 80)
					wrong += (tr.inForce(1, isUneven) + tr.inForce(2, isUneven) + tr.inForce(3, isUneven)) / (6 * 80)
				}
			}
			tr.run(60)
			refused[blind] += tr.refused
		}
	}
	t.Logf("slots limited in %.2f of the time, wrong judgments %.3f, refused %v", limited, wrong, refused)
	if wrong > 0.02 || float64(refused[false]) > 1.05*float64(refused[true]) {
		t.Errorf("wrong judgments %.3f, want at most 0.02; refused %v, want no more than without the speeds", wrong, refused)
	}
}

// gradient is a concurrency limiter's view of one upstream at one daemon, for comparison with the shared estimate.
type gradient struct {
	short, long, least float64
	leastAt            daisygap.Millis
}

func (g *gradient) observe(ms float64, now daisygap.Millis) {
	if g.short == 0 {
		g.short, g.long = ms, ms
	}
	g.short += 0.33 * (ms - g.short)
	g.long += 0.02 * (ms - g.long)
	if g.least == 0 || ms < g.least || now-g.leastAt > 10_000 {
		g.least, g.leastAt = ms, now
	}
}

// byMean is the gradient of Netflix's concurrency limits with a tolerance of 1.5, and byMinimum that of Vegas with the minimum of BBR.
func (g *gradient) byMean() float64 { return min(1, 1.5*g.long/max(1, g.short)) }

func (g *gradient) byMinimum() float64 { return g.least / max(1, g.short) }

// TestStepIsFollowedUnderNoise guards against noise that passes for slowness, a slow upstream that is noticed late or only by some daemons,
// flapping, and an upstream that stays without requests after it has recovered.
func TestStepIsFollowedUnderNoise(t *testing.T) {
	const began, ended, end = 20_000, 40_000, 70
	for _, alone := range []bool{false, true} {
		tr := &speedTrial{daemons: 65, upstreams: 44, objects: 440, rate: 528, noise: true, alone: alone, seed: 5}
		tr.factor = func(i, _ int, now daisygap.Millis) float64 {
			if i == 0 && now > began && now < ended {
				return 2
			}
			return 1
		}
		gradients := make([][]gradient, tr.daemons)
		for d := range gradients {
			gradients[d] = make([]gradient, tr.upstreams)
		}
		tr.response = func(d, i int, hit bool, ms float64, now daisygap.Millis) {
			if !hit {
				ms *= float64(speedHit) / speedMiss // as if the limiter knew it
			}
			gradients[d][i].observe(ms, now)
		}
		var wrong, wrongMean, wrongMinimum, samples, late float64
		var noticed, forgot daisygap.Millis
		lowest, seenByMean := 1.0, 0.0
		tr.tick = func(now daisygap.Millis) {
			slow := tr.inForce(0, isSlower)
			switch {
			case now < began:
			case noticed == 0 && slow >= 0.9:
				noticed = now - began
			case noticed > 0 && now > began+noticed+2_000 && now < ended:
				late += (1 - slow) / float64((ended-began-noticed-2_000)/TickInterval)
			case now > ended && forgot == 0 && slow <= 0.1:
				forgot = now - ended
			}
			if now > 50_000 && now <= 50_500 {
				tr.reset()
			}
			for d := range tr.daemons {
				if now > began+6_000 && now <= began+6_000+TickInterval && gradients[d][0].byMean() < 0.8 {
					seenByMean += 1 / float64(tr.daemons)
				}
				for i := 1; i < tr.upstreams && now > 10_000; i++ {
					samples++
					s := tr.speedOf(d, i)
					if isUneven(s) {
						wrong++
					}
					lowest = min(lowest, tr.speedOf(d, i).weight)
					if gradients[d][i].byMean() < 0.8 {
						wrongMean++
					}
					if gradients[d][i].byMinimum() < 0.8 {
						wrongMinimum++
					}
				}
			}
		}
		tr.run(end)
		share := float64(tr.served[0]) / (float64(end-50) * tr.rate * tr.ownedPart(0))
		t.Logf("alone %t: noticed after %d ms, forgotten after %d ms, unnoticed later %.3f, wrong %.4f, lowest wrong weight %.2f, share afterwards %.2f, estimates per daemon and second %.0f",
			alone, noticed, forgot, late, wrong/samples, lowest, share, float64(tr.speedsSent)/float64(end*tr.daemons))
		t.Logf("gradient by mean: wrong %.3f, seen by %.2f after 6 s; by minimum: wrong %.3f", wrongMean/samples, seenByMean, wrongMinimum/samples)
		if wrong > 0.005*samples {
			t.Errorf("even upstreams count as uneven in %.4f of the time, want at most 0.005", wrong/samples)
		}
		if alone {
			continue
		}
		if noticed == 0 || noticed > 10_000 || forgot == 0 || forgot > 10_000 || late > 0.05 || share < 0.7 {
			t.Errorf("noticed after %d ms and forgotten after %d ms, want at most 10 s; unnoticed later in %.3f of the time, want at most 0.05; share afterwards %.2f, want at least 0.7",
				noticed, forgot, late, share)
		}
	}
}

// slowPool returns a fleet in which the first of three upstreams takes twice as long as the others, at the time 10000.
func slowPool(tick func(f *Fleet, now daisygap.Millis)) (*Fleet, []daisygap.Instance) {
	f := newFleet("a", "n-1")
	list := instances("n-1", 3, 4)
	for i := range list {
		list[i].StartTime = 1
	}
	f.Replace(limits, list, nil, 1)
	p := f.Pool("p")
	for now := daisygap.Millis(100); now <= 10_000; now += 100 {
		for _, u := range p.upstreams {
			ms := daisygap.Millis(100)
			if u.ID == "n-1-0" {
				ms = 200
			}
			u.inFlight++
			p.Done(Choice{Upstream: u, isOwner: true}, "r", Outcome{Result: Answered, ResponseTime: ms, Load: &daisygap.LoadReport{Running: 1, Slots: 4}}, now)
		}
		if now%TickInterval == 0 {
			tick(f, now)
		}
	}
	return f, list
}

func tickPool(f *Fleet, now daisygap.Millis) { f.Pool("p").Tick(now) }

// TestRestartedProcessIsEven guards against a process that is judged by its predecessor's speed.
func TestRestartedProcessIsEven(t *testing.T) {
	f, list := slowPool(tickPool)
	sent := f.RecentSpeeds(10_000)
	if s := f.Pool("p").upstreams[0].speed; s.factor < 1.5 || s.weight > 0.8 || len(sent) == 0 {
		t.Fatalf("factor %.2f, weight %.2f, %d estimates sent", s.factor, s.weight, len(sent))
	}
	restarted := slices.Clone(list)
	restarted[0].StartTime = 2
	f.Replace(limits, restarted, nil, 10_001)
	if got := f.MergeSpeeds(sent, 10_001); slices.ContainsFunc(got, func(e daisygap.SpeedEstimate) bool { return e.StartTime == 1 && e.Upstream == sent[0].Upstream }) {
		t.Errorf("merged %+v of the ended process", got)
	}
	tickPool(f, 10_500)
	if s := f.Pool("p").upstreams[0].speed; s.factor != 1 || s.weight != 1 {
		t.Errorf("factor %.2f and weight %.2f of a new process", s.factor, s.weight)
	}
}

// TestSpeedExpires guards against an upstream that gets few requests for ever because nothing new is learned of it, and against its
// sudden return.
func TestSpeedExpires(t *testing.T) {
	f, _ := slowPool(tickPool)
	u := f.Pool("p").upstreams[0]
	now := daisygap.Millis(10_500)
	weight := u.speed.weight
	for ; u.speed.factor != 1 || u.speed.weight != 1; now += TickInterval {
		tickPool(f, now)
		if rise := u.speed.weight - weight; rise > 1.01*maxWeightRise {
			t.Errorf("weight rose by %.2f in one tick", rise)
		}
		weight = u.speed.weight
		if now > 30_000 {
			t.Fatalf("factor %.2f and weight %.2f after 20 s", u.speed.factor, u.speed.weight)
		}
	}
	t.Logf("even after %d ms", now-10_000)
	if got := len(f.RecentSpeeds(now + maxSpeedAge)); got != 0 {
		t.Errorf("%d expired estimates sent", got)
	}
}

// TestQueuedResponsesSayLittle guards against queueing that counts as slowness.
func TestQueuedResponsesSayLittle(t *testing.T) {
	f, _ := slowPool(func(f *Fleet, now daisygap.Millis) {
		p := f.Pool("p")
		u := p.upstreams[1]
		for range 5 {
			u.inFlight++
			p.Done(Choice{Upstream: u, isOwner: true}, "r", Outcome{Result: Answered, ResponseTime: 900, Load: &daisygap.LoadReport{Running: 4, Waiting: 3, Slots: 4}}, now)
		}
		p.Tick(now)
	})
	if s := f.Pool("p").upstreams[1].speed; s.factor != 1 {
		t.Errorf("factor %.2f of an upstream with a queue", s.factor)
	}
}

// TestSpeedsCompareLikeWithLike guards against an upstream that counts as slow because it serves objects that it doesn't own, or a slower
// route.
func TestSpeedsCompareLikeWithLike(t *testing.T) {
	f := newFleet("a", "n-1")
	f.Replace(limits, instances("n-1", 3, 4), nil, 1)
	p := f.Pool("p")
	for now := daisygap.Millis(100); now <= 20_000; now += 100 {
		for i, u := range p.upstreams {
			// Each upstream gets mostly requests of another kind.
			owner, route, ms := true, "r", daisygap.Millis(100)
			if kind := (i + int(now/1_000)%10/9) % 3; kind == 1 {
				owner, ms = false, 300
			} else if kind == 2 {
				route, ms = "slow", 700
			}
			u.inFlight++
			p.Done(Choice{Upstream: u, isOwner: owner}, route, Outcome{Result: Answered, ResponseTime: ms}, now)
		}
		if now%TickInterval == 0 {
			p.Tick(now)
			if n := p.UnevenUpstreams(); n > 0 {
				t.Fatalf("%d uneven upstreams after %d ms", n, now)
			}
		}
	}
}

// TestInvalidSpeedsAreIgnored guards against estimates that a faulty daemon sends.
func TestInvalidSpeedsAreIgnored(t *testing.T) {
	f, _ := slowPool(tickPool)
	p := f.Pool("p")
	e := p.estimateOf(p.upstreams[1], 10_000)
	edit := func(change func(e *daisygap.SpeedEstimate)) daisygap.SpeedEstimate {
		c := e
		change(&c)
		return c
	}
	list := []daisygap.SpeedEstimate{
		edit(func(e *daisygap.SpeedEstimate) { e.Upstream++ }),
		edit(func(e *daisygap.SpeedEstimate) { e.StartTime++ }),
		edit(func(e *daisygap.SpeedEstimate) { e.Age = -1 }),
		edit(func(e *daisygap.SpeedEstimate) { e.Age = maxSpeedAge + 1 }),
		edit(func(e *daisygap.SpeedEstimate) { e.Low = 1 << 60 }),
		edit(func(e *daisygap.SpeedEstimate) { e.HighWeight = -1 }),
		edit(func(e *daisygap.SpeedEstimate) { e.LowWeight = 1 << 60 }),
	}
	if diff := cmp.Diff([]daisygap.SpeedEstimate(nil), f.MergeSpeeds(list, 10_000)); diff != "" {
		t.Errorf("merged (-want +got):\n%s", diff)
	}
	if got := len(f.MergeSpeeds(slices.Repeat([]daisygap.SpeedEstimate{e}, 1_000), 10_000)); got != maxSpeedsPerMessage {
		t.Errorf("%d estimates of one message merged, want %d", got, maxSpeedsPerMessage)
	}
}

// TestLimitsComeBeforeSpeed guards against a fast upstream that gets requests which a limit keeps from it.
func TestLimitsComeBeforeSpeed(t *testing.T) {
	limit := map[string]func(u *Upstream){
		"cold":    func(u *Upstream) { u.coldUntil = 20_000 },
		"down":    func(u *Upstream) { u.downUntil = 20_000 },
		"leaving": func(u *Upstream) { u.leaving = true },
		"paused":  func(u *Upstream) { u.pausedUntil = 20_000 },
		"failing": func(u *Upstream) { u.failureRatio = 1 },
		"rate":    func(u *Upstream) { u.limit.named, u.noPermitUntil = true, 20_000 },
	}
	for name, set := range limit {
		f, _ := slowPool(tickPool)
		p := f.Pool("p")
		u := p.upstreams[1]
		u.speed.factor, u.speed.weight, p.speed.uneven, p.speed.weighted = 0.25, maxObjectWeight, true, true
		set(u)
		for object := range uint64(100) {
			c := p.Choose(query(reads(), object), 10_001)
			if c.Upstream == u {
				t.Errorf("%s: object %d went to the limited upstream", name, object)
			}
			p.Done(c, "r", Outcome{Result: Canceled}, 10_001)
		}
	}
}
