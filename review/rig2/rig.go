package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// rig is a small deployment: a store with a configuration, servers, and daemons that run as processes.
type rig struct {
	program string
	trouble bool
	started time.Time
	folder  string
	site    *site.Site
	stop    context.CancelFunc
	ctx     context.Context

	// starting is held while a process is started, and from the end of the rig on.
	starting sync.Mutex

	mu      sync.Mutex
	out     *os.File
	daemons []*daemon
	servers []*server
}

// daemon is one process of the program under review.
type daemon struct {
	name      string
	front     string
	directory string
	ready     string
	peer      string
	zone      string
	file      string
	cmd       *exec.Cmd
	ended     chan struct{}
}

func newRig(program, record string, trouble bool) (*rig, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, trouble: trouble, started: time.Now(), folder: folder, out: out}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r, nil
}

// record writes a line with the time since the start.
func (r *rig) record(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes that the rig started. None is started after it.
func (r *rig) close() {
	r.stop()
	r.starting.Lock()
	defer r.starting.Unlock()
	for _, d := range r.daemons {
		d.kill()
	}
	for _, s := range r.servers {
		s.close()
	}
	if r.site != nil {
		r.site.Close()
	}
	_ = os.RemoveAll(r.folder)
	_ = r.out.Close()
}

// regions is the region of each zone.
var regions = map[string]string{"lima-a": "lima", "lima-b": "lima"}

// start starts the store with a configuration, registers the servers and starts daemons in the zones.
func (r *rig) start(routes []site.Route, servers []*server, zones ...string) error {
	r.site = &site.Site{Regions: regions, Routes: routes}
	if err := r.site.Run(); err != nil {
		return err
	}
	for _, s := range servers {
		if err := s.listen(r); err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	if err := r.register(); err != nil {
		return err
	}
	go r.heartbeats()
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&d.front, &d.directory, &d.ready, &d.peer} {
			free, err := port.Free()
			if err != nil {
				return err
			}
			*address = free
		}
		r.daemons = append(r.daemons, d)
	}
	for _, d := range r.daemons {
		if err := r.startDaemon(d); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// heartbeatInterval is the time between two entries of a server in the store.
const heartbeatInterval = 1500 * time.Millisecond

func (r *rig) heartbeats() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
			_ = r.register()
		}
	}
}

func (r *rig) register() error {
	for _, s := range r.servers {
		if err := r.site.Put("servers/"+s.id, s.entry()); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a process with settings like those of the template.
func (r *rig) startDaemon(d *daemon) error {
	r.starting.Lock()
	defer r.starting.Unlock()
	if err := r.ctx.Err(); err != nil {
		return err
	}
	var seeds []string
	for _, o := range r.daemons {
		seeds = append(seeds, o.peer)
	}
	metrics, err := port.Free()
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(map[string]any{
		"host": d.name, "domain": d.zone, "region": regions[d.zone], "caller": d.front, "peer": d.peer, "store": r.site.URL(), "peers": seeds,
		"steering": map[string]any{
			"ready": d.ready, "directory": d.directory, "metrics": metrics, "domains": regions, "ratio": 0.2, "slack": 64, "window": "10s",
			"grace": "6s", "memory": 284, "gc": 25,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	d.file = filepath.Join(r.folder, d.name+".json")
	if err := os.WriteFile(d.file, data, 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command(r.program, "serve")
	d.cmd.Env = append(os.Environ(), "DAISYGAP_CONFIG="+d.file)
	log, err := os.Create(filepath.Join(r.folder, d.name+".log"))
	if err != nil {
		return err
	}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	d.ended = make(chan struct{})
	go func() {
		err := d.cmd.Wait()
		r.record("%s ended: %v", d.name, err)
		close(d.ended)
	}()
	r.record("%s started, front %s", d.name, d.front)
	return nil
}

// contactWindow is the time after a start from which on a machine counts as in touch, with a margin.
const contactWindow = 4500 * time.Millisecond

// awaitContact waits until all daemons count as in touch.
func (r *rig) awaitContact() {
	time.Sleep(contactWindow)
	r.record("the daemons have run for longer than contact_window")
}

// readyTimeout is the time in which the daemons must become ready.
const readyTimeout = 10 * time.Second

func (r *rig) awaitReady() error {
	for _, d := range r.daemons {
		ready := site.Await(readyTimeout, func() bool {
			res, err := http.Get("http://" + d.ready + "/readiness")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
		if !ready {
			return errors.New(d.name + " isn't ready")
		}
	}
	for _, d := range r.daemons {
		if !site.Await(readyTimeout, func() bool { return r.namesAll(d) }) {
			return fmt.Errorf("the directory of %s doesn't name all daemons", d.name)
		}
	}
	r.record("all daemons are ready, and the directory names them")
	return nil
}

// namesAll reports whether a daemon's directory names all daemons of its zone, to which clients connect.
func (r *rig) namesAll(d *daemon) bool {
	named, err := resolve(d, regions[d.zone], d.zone)
	return err == nil && !slices.ContainsFunc(r.daemons, func(o *daemon) bool { return o.zone == d.zone && !slices.Contains(named, o.front) })
}

func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil || d.ended == nil {
		return
	}
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
}
