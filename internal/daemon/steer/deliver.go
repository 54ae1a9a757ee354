package steer

import (
	"io"
	"net/http"
	"strconv"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// deliver writes a buffered response to the caller.
func (e *exchange) deliver(a *attempt) {
	h := e.w.Header()
	forward.CopyHeaders(h, a.res.Header)
	e.d.Protocol.HideUpstreamHead(h)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if e.in.Method != http.MethodHead && a.res.StatusCode != http.StatusNoContent && a.res.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	e.beforeResponse()
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		e.logEnd("caller left", a)
		return
	}
	e.logDelivered(a)
}

// stream copies a large response to the caller. When the upstream breaks off, it aborts the caller's connection, so that a
// truncated response never looks complete.
func (e *exchange) stream(a *attempt) {
	defer a.cancel()
	defer func() { _ = a.res.Body.Close() }()
	h := e.w.Header()
	forward.CopyHeaders(h, a.res.Header)
	e.d.Protocol.HideUpstreamHead(h)
	e.beforeResponse()
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		return
	}
	// The rest of the response may take long.
	a.body = nil
	e.held.give(&e.d.memory, a.reserved)
	if _, err := io.Copy(e.w, a.res.Body); err != nil {
		a.err = err
		e.abort("answer broke off", a)
	}
	e.logDelivered(a)
}

// refuse responds with an error of the daemon itself, and states whether an upstream may have executed the request.
func (e *exchange) refuse(status int, reason daisygap.Reason, c placement.Choice) {
	h := e.w.Header()
	run := daisygap.NotRun
	if e.possibleRuns > 0 {
		run = daisygap.RunUnknown
	}
	h.Set(daisygap.HeaderReason, string(reason))
	h.Set(daisygap.HeaderRun, string(run))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		e.d.Protocol.WriteRetryAfter(h, max(c.RetryAfter, failureRetryAfter))
	}
	h.Set("Content-Length", "0")
	e.beforeResponse()
	e.w.WriteHeader(status)
	name := ""
	if e.route != nil {
		name = e.route.Name
	}
	countRefusal(reason, name)
	e.logRefusal(status, reason, run, c)
}
