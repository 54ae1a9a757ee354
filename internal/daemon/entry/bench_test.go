package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisygap/daisygap/internal/standin/fleet"
)

// serveBytes responds to every request with the same bytes.
func serveBytes(body []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
}

// startSingleDaemon starts a single daemon in front of one upstream at the given address.
func startSingleDaemon(b *testing.B, address string) *fleet.Node {
	document, err := json.Marshal(map[string]any{
		"lookup":  map[string]any{"ttl": 1000, "answers": 1, "step": 1, "site": "s"},
		"regions": map[string]any{"r": map[string]any{}}, "domains": map[string]any{"d": map[string]any{"region": "r"}},
		"kinds": map[string]any{"k": map[string]any{
			"rank": "normal", "repeat": true, "target": 5000, "most": 5000, "queue": 1000, "match": []any{map[string]any{"path": "/"}},
		}},
		"groups":    map[string]any{"g": map[string]any{"kinds": []string{"k"}, "eject": 0.5}},
		"upstreams": map[string]any{}, "sites": map[string]any{"s": map[string]any{"region": "r"}},
		"keys": map[string]any{"k1": "MDEyMzQ1Njc4OWFiY2RlZg=="}, "sign": "k1",
	})
	if err != nil {
		b.Fatal(err)
	}
	f := &fleet.Fleet{Document: document, Hosts: []fleet.Host{{Name: "a", Domain: "d"}}, Seed: 1}
	if err := f.Run(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	if err := f.AwaitReady(20 * time.Second); err != nil {
		b.Fatal(err)
	}
	merge := fmt.Sprintf(`{"upstreams":{"u":{"group":"g","domain":"d","address":%q,"slots":400,"connections":400}}}`, address)
	if _, err := operatorClient(f.Nodes()[0]).Patch(b.Context(), 1, patchOf(merge)); err != nil {
		b.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	return f.Nodes()[0]
}

// BenchmarkRequest compares, in one run, requests sent directly, through httputil.ReverseProxy, and through a daemon.
func BenchmarkRequest(b *testing.B) {
	up := httptest.NewServer(serveBytes(make([]byte, 1_000)))
	b.Cleanup(up.Close)
	target, err := url.Parse(up.URL)
	if err != nil {
		b.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) }}
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	front := httptest.NewServer(proxy)
	b.Cleanup(front.Close)
	n := startSingleDaemon(b, target.Host)
	for _, way := range []struct{ name, url string }{
		{"direct", up.URL},
		{"reverseproxy", front.URL},
		{"daisygap", "http://" + n.Settings.CallerAddress},
		{"reverseproxy-again", front.URL},
		{"daisygap-again", "http://" + n.Settings.CallerAddress},
	} {
		b.Run(way.name, func(b *testing.B) { benchmarkGet(b, way.url+"/x") })
	}
}

// benchmarkGet sends GET requests on a fixed number of connections, and reports latencies beside the throughput.
func benchmarkGet(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	defer client.CloseIdleConnections()
	all := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		own := hdrhistogram.New(1, 10_000_000, 3)
		for p.Next() {
			start := time.Now()
			res, err := client.Get(address)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode != http.StatusOK {
				b.Errorf("status %d", res.StatusCode)
				return
			}
			_ = own.RecordValue(time.Since(start).Microseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		all.Merge(own)
	})
	b.ReportMetric(float64(all.ValueAtPercentile(50)), "p50-µs")
	b.ReportMetric(float64(all.ValueAtPercentile(99)), "p99-µs")
}

// BenchmarkLookupHTTP compares look-ups with a plain handler that writes the same bytes.
func BenchmarkLookupHTTP(b *testing.B) {
	up := httptest.NewServer(serveBytes(nil))
	b.Cleanup(up.Close)
	n := startSingleDaemon(b, up.Listener.Addr().String())
	path := "/v1/lookup?kind=k&caller=10.1.2.3"
	res, err := http.Get("http://" + n.Settings.CallerAddress + path)
	if err != nil {
		b.Fatal(err)
	}
	body, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	bare := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = bare.Serve(l) }()
	b.Cleanup(func() { _ = bare.Close() })
	for _, way := range []struct{ name, url string }{
		{"bare", "http://" + l.Addr().String()},
		{"daisygap", "http://" + n.Settings.CallerAddress},
		{"bare-again", "http://" + l.Addr().String()},
		{"daisygap-again", "http://" + n.Settings.CallerAddress},
	} {
		b.Run(way.name, func(b *testing.B) { benchmarkGet(b, way.url+path) })
	}
}
