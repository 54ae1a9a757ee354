package steer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// hedge is a second copy of a request that is sent if the first one isn't answered in time.
type hedge struct {
	e     *exchange
	first placement.Choice
	// cancelFirst cancels the first copy.
	cancelFirst context.CancelFunc

	mu sync.Mutex
	// firstEnded is set when the first copy has ended, after which no second copy is sent, and firstAnswered if its response is
	// delivered.
	firstEnded    bool
	firstAnswered bool
	// second is the upstream of the second copy, or nil if none was sent, and answer its outcome once ended is closed.
	second *placement.Upstream
	answer *attempt
	ended  chan struct{}
}

// errHedgeTooLarge is the error of a second copy whose response is too large to be buffered.
var errHedgeTooLarge = errors.New("response to a second copy is too large to be buffered")

// sendHedged sends the request to an upstream. If the response takes so long that it may miss the target latency, it sends a
// second copy to another upstream and returns the attempt that was answered first. The other one is canceled when the exchange
// ends.
func (e *exchange) sendHedged(c placement.Choice) *attempt {
	ctx, cancel := context.WithCancel(e.ctx)
	h := &hedge{e: e, first: c, cancelFirst: cancel, ended: make(chan struct{})}
	if delay := e.hedgeDelay(c); delay > 0 {
		timer := time.AfterFunc(delay.Duration(), h.run)
		defer timer.Stop()
	}
	return h.join(e.sendAttempt(ctx, c))
}

// hedgeDelay returns how long to wait before the second copy, or 0 if none is to be sent.
func (e *exchange) hedgeDelay(c placement.Choice) daisygap.Millis {
	pool := e.d.fleet.Pool(e.pool)
	if pool == nil || e.bodyRest != nil || e.alone || e.d.stopping.Load() || e.possibleRuns+1 >= e.route.MaxAttempts {
		return 0
	}
	return pool.HedgeDelay(e.query(e.d.Clock.Now()), c)
}

// run sends the second copy unless the first one has ended.
func (h *hedge) run() {
	c, ok := h.choose()
	if !ok {
		return
	}
	a := h.e.sendAttempt(h.e.ctx, c)
	if a.state == streaming {
		a.discard(errHedgeTooLarge)
		a.cancel()
	}
	h.mu.Lock()
	a.superseded = h.firstAnswered && !a.isSuccess()
	h.answer = a
	if a.isSuccess() && !h.firstEnded {
		h.cancelFirst()
	}
	h.mu.Unlock()
	h.e.d.recordOutcome(h.e, c, a)
	close(h.ended)
}

// choose picks the upstream of the second copy and takes it from the retry budget.
func (h *hedge) choose() (placement.Choice, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, now := h.e, h.e.d.Clock.Now()
	pool := e.d.fleet.Pool(e.pool)
	if h.firstEnded || pool == nil || e.d.stopping.Load() || e.d.crashes.suspect(e.fingerprint, now) || !e.d.budgets.tryWithdraw(e.pool, now) {
		return placement.Choice{}, false
	}
	c, ok := pool.ChooseHedge(e.query(now), h.first, now)
	if !ok {
		return c, false
	}
	h.second = c.Upstream
	countRetry(daisygap.ReasonSlow)
	e.d.event("second copy", "second copy", func() daisygap.Fields {
		f := e.fields(nil)
		f["slow"], f["upstream"], f["load"], f["load_age_ms"], f["took_ms"] = h.first.Upstream.ID, c.Upstream.ID, c.Load, c.ReportAge, now-e.started
		return f
	})
	return c, true
}

// join returns the attempt whose response is to be used, after the first copy has ended.
func (h *hedge) join(first *attempt) *attempt {
	e := h.e
	h.mu.Lock()
	h.firstEnded = true
	h.firstAnswered = first.isSuccess() || first.state == streaming
	second, answer := h.second, h.answer
	h.mu.Unlock()
	first.superseded = answer != nil && answer.isSuccess() && !h.firstAnswered
	e.d.recordOutcome(e, h.first, first)
	e.tried[h.first.Upstream.Address] = true
	e.countAttempt(first.state)
	if second == nil {
		return first
	}
	e.tried[second.Address] = true
	if h.firstAnswered {
		e.countAttempt(outcomeUnknown)
		h.count("first")
		return first
	}
	<-h.ended
	e.countAttempt(h.answer.state)
	if !h.answer.isSuccess() {
		h.count("none")
		return preferredFailure(first, h.answer)
	}
	h.count("second")
	return h.answer
}

// preferredFailure returns the attempt with a response that can be delivered, or else the first one.
func preferredFailure(first, second *attempt) *attempt {
	if first.state != complete && second.state == complete {
		return second
	}
	return first
}

// count records which copy was answered first.
func (h *hedge) count(answered string) {
	if pool := h.e.d.fleet.Pool(h.e.pool); pool != nil {
		pool.RecordHedge(h.e.route.Name, answered == "second")
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_hedges_total{answered=%q}`, answered)).Inc()
}
