package steer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap/internal/standin/instance"
	"github.com/daisygap/daisygap/internal/standin/site"
)

// BenchmarkControl runs the control loops of many daemons without requests, and reports the traffic and CPU use per daemon
// and the load on the store.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{6, 12, 24, 48, 88, 300} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, count)
			}
		})
	}
}

func measureControl(b *testing.B, count int) {
	const seconds = 10
	s := &site.Site{Regions: regions, Routes: routes}
	if err := s.Run(); err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	domains := []string{"n-1", "n-2", "s-1"}
	var peers []string
	for i := range count {
		d, err := s.Start(fmt.Sprintf("host-%d", i), domains[i%len(domains)], peers[:min(len(peers), 3)]...)
		if err != nil {
			b.Fatal(err)
		}
		peers = append(peers, d.Settings.PeerAddress)
	}
	time.Sleep(4 * time.Second)
	calls, sent, cpu := s.Store.Memory.Counts(), peerBytes(b), cpuTime(b)
	for range seconds {
		if err := s.Configure(routes); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	after := s.Store.Memory.Counts()
	each := float64(seconds * count)
	b.ReportMetric((peerBytes(b)-sent)/each, "bytes/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/each, "%core")
	b.ReportMetric(float64(after.Watches+after.Reads-calls.Watches-calls.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Waiting), "watches")
}

// peerBytes returns the total number of bytes that the daemons of this process exchanged.
func peerBytes(b *testing.B) float64 {
	b.Helper()
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	total := 0.0
	for line := range strings.Lines(out.String()) {
		if strings.HasPrefix(line, "daisygap_peer_bytes_total") {
			n, err := strconv.ParseFloat(strings.Fields(line)[1], 64)
			if err != nil {
				b.Fatal(err)
			}
			total += n
		}
	}
	return total
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkServeCaller measures the handling of a request whose server responds immediately.
func BenchmarkServeCaller(b *testing.B) {
	serveCaller(b, &site.Site{Regions: regions, Routes: routes}, "")
}

// BenchmarkServeCustomer measures the same with the key of one of 1,000 customers.
func BenchmarkServeCustomer(b *testing.B) {
	s := &site.Site{Regions: regions, Routes: routes}
	priority := 0
	for i := range 1_000 {
		s.Customers = append(s.Customers, site.Customer{Name: fmt.Sprintf("customer-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}, Priority: &priority})
	}
	serveCaller(b, s, "key-500")
}

func serveCaller(b *testing.B, s *site.Site, key string) {
	b.Helper()
	if err := s.Run(); err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	if err := s.StartServer(&instance.Server{ID: "i", Pool: "stock", Domain: "n-1", Slots: 64, ServiceTime: 0}); err != nil {
		b.Fatal(err)
	}
	d, err := s.Start("host", "n-1")
	if err != nil {
		b.Fatal(err)
	}
	if !site.Await(5*time.Second, d.Listeners.Daemon.Ready) {
		b.Fatal("daemon not ready after 5 s")
	}
	time.Sleep(200 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/reads/1", nil)
		r.Host = site.Host
		r.Header.Set("Request-Id", "a")
		r.Header.Set("Cookie", "Request-Affinity=1")
		if key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		w := httptest.NewRecorder()
		d.Listeners.Daemon.ServeCaller(w, r)
		if w.Code != http.StatusOK {
			b.Fatalf("status %d", w.Code)
		}
	}
}
