package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	// tenantRate and tenantBurst are the allowance of the tenant, and usualRate is what its clients send: the site's quota_x is 1.6.
	tenantRate  = 20.0
	tenantBurst = 20.0
	usualRate   = tenantRate / 1.6
	// floodFactor is how many times as much they send in a flood, which lasts floodTime.
	floodFactor = 6
	floodTime   = 8 * time.Second
	floods      = 4
	// rollLead is the time from the start of a flood to the first stop, and rollGap that between two stops.
	rollLead = 500 * time.Millisecond
	rollGap  = time.Second
	// restartDelay is the time after which the platform restarts a process that has exited.
	restartDelay = 300 * time.Millisecond
	// pause is the time between the last restart after a flood and the next flood.
	pause         = 5 * time.Second
	tenantClients = 60
	// pulseGap is the time between two requests of a client in a flood, in which all together send usualRate x floodFactor.
	pulseGap     = 800 * time.Millisecond
	tenantBudget = 1500 * time.Millisecond
	tenantKey    = "key-of-acme"
	// tenantZone is the zone of all clients of the tenant.
	tenantZone = "lima-a"
)

// The bound of QUOTA: in any quotaWindow, (rate x window + burst) x (1 + overshoot) + slack requests.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// rolledAllowance stops all daemons in turn while one tenant sends more than its allowance. The rule QUOTA is broken if the servers run more
// of its requests in some window than the allowance permits.
func rolledAllowance(r *rig) (bool, error) {
	r.customers = []site.Customer{{Name: "acme", Keys: []string{tenantKey}, Rate: tenantRate, Burst: tenantBurst}}
	routes := []site.Route{{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "read-api", Attempts: 1}}
	servers := newServers("read-api", 4, 60, 60, 5*time.Millisecond)
	if err := r.start(routes, servers, "lima-a", "lima-b", "lima-a", "lima-b"); err != nil {
		return false, err
	}
	var flooding atomic.Bool
	var clients sync.WaitGroup
	done := make(chan struct{})
	pulses := make([]chan struct{}, tenantClients)
	for i := range pulses {
		pulses[i] = make(chan struct{}, 1)
		clients.Go(func() { r.sendAsTenant(i, pulses[i], &flooding, done) })
	}
	time.Sleep(pause)
	var err error
	for range floods {
		if err = r.floodWhileRolling(pulses, &flooding); err != nil {
			break
		}
		time.Sleep(pause)
	}
	close(done)
	clients.Wait()
	if err != nil {
		return false, err
	}
	return r.judgeAllowance(), nil
}

// floodWhileRolling has the clients send a flood, all at the same moments, and stops all daemons in turn meanwhile.
func (r *rig) floodWhileRolling(pulses []chan struct{}, flooding *atomic.Bool) error {
	r.record("a flood begins")
	flooding.Store(true)
	end := time.After(floodTime)
	ended := make(chan struct{})
	go sendPulses(pulses, ended)
	failed := make(chan error, len(r.daemons))
	if r.trouble {
		time.Sleep(rollLead)
		for i, d := range r.daemons {
			go func() {
				time.Sleep(time.Duration(i) * rollGap)
				failed <- r.stopAndRestart(d)
			}()
		}
	}
	<-end
	close(ended)
	flooding.Store(false)
	r.record("the flood ends")
	if r.trouble {
		for range r.daemons {
			if err := <-failed; err != nil {
				return err
			}
		}
	}
	return nil
}

// sendPulses triggers a request of each client at the same moments, so often that all together send the flood's rate.
func sendPulses(pulses []chan struct{}, ended <-chan struct{}) {
	ticker := time.NewTicker(pulseGap)
	defer ticker.Stop()
	for {
		for _, p := range pulses {
			select {
			case p <- struct{}{}:
			default:
			}
		}
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

// stopAndRestart sends SIGTERM to a daemon and starts it again once it has exited.
func (r *rig) stopAndRestart(d *daemon) error {
	r.record("SIGTERM to %s", d.name)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-d.ended
	time.Sleep(restartDelay)
	return r.startDaemon(d)
}

// sendAsTenant sends requests of the tenant on a kept connection until done is closed: one at each pulse, and others spread over the time
// between floods. It goes to another daemon if one closes the connection.
func (r *rig) sendAsTenant(number int, pulses <-chan struct{}, flooding *atomic.Bool, done <-chan struct{}) {
	conn := (*tenantConn)(nil)
	for n := 0; ; n++ {
		usual := time.After(time.Duration(rand.ExpFloat64() * tenantClients / usualRate * float64(time.Second)))
		select {
		case <-done:
			return
		case <-pulses:
		case <-usual:
			if flooding.Load() {
				continue
			}
		}
		if conn == nil {
			conn = r.openAsTenant()
		}
		if conn == nil {
			continue
		}
		id := fmt.Sprintf("t%d-%d", number, n)
		a := conn.get(id)
		r.record("%s answered %s: %s", conn.daemon, id, a.short())
		if a.err != nil || a.closing {
			conn.close()
			conn = nil
		}
	}
}

// tenantConn is a connection of a client of the tenant to a daemon.
type tenantConn struct {
	*client
	daemon string
}

// openAsTenant asks the directory of a daemon, one of the client's zone first, and opens a connection to one of the daemons that it names,
// picked at random without those that fail. It returns nil if there is none.
func (r *rig) openAsTenant() *tenantConn {
	for _, d := range slices.Concat(r.daemonsOf(tenantZone, true), r.daemonsOf(tenantZone, false)) {
		addresses, err := resolve(d, regions[tenantZone], tenantZone)
		if err != nil {
			continue
		}
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses {
			if c, err := dial(address); err == nil {
				return &tenantConn{c, r.nameOf(address)}
			}
		}
	}
	return nil
}

// daemonsOf returns the daemons in a zone, or those outside of it, in random order.
func (r *rig) daemonsOf(zone string, inside bool) []*daemon {
	list := slices.DeleteFunc(slices.Clone(r.daemons), func(d *daemon) bool { return (d.zone == zone) != inside })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (r *rig) nameOf(address string) string {
	for _, d := range r.daemons {
		if d.front == address {
			return d.name
		}
	}
	return address
}

func (c *tenantConn) get(id string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(tenantBudget + 200*time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "GET /reads/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Milliseconds: %d\r\n\r\n",
		site.Host, id, tenantKey, tenantBudget.Milliseconds())
	if err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return answer{status: res.StatusCode, stamp: res.Header.Get("Response-Stamp"), closing: res.Close, err: err}
}

// judgeAllowance compares the requests that servers ran in each window with the bound.
func (r *rig) judgeAllowance() bool {
	var runs []time.Time
	for _, s := range r.servers {
		s.mu.Lock()
		for _, run := range s.runs {
			runs = append(runs, run.at)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(runs, time.Time.Compare)
	most, first := 0, 0
	var end time.Time
	for i := range runs {
		for runs[i].Sub(runs[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, end = n, runs[i]
		}
	}
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	r.record("servers ran %d requests of the tenant, at most %d in %v, up to %.1f s; allowed are %.0f", len(runs), most, quotaWindow, end.Sub(r.started).Seconds(), bound)
	return float64(most) > bound
}
