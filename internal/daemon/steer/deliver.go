package steer

import (
	"io"
	"net/http"
	"strconv"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// deliver writes a whole answer to the caller.
func (e *exchange) deliver(a *attempt) {
	h := e.w.Header()
	closing := h.Get("Connection")
	forward.CopyHeaders(h, a.res.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil
	}
	if e.in.Method != http.MethodHead && a.res.StatusCode != http.StatusNoContent && a.res.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		e.logEnd("caller left", a)
		return
	}
	e.logDelivered(a)
}

// stream passes a large answer through; one that breaks off ends the caller's connection, so that it never looks whole.
func (e *exchange) stream(a *attempt) {
	defer a.cancel()
	defer func() { _ = a.res.Body.Close() }()
	h := e.w.Header()
	forward.CopyHeaders(h, a.res.Header)
	e.w.WriteHeader(a.res.StatusCode)
	if _, err := e.w.Write(a.body); err != nil {
		return
	}
	if _, err := io.Copy(e.w, a.res.Body); err != nil {
		a.err = err
		e.logEnd("answer broke off", a)
		panic(http.ErrAbortHandler)
	}
	e.logDelivered(a)
}

// refuse answers in the daemon's own name.
func (e *exchange) refuse(status int, reason daisygap.Reason, c placement.Choice) {
	h := e.w.Header()
	run := daisygap.NotRun
	if e.possibleRuns > 0 {
		run = daisygap.RunUnknown
	}
	h.Set(daisygap.HeaderReason, string(reason))
	h.Set(daisygap.HeaderRun, string(run))
	if status == http.StatusServiceUnavailable {
		e.d.Protocol.WriteRetryAfter(h, max(c.RetryAfter, failureRetryAfter))
	}
	h.Set("Content-Length", "0")
	e.w.WriteHeader(status)
	name := ""
	if e.route != nil {
		name = e.route.Name
	}
	countRefusal(reason, name)
	e.logRefusal(status, reason, run, c)
}
