package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/store"
)

const (
	// program is what deploy/system.toml builds and runs, relative to the repository.
	program = "target/daisygap"
	// clientHost is the host of every route.
	clientHost = "shop.example"
	// grace and beat are grace_period and heartbeat_interval of a small site.
	grace = 6 * time.Second
	beat  = 1500 * time.Millisecond
)

// zones are the zones of the deployment with their region.
var zones = map[string]string{"n-1": "north", "n-2": "north"}

// rig is one small deployment: the store, servers and daemons.
type rig struct {
	started time.Time
	folder  string
	store   *store.Server
	http    *httptest.Server
	version uint64

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	servers []*server
	closed  bool
}

// newRig starts the store and the record.
func newRig(record string) (*rig, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run in the repository after its build: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &store.Server{Memory: store.NewMemory(&daisygap.Clock{})}
	return &rig{started: time.Now(), folder: folder, record: file, store: s, http: httptest.NewServer(s.Handler())}, nil
}

// note writes one line to the record, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)
}

// close ends all processes and servers, and keeps the daemons' logs out of the repository.
func (r *rig) close() {
	r.mu.Lock()
	closed, daemons, servers := r.closed, r.daemons, r.servers
	r.closed = true
	r.mu.Unlock()
	if closed {
		return
	}
	for _, d := range daemons {
		d.kill()
	}
	for _, s := range servers {
		s.leave()
	}
	r.http.CloseClientConnections()
	r.http.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		r.note("logs are in the temporary folder")
		fmt.Fprintln(os.Stderr, r.folder)
	}
}

// put writes a key of the store regardless of its revision.
func (r *rig) put(key string, value []byte) error {
	ctx := context.Background()
	for {
		e, err := r.store.Memory.Get(ctx, key)
		if err != nil {
			return err
		}
		if _, err = r.store.Memory.Swap(ctx, key, value, e.Revision, ""); !errors.Is(err, daisygap.ErrConflict) {
			return err
		}
	}
}

// routeRow is one route of the operator's configuration.
type routeRow struct {
	name, prefix, kind, service string
	timeout, target             string
	attempts                    int
}

// configure writes the next version of the configuration, as the operator does.
func (r *rig) configure(routes ...routeRow) error {
	r.version += 3
	services := make(map[string]bool)
	var rows, serviceRows [][]any
	for _, t := range routes {
		services[t.service] = true
		rows = append(rows, []any{t.name, clientHost, t.prefix, t.kind, t.timeout, t.target, 1, nil, t.attempts, true, []string{}, t.service})
	}
	for s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 390, "h1", false, "3s", 17.0})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", r.version),
		"routes": map[string]any{
			"columns": []string{
				"name", "host", "prefix", "kind", "timeout", "target_latency", "priority", "traffic_split", "max_attempts",
				"session_affinity", "home_regions", "service",
			},
			"rows": rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls", "cold_start", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	})
	if err != nil {
		return err
	}
	if err := r.put("op/config", data); err != nil {
		return err
	}
	r.note("operator: version %d is acknowledged", r.version)
	return nil
}

// daemon is one process of the project.
type daemon struct {
	r      *rig
	name   string
	file   string
	caller string
	ready  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addDaemon starts a daemon with the settings that deploy/settings.json.tmpl gives it.
func (r *rig) addDaemon(name, zone string) (*daemon, error) {
	var addresses [5]string
	for i := range addresses {
		var err error
		if addresses[i], err = port.Free(); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	seeds := []string{}
	for _, d := range r.daemons {
		seeds = append(seeds, d.peer())
	}
	r.mu.Unlock()
	d := &daemon{r: r, name: name, caller: addresses[0], ready: addresses[2], file: filepath.Join(r.folder, name+".json")}
	data, err := json.MarshalIndent(map[string]any{
		"host": name, "domain": zone, "region": zones[zone], "caller": addresses[0], "peer": addresses[1],
		"store": r.http.URL, "peers": seeds,
		"steering": map[string]any{
			"ready": addresses[2], "directory": addresses[3], "metrics": addresses[4], "domains": zones,
			"ratio": 0.2, "slack": 62, "window": "10s", "grace": "6s", "gc": 25,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.file, data, 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	return d, d.start()
}

// peer returns the daemon's own address for other daemons, from its settings.
func (d *daemon) peer() string {
	var s struct{ Peer string }
	data, err := os.ReadFile(d.file)
	if err != nil || json.Unmarshal(data, &s) != nil {
		return ""
	}
	return s.Peer
}

// start starts the process with the run line of deploy/system.toml.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYGAP_CONFIG=" + d.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.r.note("platform: %s is started", d.name)
	go func() {
		err := cmd.Wait()
		d.r.note("platform: %s has ended: %v", d.name, err)
		close(exited)
	}()
	return nil
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// awaitReady waits until the platform's readiness check of every daemon passes.
func (r *rig) awaitReady(daemons ...*daemon) error {
	for _, d := range daemons {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			res, err := http.Get("http://" + d.ready + "/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after 15 s", d.name)
			}
		}
		r.note("platform: %s is ready", d.name)
	}
	return nil
}
