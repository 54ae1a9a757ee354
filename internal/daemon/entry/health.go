package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/daisygap/daisygap"
)

const (
	healthInterval = daisygap.Millis(2_000)
	healthTimeout  = 500 * time.Millisecond
	maxHealthBody  = 4 << 10
)

// runHealth polls the health endpoints of the domain's upstreams. Only their drain signal is used, because the rest of
// their health information lags or misleads.
func (d *Daemon) runHealth() {
	for d.pause(d.withJitter(healthInterval)) {
		for _, u := range d.localUpstreams() {
			if d.ctx.Err() != nil {
				return
			}
			if d.isDraining(u.Address) {
				if p := d.pool(u.Group); p != nil {
					p.NoteDrain(u.name)
				}
			}
		}
	}
}

type localUpstream struct {
	name string
	daisygap.Upstream
}

// localUpstreams returns the upstreams of the local domain.
func (d *Daemon) localUpstreams() []localUpstream {
	var list []localUpstream
	for name, u := range d.config().Upstreams {
		if u.Domain == d.Settings.Domain {
			list = append(list, localUpstream{name: name, Upstream: u})
		}
	}
	return list
}

// isDraining asks an upstream's health endpoint whether it is draining.
func (d *Daemon) isDraining(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", http.NoBody)
	if err != nil {
		return false
	}
	res, err := d.Upstream.Send(ctx, req, true)
	if err != nil {
		return false
	}
	defer closeBody(res)
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHealthBody))
	return res.Header.Get(daisygap.HeaderDrain) != ""
}
