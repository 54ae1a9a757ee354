package steer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

var (
	speedsUneven = metrics.NewCounter(`daisygap_upstream_speed_changes_total{to="uneven"}`)
	speedsEven   = metrics.NewCounter(`daisygap_upstream_speed_changes_total{to="even"}`)
	unevenGauge  atomicGauge
)

// reportSpeeds logs and counts the upstreams that stopped being even with their pool, or are so again, since the last call.
func (d *Daemon) reportSpeeds(pools map[string]*placement.Pool) {
	uneven := 0
	for name, p := range pools {
		uneven += p.UnevenUpstreams()
		for _, c := range p.TakeSpeedChanges() {
			kind := "upstream even"
			if c.Uneven {
				kind = "upstream uneven"
				speedsUneven.Inc()
			} else {
				speedsEven.Inc()
			}
			d.event(kind, kind, func() daisygap.Fields {
				return daisygap.Fields{
					"pool": name, "upstream": c.Upstream, "run": c.StartTime,
					"factor": twoDigits(c.Factor), "weight": twoDigits(c.Weight), "slots": twoDigits(c.UsableSlots),
				}
			})
		}
	}
	unevenGauge.set(uint64(uneven))
}

func twoDigits(x float64) string {
	return fmt.Sprintf("%.2f", x)
}
