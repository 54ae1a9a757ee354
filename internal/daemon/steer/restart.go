package steer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

// statusTimeout bounds one status check.
const statusTimeout = daisygap.Millis(1_000)

var (
	statusChecks     = metrics.NewCounter(`daisygap_status_checks_total`)
	endedByRefusal   = metrics.NewCounter(`daisygap_ended_processes_total{source="refused"}`)
	earlyEnds        = metrics.NewCounter(`daisygap_early_ends_total`)
	restartsReported = metrics.NewCounter(`daisygap_ended_processes_total{source="peer"}`)
)

// startStatusCheck starts a status check of an upstream.
func (d *Daemon) startStatusCheck(u *placement.Upstream) {
	go d.checkStatus(u)
}

// checkStatus asks an upstream how long it is still cold.
func (d *Daemon) checkStatus(u *placement.Upstream) {
	statusChecks.Inc()
	s := d.requestStatus(u)
	if d.ctx.Err() != nil {
		return
	}
	r := d.fleet.Checked(u, s, d.Clock.Now())
	if r.News {
		d.wakeNewsPush()
	}
	if r.News || r.Failures > 0 {
		d.event("upstream checked", "upstream checked", func() daisygap.Fields {
			return daisygap.Fields{
				"upstream": u.ID, "run": u.StartTime, "reached": s.Reached, "instance": s.Instance, "cold_known": s.KnowsCold,
				"cold_ms": s.Cold, "failures": r.Failures,
			}
		})
	}
}

func (d *Daemon) requestStatus(u *placement.Upstream) placement.StatusCheck {
	ctx, cancel := context.WithTimeout(d.ctx, statusTimeout.Duration())
	defer cancel()
	p := d.fleet.Pool(u.Pool)
	if p == nil || p.HealthPath() == "" {
		err := d.Upstream.Probe(ctx, u.Address)
		return placement.StatusCheck{Reached: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: u.Address, Path: p.HealthPath()},
		Header: http.Header{"User-Agent": {""}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		// A late response to an earlier request on the connection would leave the one to this check to the next request.
		Close: true,
	}
	res, err := d.Upstream.Send(ctx, r, false)
	if err != nil {
		reached := !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrInvalidStatus)
		return placement.StatusCheck{Reached: reached, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer func() { _ = res.Body.Close() }()
	head := d.Protocol.ReadStatusHead(res)
	return placement.StatusCheck{Reached: true, Instance: head.Instance, KnowsCold: head.KnowsCold, Cold: head.Cold}
}

// noteRefused records that a connection to a process was refused, and sends that to the other daemons.
func (d *Daemon) noteRefused(p daisygap.Process) {
	if !d.fleet.NoteEnded(p, d.Clock.Now()) {
		return
	}
	endedByRefusal.Inc()
	d.event("upstream ended", "upstream ended", func() daisygap.Fields {
		return daisygap.Fields{"upstream": p.ID, "run": p.StartTime}
	})
	d.wakeNewsPush()
}

// noteEarlyEnd records that an upstream ended an idle connection, as a process does that ends.
func (d *Daemon) noteEarlyEnd(address string) {
	if !d.fleet.NoteEarlyEnd(address, d.Clock.Now()) {
		return
	}
	earlyEnds.Inc()
	d.event("upstream doubted", "upstream doubted", func() daisygap.Fields { return daisygap.Fields{"address": address} })
}

// mergeRestarts merges another daemon's restart reports. In a large fleet it forwards what is new.
func (d *Daemon) mergeRestarts(list []daisygap.RestartReport) {
	if len(list) == 0 || !d.fleet.MergeRestarts(list, d.Clock.Now()) {
		return
	}
	restartsReported.Inc()
	if !d.isSmallFleet() {
		d.wakeNewsPush()
	}
}
