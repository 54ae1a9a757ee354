package steer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

const testKey = "key-of-acme-0123456789"

var customers = []site.Customer{
	{Name: "acme", Keys: []string{testKey, "shared-key"}},
	{Name: "south only", Keys: []string{"south-key", "shared-key"}, Homes: []string{"south"}},
	{Name: "nowhere", Keys: []string{"nowhere-key"}, Homes: []string{"north"}},
}

var keyedRoutes = append(routes[:len(routes):len(routes)], site.Route{Name: "open", Prefix: "/open/", Kind: "safe", Pool: "stock", Public: true})

// headerLog records the headers of the requests that reached servers.
type headerLog struct {
	mu      sync.Mutex
	headers map[string][]http.Header
}

func (l *headerLog) add(a instance.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headers[a.ID] = append(l.headers[a.ID], a.Header)
}

func (l *headerLog) of(id string) []http.Header {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.headers[id]
}

// startKeyed starts a site with customers, whose servers record the headers of all arrivals.
func startKeyed(t *testing.T, perPool int, domains ...string) (*testSite, *headerLog) {
	t.Helper()
	ts := newSite(t, &site.Site{Regions: regions, Routes: keyedRoutes, Customers: customers})
	log := &headerLog{headers: make(map[string][]http.Header)}
	for domain := range regions {
		for _, pool := range []string{"stock", "desk"} {
			for i := range perPool {
				s := &instance.Server{ID: fmt.Sprintf("%s-%s-%d", domain, pool, i), Pool: pool, Domain: domain, Slots: 6, ServiceTime: 5, OnArrival: log.add}
				ts.must(ts.StartServer(s))
				ts.servers[s.ID] = s
			}
		}
	}
	ts.startDaemons(domains...)
	return ts, log
}

// sendKeyed sends a request with the header lines as they are, on a new connection.
func (ts *testSite) sendKeyed(d *site.Daemon, method, path string, lines ...string) result {
	ts.t.Helper()
	conn, err := net.Dial("tcp", d.Settings.CallerAddress)
	ts.must(err)
	defer func() { _ = conn.Close() }()
	return ts.sendOn(conn, method, path, lines...)
}

func (ts *testSite) sendOn(conn net.Conn, method, path string, lines ...string) result {
	ts.t.Helper()
	id := fmt.Sprintf("request-%d", requests.Add(1))
	ts.must(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 2000\r\nCookie: Request-Affinity=%s\r\n%s\r\n",
		method, path, site.Host, id, path, strings.Join(append(lines, ""), "\r\n"))
	ts.must(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return result{id: id, broken: true}
	}
	_ = res.Body.Close()
	return result{id: id, status: res.StatusCode, header: res.Header}
}

// TestKeyCases checks the table of key cases in testdata/keys.golden.
func TestKeyCases(t *testing.T) {
	ts, log := startKeyed(t, 1, "n-1")
	cases := []struct {
		name, path string
		lines      []string
	}{
		{"known key", "/reads/1", []string{"Authorization: Bearer " + testKey}},
		{"scheme in lower case", "/reads/1", []string{"Authorization: bearer " + testKey}},
		{"scheme in upper case", "/reads/1", []string{"AUTHORIZATION: BEARER " + testKey}},
		{"other scheme", "/reads/1", []string{"Authorization: Basic " + testKey}},
		{"no scheme", "/reads/1", []string{"Authorization: " + testKey}},
		{"scheme alone", "/reads/1", []string{"Authorization: Bearer"}},
		{"empty key", "/reads/1", []string{"Authorization: Bearer "}},
		{"empty header", "/reads/1", []string{"Authorization:"}},
		{"no header", "/reads/1", nil},
		{"unknown key", "/reads/1", []string{"Authorization: Bearer unknown"}},
		{"key in other case", "/reads/1", []string{"Authorization: Bearer " + strings.ToUpper(testKey)}},
		{"two headers, same key", "/reads/1", []string{"Authorization: Bearer " + testKey, "Authorization: Bearer " + testKey}},
		{"two headers, one known", "/reads/1", []string{"Authorization: Bearer " + testKey, "Authorization: Bearer unknown"}},
		{"two keys in one header", "/reads/1", []string{"Authorization: Bearer " + testKey + ", Bearer " + testKey}},
		{"spaces between", "/reads/1", []string{"Authorization: Bearer   " + testKey}},
		{"spaces around", "/reads/1", []string{"Authorization:   Bearer " + testKey + "   "}},
		{"space in the key", "/reads/1", []string{"Authorization: Bearer key-of-acme -0123456789"}},
		{"tab between", "/reads/1", []string{"Authorization: Bearer\t" + testKey}},
		{"space and tab between", "/reads/1", []string{"Authorization: Bearer \t" + testKey}},
		{"tab after", "/reads/1", []string{"Authorization: Bearer " + testKey + "\t"}},
		{"key of 8 KB", "/reads/1", []string{"Authorization: Bearer " + strings.Repeat("k", 8<<10)}},
		{"key of 20 KB", "/reads/1", []string{"Authorization: Bearer " + strings.Repeat("k", 20<<10)}},
		{"key that two customers have", "/reads/1", []string{"Authorization: Bearer shared-key"}},
		{"caller names a tenant", "/reads/1", []string{"Tenant: other", "Authorization: Bearer " + testKey}},
		{"tenant without a key", "/reads/1", []string{"Tenant: acme"}},
		{"connection header names the tenant", "/reads/1", []string{"Connection: tenant, authorization", "Authorization: Bearer " + testKey}},
		{"public, known key", "/open/1", []string{"Authorization: Bearer " + testKey}},
		{"public, unknown key", "/open/1", []string{"Authorization: Bearer unknown", "Tenant: acme"}},
		{"public, no key", "/open/1", nil},
		{"region of the customer", "/reads/1", []string{"Authorization: Bearer south-key"}},
		{"same region of route and customer", "/home/1", []string{"Authorization: Bearer south-key"}},
		{"no common region", "/home/1", []string{"Authorization: Bearer nowhere-key"}},
		{"unknown route", "/none/1", nil},
	}
	var out strings.Builder
	for _, tt := range cases {
		got := ts.sendKeyed(ts.daemons[0], http.MethodGet, tt.path, tt.lines...)
		fmt.Fprintf(&out, "%-36s %-10s %d", tt.name, tt.path, got.status)
		if reason := got.header.Get("Daisygap-Reason"); reason != "" {
			fmt.Fprintf(&out, " %s", reason)
		}
		for _, h := range log.of(got.id) {
			fmt.Fprintf(&out, " Tenant %q Authorization %q", h["Tenant"], h["Authorization"])
		}
		out.WriteByte('\n')
	}
	const golden = "testdata/keys.golden"
	if *update {
		ts.must(os.WriteFile(golden, []byte(out.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	ts.must(err)
	if diff := cmp.Diff(string(want), out.String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestKeyReachesNoUpstream guards against a caller's key or a caller's Tenant header in a later attempt or a second copy of a request.
func TestKeyReachesNoUpstream(t *testing.T) {
	ts, log := startKeyed(t, 2, "n-1", "s-1")
	header := []string{"Authorization: Bearer " + testKey, "Tenant: caller"}
	for i := range 200 {
		ts.sendKeyed(ts.daemons[i%2], http.MethodGet, fmt.Sprintf("/reads/%d", i), header...)
	}
	for _, fault := range []instance.Fault{instance.None, instance.Lose, instance.Shed, instance.Fail, instance.Silent} {
		ts.setFault(fault, "stock")
		for i := range 4 {
			ts.sendKeyed(ts.daemons[i%2], http.MethodGet, fmt.Sprintf("/reads/%s/%d", fault, i), header...)
		}
		ts.setFault(fault, "desk")
		for i := range 2 {
			ts.sendKeyed(ts.daemons[i%2], http.MethodPost, fmt.Sprintf("/orders/%s/%d", fault, i), append(header, "Content-Length: 0")...)
		}
		ts.setFault(instance.None, "stock")
		ts.setFault(instance.None, "desk")
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	several := 0
	for id, list := range log.headers {
		if len(list) > 1 {
			several++
		}
		for _, h := range list {
			if diff := cmp.Diff([]string{"acme"}, h["Tenant"]); diff != "" {
				t.Errorf("%s: Tenant (-want +got):\n%s", id, diff)
			}
			for name, values := range h {
				if strings.Contains(strings.Join(values, " "), testKey) || name == "Authorization" {
					t.Errorf("%s: the header %s at an upstream has the key", id, name)
				}
			}
		}
	}
	if several == 0 {
		t.Error("no request reached two upstreams, so that retries and second copies weren't tested")
	}
}

// TestRequestsKeepHeadersWithoutCustomers guards against a deployment without customers whose callers' own Authorization and Tenant headers
// are lost.
func TestRequestsKeepHeadersWithoutCustomers(t *testing.T) {
	ts := newSite(t, &site.Site{Regions: regions, Routes: routes})
	log := &headerLog{headers: make(map[string][]http.Header)}
	ts.must(ts.StartServer(&instance.Server{ID: "a", Pool: "stock", Domain: "n-1", Slots: 6, OnArrival: log.add}))
	ts.startDaemons("n-1")
	got := ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1", "Authorization: Bearer x", "Tenant: caller")
	list := log.of(got.id)
	if got.status != http.StatusOK || len(list) != 1 || list[0].Get("Authorization") != "Bearer x" || list[0].Get("Tenant") != "caller" {
		t.Errorf("status %d, headers at the server %v", got.status, list)
	}
}

// TestNoConfigurationIsNot401 guards against a 401, which callers don't retry, from a daemon that knows no customers yet.
func TestNoConfigurationIsNot401(t *testing.T) {
	ts := newSite(t, &site.Site{Regions: regions, Routes: keyedRoutes, Customers: customers})
	ts.must(ts.Put("op/config", nil))
	d, err := ts.Start("host-0", "n-1")
	ts.must(err)
	for _, lines := range [][]string{nil, {"Authorization: Bearer " + testKey}} {
		got := ts.sendKeyed(d, http.MethodGet, "/reads/1", lines...)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
		}
	}
}

// TestRevokedKeyOnOpenConnection guards against a connection that keeps the customers of the time when it was opened.
func TestRevokedKeyOnOpenConnection(t *testing.T) {
	ts, _ := startKeyed(t, 1, "n-1")
	conn, err := net.Dial("tcp", ts.daemons[0].Settings.CallerAddress)
	ts.must(err)
	defer func() { _ = conn.Close() }()
	key := "Authorization: Bearer " + testKey
	if got := ts.sendOn(conn, http.MethodGet, "/reads/1", key); got.status != http.StatusOK {
		t.Fatalf("status %d before the revocation", got.status)
	}
	ts.Customers = []site.Customer{{Name: "acme", Keys: []string{"new-key"}}}
	ts.must(ts.Configure(keyedRoutes))
	if !site.Await(3*time.Second, func() bool { return ts.sendOn(conn, http.MethodGet, "/reads/1", key).status == http.StatusUnauthorized }) {
		t.Fatal("the key is served 3 s after its revocation")
	}
	if got := ts.sendOn(conn, http.MethodGet, "/reads/1", "Authorization: Bearer new-key"); got.status != http.StatusOK {
		t.Errorf("status %d for the new key on the same connection", got.status)
	}
}

// TestCustomerIsLoggedWithoutKey guards against a log from which the cause of a refusal can't be told, and against keys in it.
func TestCustomerIsLoggedWithoutKey(t *testing.T) {
	ts, log := startWithLog(t, "n-1", "stock")
	ts.Customers = customers
	ts.must(ts.Configure(keyedRoutes))
	ts.await("the customers", func() bool {
		return ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1").status == http.StatusUnauthorized
	})
	// The refusals so far have used up the log lines of this second.
	time.Sleep(1100 * time.Millisecond)
	known := ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1", "Authorization: Bearer "+testKey)
	missing := ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1")
	unknown := ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1", "Authorization: Bearer unknown-key")
	forbidden := ts.sendKeyed(ts.daemons[0], http.MethodGet, "/home/1", "Authorization: Bearer nowhere-key")
	for id, want := range map[string][]string{
		known.id:     {"answer", "customer=acme", "status=200"},
		missing.id:   {"refusal", "reason=unknown_key", "key_sent=false", "status=401", "route=reads"},
		unknown.id:   {"refusal", "reason=unknown_key", "key_sent=true", "status=401"},
		forbidden.id: {"refusal", "reason=forbidden_region", "customer=nowhere", "status=503"},
	} {
		out := trace(t, id, log.text())
		for _, part := range want {
			if !strings.Contains(out, part) {
				t.Errorf("%s: the trace lacks %q:\n%s", id, part, out)
			}
		}
	}
	for _, secret := range []string{testKey, "unknown-key", "nowhere-key", "shared-key"} {
		if strings.Contains(log.text(), secret) {
			t.Errorf("the log contains the key %q", secret)
		}
	}
	if !strings.Contains(log.text(), `"msg":"shared key"`) {
		t.Error("the key that two customers have isn't logged")
	}
}

// TestCustomerChangesTheRoute guards against a customer whose regions or priority have no effect, and counts its requests by name.
func TestCustomerChangesTheRoute(t *testing.T) {
	priority := 47
	before := make(map[string]float64)
	for _, name := range []string{
		`daisygap_request_seconds_count{rank="47",repeat="true"}`, `daisygap_customer_requests_total{customer="southern"}`,
		`daisygap_customer_refusals_total{customer="southern"}`, `daisygap_customer_requests_total{customer="urgent \"x\""}`,
	} {
		before[name] = metricOf(t, name)
	}
	ts := newSite(t, &site.Site{Regions: regions, Routes: keyedRoutes, Customers: []site.Customer{
		{Name: "southern", Keys: []string{"southern-key"}, Homes: []string{"south", "west"}},
		{Name: `urgent "x"`, Keys: []string{"urgent-key"}, Priority: &priority},
	}})
	for domain := range regions {
		ts.startServer(domain+"-stock", "stock", domain)
	}
	ts.startDaemons("n-1")
	ids := make(map[string]bool)
	for i := range 20 {
		got := ts.sendKeyed(ts.daemons[0], http.MethodGet, fmt.Sprintf("/reads/%d", i), "Authorization: Bearer southern-key")
		if got.status != http.StatusOK {
			t.Fatalf("status %d, want 200", got.status)
		}
		ids[got.id] = true
	}
	for _, s := range ts.servers {
		for _, run := range s.Runs() {
			if ids[run.ID] && s.Domain != "s-1" {
				t.Errorf("a request of a customer of the south ran in %s", s.Domain)
			}
		}
	}
	ts.sendKeyed(ts.daemons[0], http.MethodGet, "/reads/1", "Authorization: Bearer urgent-key")
	for name, want := range map[string]float64{
		`daisygap_request_seconds_count{rank="47",repeat="true"}`: 1, `daisygap_customer_requests_total{customer="southern"}`: 20,
		`daisygap_customer_refusals_total{customer="southern"}`: 0, `daisygap_customer_requests_total{customer="urgent \"x\""}`: 1,
	} {
		if got := metricOf(t, name) - before[name]; got != want {
			t.Errorf("%s grew by %v, want %v", name, got, want)
		}
	}
}

// metricOf returns the value of a metric of this process, or 0 if there is none.
func metricOf(t *testing.T, name string) float64 {
	t.Helper()
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	for line := range strings.Lines(out.String()) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	return 0
}
