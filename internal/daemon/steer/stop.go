package steer

import "github.com/daisygap/daisygap"

const (
	// stopTimeFactor is the time that a request must have in a stopping daemon, relative to the usual time of its route.
	stopTimeFactor = 3
	// stoppingRetryAfter is the Retry-After of a stopping daemon's refusals. It is short because another host can serve the request.
	stoppingRetryAfter = daisygap.Millis(100)
)

// endsBeforeStop reports whether the request can be answered before a stopping daemon ends: by its deadline, or because requests of
// its route usually take a fraction of what is left.
func (e *exchange) endsBeforeStop(now daisygap.Millis) bool {
	if !e.d.stopping.Load() {
		return true
	}
	stop := daisygap.Millis(e.d.stopTime.Load())
	if e.deadline <= stop {
		return true
	}
	pool := e.d.fleet.Pool(e.pool)
	if pool == nil {
		return false
	}
	usual, known := pool.UsualTime(e.route.Name)
	return known && now+stopTimeFactor*usual <= stop
}
