package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/port"
	"github.com/daisygap/daisygap/internal/standin/site"
	"github.com/daisygap/daisygap/internal/standin/store"
)

// hostileFiles is the limit on descriptors of a process under test, of which it must leave some free for its own connections.
const (
	hostileFiles    = 400
	maxHostileFiles = hostileFiles - 32
)

// hostileKey is the key of the only customer.
const hostileKey = "key-of-acme"

// hostileTarget is a daemon in a process of its own, beside hostile clients.
type hostileTarget struct {
	caller string
	// others are the addresses that aren't for callers' requests.
	others []string
	// ready is an address and path that responds with 200 when the daemon is ready.
	ready string
	// head is the part of a request's head that makes the daemon accept it.
	head string
	// maxMB bounds the resident memory.
	maxMB int
	env   []string
	// limit is the process's limit on descriptors.
	limit int

	cmd    *exec.Cmd
	exited chan struct{}
	log    string
	mu     sync.Mutex
	peakMB int
	files  int
}

// serveDiscarding starts a server that discards bodies, and answers reads with more bytes than any socket holds.
func serveDiscarding(t *testing.T) string {
	t.Helper()
	chunk := make([]byte, 64<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "s")
		if !strings.HasPrefix(r.URL.Path, "/reads") {
			return
		}
		for range 1 << 10 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := port.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// steeringTarget returns a daemon on the platform with 64 MB. All its routes need a key.
func steeringTarget(t *testing.T) (*hostileTarget, *daisygap.Settings) {
	t.Helper()
	return steeringTargetFor(t, 0)
}

// steeringTargetFor is steeringTarget with another limit on bodies, unless that is 0.
func steeringTargetFor(t *testing.T, maxBody int) (*hostileTarget, *daisygap.Settings) {
	t.Helper()
	s := &site.Site{Regions: map[string]string{"n-1": "north"}, Routes: []site.Route{
		{Name: "reads", Prefix: "/reads/", Kind: "safe", Pool: "stock"},
		{Name: "orders", Prefix: "/orders/", Kind: "unsafe", Pool: "desk"},
	}}
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	entry, err := s.Store.Memory.Get(context.Background(), "op/config")
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		t.Fatal(err)
	}
	document["version"] = "00000064"
	if maxBody > 0 {
		document["limits"].(map[string]any)["max_body_bytes"] = maxBody
	}
	document["tenants"] = map[string]any{"columns": []string{"name", "api_keys"}, "rows": [][]any{{"acme", []string{hostileKey}}}}
	put := func(key string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Put(key, data); err != nil {
			t.Fatal(err)
		}
	}
	put("op/config", document)
	for _, pool := range []string{"stock", "desk"} {
		put("servers/n-1-"+pool, map[string]any{
			"service": pool, "address": serveDiscarding(t), "zone": "n-1", "version": "v1", "slots": 500, "state": "ready",
			"cold_remaining": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	settings := &daisygap.Settings{
		Host: "host-0", Domain: "n-1", Region: "north", StoreAddress: s.URL(), CallerAddress: freeAddress(t), PeerAddress: freeAddress(t),
		LogLevel: "info",
		Steering: &daisygap.SteeringSettings{
			Domains: s.Regions, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: "10s", Grace: "6s", MemoryMB: 64, GCPercent: 25,
			ReadyAddress: freeAddress(t), DirectoryAddress: freeAddress(t), MetricsAddress: freeAddress(t),
		},
	}
	p := settings.Steering
	return &hostileTarget{
		caller: settings.CallerAddress, others: []string{p.ReadyAddress, p.DirectoryAddress, p.MetricsAddress, settings.PeerAddress},
		ready: "http://" + p.ReadyAddress + "/readiness", maxMB: 64, limit: hostileFiles,
		head: "Host: " + site.Host + "\r\nAuthorization: Bearer " + hostileKey + "\r\nDeadline-Milliseconds: 2000\r\n",
	}, settings
}

// entryTarget returns a daemon with domain leases, whose memory is limited by Go's own setting.
func entryTarget(t *testing.T) (*hostileTarget, *daisygap.Settings) {
	t.Helper()
	memory := store.NewMemory(&daisygap.Clock{})
	storeServer := httptest.NewServer((&store.Server{Memory: memory}).Handler())
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	kind := func(prefix string, repeat bool) map[string]any {
		return map[string]any{
			"rank": "urgent", "repeat": repeat, "target": 2000, "most": 2000, "floor": 0.4, "worth": 1, "queue": 100, "retry": 0.1,
			"match": []any{map[string]any{"path": prefix}},
		}
	}
	upstream := func(group string) map[string]any {
		return map[string]any{"group": group, "domain": "north-1", "address": serveDiscarding(t), "slots": 100, "connections": 200}
	}
	group := func(kind string) map[string]any {
		return map[string]any{"kinds": []string{kind}, "warm": 0, "eject": 0.5}
	}
	document, err := json.Marshal(map[string]any{
		"lookup": map[string]any{"ttl": 1000, "answers": 2, "step": 1, "site": "all"}, "regions": map[string]any{"north": map[string]any{"near": []string{}}},
		"domains": map[string]any{"north-1": map[string]any{"region": "north"}}, "links": map[string]any{},
		"kinds":     map[string]any{"orders": kind("/orders", false), "reads": kind("/reads", true)},
		"groups":    map[string]any{"orders": group("orders"), "reads": group("reads")},
		"upstreams": map[string]any{"orders-1": upstream("orders"), "reads-1": upstream("reads")},
		"sites":     map[string]any{"all": map[string]any{"region": "north"}}, "blocks": map[string]any{}, "drains": map[string]any{},
		"keys": map[string]any{"k1": "MDEyMzQ1Njc4OWFiY2RlZg=="}, "sign": "k1",
	})
	if err != nil {
		t.Fatal(err)
	}
	first, err := json.Marshal(daisygap.Patch{Version: 1, ID: "first", Author: "test", Merge: document})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Swap(context.Background(), "config/v/000000000001", first, 0, ""); err != nil {
		t.Fatal(err)
	}
	settings := &daisygap.Settings{
		Host: "a", Domain: "north-1", Region: "north", StoreAddress: storeServer.URL, Token: "secret", LogLevel: "warning", Linger: 100,
		CallerAddress: freeAddress(t), ForwardAddress: freeAddress(t), PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
	}
	return &hostileTarget{
		caller: settings.CallerAddress, others: []string{settings.ForwardAddress, settings.PeerAddress, settings.OperatorAddress},
		ready: "http://" + settings.OperatorAddress + "/ready", maxMB: 96, limit: hostileFiles, env: []string{"GOMEMLIMIT=64MiB", "GOGC=25"},
		head: "Host: a.example\r\nDaisygap-Deadline: 2000\r\n",
	}, settings
}

// start runs the program and waits until it is ready.
func (h *hostileTarget) start(t *testing.T, binary string, settings *daisygap.Settings) {
	t.Helper()
	folder := t.TempDir()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "host.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	h.log = filepath.Join(folder, "log")
	log, err := os.Create(h.log)
	if err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --settings "$1"`, h.limit), binary, file)
	h.cmd.Stdout, h.cmd.Stderr, h.cmd.Env = log, log, append(os.Environ(), h.env...)
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		<-h.exited
	})
	if !site.Await(readyTimeout, func() bool {
		status, _ := h.get(h.ready)
		return status == http.StatusOK
	}) {
		t.Fatalf("the daemon isn't ready after %v: %s", readyTimeout, h.logTail())
	}
}

func (h *hostileTarget) logTail() string {
	data, _ := os.ReadFile(h.log)
	return string(data[max(0, len(data)-3000):])
}

// get sends one GET on a connection of its own.
func (h *hostileTarget) get(url string) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}

// order sends one ordinary request on a connection of its own, and returns the status of the response or 0.
func (h *hostileTarget) order(id string) int {
	conn, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\n%sRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", h.head, id)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// measure updates the highest resident memory and number of descriptors, and returns false if the process has ended.
func (h *hostileTarget) measure() bool {
	folder := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return false
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ = strings.Cut(line, "kB")
	kb, _ := strconv.Atoi(strings.TrimSpace(line))
	files, _ := os.ReadDir(folder + "fd")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peakMB, h.files = max(h.peakMB, kb>>10), max(h.files, len(files))
	select {
	case <-h.exited:
		return false
	default:
		return kb > 0
	}
}
