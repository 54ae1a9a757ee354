package entry

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/receipt"
	"github.com/daisygap/daisygap/internal/policy/retry"
)

// minRetryAfter is the shortest wait that a refusal advises, in milliseconds.
const minRetryAfter = daisygap.Millis(50)

var statusCodes = map[daisygap.Reason]int{
	daisygap.ReasonBadRequest:      http.StatusBadRequest,
	daisygap.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	daisygap.ReasonUnknownKind:     http.StatusNotFound,
	daisygap.ReasonNotAllowed:      http.StatusForbidden,
	daisygap.ReasonDuplicate:       http.StatusConflict,
	daisygap.ReasonPoisoned:        http.StatusUnprocessableEntity,
	daisygap.ReasonQueueFull:       http.StatusTooManyRequests,
	daisygap.ReasonUpstreamFailed:  http.StatusBadGateway,
	daisygap.ReasonUnreachable:     http.StatusBadGateway,
	daisygap.ReasonExpired:         http.StatusGatewayTimeout,
	daisygap.ReasonDeadline:        http.StatusServiceUnavailable,
	daisygap.ReasonMemoryFull:      http.StatusServiceUnavailable,
	daisygap.ReasonNoConfiguration: http.StatusServiceUnavailable,
}

// refusal returns a refusal with the fields that are common to all refusals of this daemon.
func (d *Daemon) refusal(r *daisygap.Request, reason daisygap.Reason, run daisygap.RunState, m daisygap.RefusalMetrics) *daisygap.Refusal {
	wait := max(m.Wait, minRetryAfter)
	return &daisygap.Refusal{
		Reason: reason, Run: run, ID: r.ID, Kind: r.Kind, Rank: r.Rank,
		Host: d.Settings.Host, Domain: d.Settings.Domain, Version: d.Version(),
		Time: d.Clock.Wall(), RetryAfter: wait, Metrics: m,
	}
}

type refusalBody struct {
	*daisygap.Refusal
	Text    string `json:"text,omitempty"`
	Receipt string `json:"receipt,omitempty"`
}

// refuse counts and writes a refusal.
func (d *Daemon) refuse(w http.ResponseWriter, r *daisygap.Refusal, text string) {
	d.countRefusal(r)
	d.writeRefusal(w, r, text)
}

// countRefusal adds a refusal to the totals. Only the daemon that received the request from its caller counts it.
func (d *Daemon) countRefusal(r *daisygap.Refusal) {
	d.totals.add(r)
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_refusals_total{reason=%q,kind=%q,rank=%q}`, r.Reason, r.Kind, r.Rank)).Inc()
}

// writeRefusal writes a refusal with its receipt as the response.
func (d *Daemon) writeRefusal(w http.ResponseWriter, r *daisygap.Refusal, text string) {
	status, ok := statusCodes[r.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	signed := d.signReceipt(r)
	h := w.Header()
	h.Set(daisygap.HeaderReason, string(r.Reason))
	h.Set(daisygap.HeaderRun, string(r.Run))
	h.Set(daisygap.HeaderReceipt, signed)
	h.Set(daisygap.HeaderID, r.ID)
	h.Set("Retry-After", strconv.FormatInt(int64(r.RetryAfter+999)/1000, 10))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(refusalBody{Refusal: r, Text: text, Receipt: signed}); err != nil {
		d.Log.With("caller").Debugf("cannot write refusal: %v", err)
	}
}

func (d *Daemon) signReceipt(r *daisygap.Refusal) string {
	c := d.config()
	key, err := base64.StdEncoding.DecodeString(c.Keys[c.SigningKey])
	if err != nil || len(key) == 0 {
		return ""
	}
	return receipt.Sign(r, c.SigningKey, key)
}

// Explain verifies a receipt with the current signing keys; its errors are those of the receipt package.
func (d *Daemon) Explain(text string) (*daisygap.Refusal, error) {
	keys := make(map[string][]byte)
	for name, encoded := range d.config().Keys {
		if key, err := base64.StdEncoding.DecodeString(encoded); err == nil {
			keys[name] = key
		}
	}
	return receipt.Verify(text, keys)
}

// budgets holds the retry budget of each kind.
type budgets struct {
	mu     sync.Mutex
	byKind map[string]*retry.Budget
}

func (b *budgets) set(c *daisygap.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*retry.Budget, len(c.Kinds))
	for name, k := range c.Kinds {
		next[name] = b.byKind[name]
		if next[name] == nil {
			next[name] = &retry.Budget{}
		}
		next[name].Ratio = k.RetryRatio
	}
	b.byKind = next
}

func (b *budgets) recordRequest(kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.byKind[kind]; budget != nil {
		budget.Deposit()
	}
}

func (b *budgets) take(kind string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byKind[kind]
	return budget != nil && budget.TryWithdraw()
}
