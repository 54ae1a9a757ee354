package entry_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/fleet"
	"github.com/daisygap/daisygap/internal/standin/store"
)

const (
	// changeInterval gives 64,000 configuration changes a day.
	changeInterval  = 1_350 * time.Millisecond
	measureDuration = 15 * time.Second
)

// controlFleet starts daemons without traffic. Each region has two domains, and each domain has the same number of
// members and one upstream.
func controlFleet(b *testing.B, domains, members, blocks int) *fleet.Fleet {
	c := map[string]any{
		"lookup": map[string]any{"ttl": 3000, "answers": 3, "step": 0.2, "site": "s"},
		"kinds": map[string]any{"k": map[string]any{
			"rank": "normal", "repeat": true, "target": 1000, "most": 2000, "queue": 100, "match": []any{map[string]any{"path": "/"}},
		}},
		"groups": map[string]any{"g": map[string]any{"kinds": []string{"k"}, "eject": 0.5}},
		"keys":   map[string]any{"k1": "MDEyMzQ1Njc4OWFiY2RlZg=="}, "sign": "k1",
		"sites": map[string]any{"s": map[string]any{"region": "r0"}},
	}
	regions, list, upstreams, prefixes := map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}
	for i := range domains {
		region := fmt.Sprint("r", i/2)
		regions[region] = map[string]any{}
		list[fmt.Sprintf("d%02d", i)] = map[string]any{"region": region}
		upstreams[fmt.Sprintf("u%02d", i)] = map[string]any{
			"group": "g", "domain": fmt.Sprintf("d%02d", i), "address": fmt.Sprintf("10.0.0.%d:1", i), "slots": 2 * members, "connections": 400,
		}
	}
	for i := range blocks {
		prefixes[fmt.Sprintf("11.%d.%d.0/24", i>>8&255, i&255)] = "s"
	}
	c["regions"], c["domains"], c["upstreams"], c["blocks"] = regions, list, upstreams, prefixes
	document, err := json.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	f := &fleet.Fleet{Document: document, Hosts: fleet.HostsOf(document, members), Seed: 1}
	if err := f.Run(); err != nil {
		b.Fatal(err)
	}
	if err := f.AwaitReady(60 * time.Second); err != nil {
		b.Fatal(err)
	}
	return f
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkControl measures the control plane at several sizes while the configuration changes at the planned rate. Run it
// with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ domains, members int }{{2, 5}, {4, 10}, {8, 20}, {2, 28}, {40, 2}, {86, 1}} {
		b.Run(fmt.Sprintf("domains=%d/members=%d", size.domains, size.members), func(b *testing.B) {
			f := controlFleet(b, size.domains, size.members, 100)
			defer f.Close()
			for b.Loop() {
				measureControl(b, f)
			}
		})
	}
}

func measureControl(b *testing.B, f *fleet.Fleet) {
	time.Sleep(3 * time.Second)
	bytesBefore, cpuBefore, countsBefore, start := f.ControlBytes(), cpuTime(), f.Store.Memory.Counts(), time.Now()
	latencies := commitBlockChanges(b, f, measureDuration)
	duration := time.Since(start).Seconds()
	nodes := float64(len(f.Nodes()))
	cpu := (cpuTime() - cpuBefore).Seconds()
	total, most := 0.0, 0.0
	for name, n := range f.ControlBytes() {
		rate := float64(n-bytesBefore[name]) / duration
		total += rate
		most = max(most, rate)
	}
	counts := f.Store.Memory.Counts()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(total/nodes, "B/s/daemon")
	b.ReportMetric(most, "B/s/busiest")
	b.ReportMetric(100*cpu/duration/nodes, "%core/daemon")
	b.ReportMetric(float64(mem.HeapAlloc)/nodes/1e6, "MB/daemon")
	b.ReportMetric(float64(counts.Reads-countsBefore.Reads+counts.Watches-countsBefore.Watches)/duration, "reads/s")
	b.ReportMetric(float64(counts.Writes-countsBefore.Writes)/duration, "writes/s")
	b.ReportMetric(float64(counts.Waiting), "watches")
	b.ReportMetric(latencies[len(latencies)/2], "force-p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100], "force-p99-ms")
}

// commitBlockChanges commits changes at the planned rate. It returns the sorted times, in milliseconds, from each commit
// until each daemon had it.
func commitBlockChanges(b *testing.B, f *fleet.Fleet, duration time.Duration) []float64 {
	var all []float64
	nodes := f.Nodes()
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		next := time.Now().Add(changeInterval)
		n := nodes[i%len(nodes)]
		merge := fmt.Sprintf(`{"blocks":{"11.0.%d.0/24":"s"}}`, i)
		start := time.Now()
		version, err := n.Daemon.Commit(b.Context(), n.Daemon.Version(), daisygap.Patch{ID: fmt.Sprint("change-", i), Merge: json.RawMessage(merge)})
		if err != nil {
			b.Logf("change %d: %v", i, err)
			continue
		}
		all = append(all, propagationTimes(b, nodes, version, start)...)
		time.Sleep(time.Until(next))
	}
	slices.Sort(all)
	return all
}

func propagationTimes(b *testing.B, nodes []*fleet.Node, version uint64, start time.Time) []float64 {
	var times []float64
	have := make([]bool, len(nodes))
	for len(times) < len(nodes) {
		if time.Since(start) > 20*time.Second {
			b.Fatalf("version %d reached %d of %d daemons", version, len(times), len(nodes))
		}
		for i, n := range nodes {
			if !have[i] && n.Daemon.Version() >= version {
				have[i] = true
				times = append(times, float64(time.Since(start).Microseconds())/1000)
			}
		}
		time.Sleep(time.Millisecond)
	}
	return times
}

// BenchmarkStoreRecovery makes the store unreachable for 86 leaseholders for longer than every lease, and reports the
// highest calls per second after it is back.
func BenchmarkStoreRecovery(b *testing.B) {
	for b.Loop() {
		f := controlFleet(b, 86, 1, 100)
		f.Store.SetFaults(store.Faults{Down: true})
		time.Sleep(f.Timing.MemberLease.Duration() + 4*time.Second)
		f.Store.SetFaults(store.Faults{})
		reads, writes := busiestSecond(f, 20)
		b.ReportMetric(reads, "reads/s-most")
		b.ReportMetric(writes, "writes/s-most")
		f.Close()
	}
}

// BenchmarkTakeOver kills leaseholders and reports the time until another daemon of the domain holds the lease.
func BenchmarkTakeOver(b *testing.B) {
	for b.Loop() {
		f := controlFleet(b, 12, 3, 100)
		var times []float64
		for i := range 12 {
			domain := fmt.Sprintf("d%02d", i)
			old := leaseholderOf(f, domain)
			f.Kill(old.Settings.Host)
			killed := time.Now()
			_ = fleet.Until(20*time.Second, func() error {
				if leaseholderOf(f, domain, old) == nil {
					return fmt.Errorf("nobody holds the lease of %s", domain)
				}
				return nil
			})
			times = append(times, float64(time.Since(killed).Milliseconds()))
		}
		slices.Sort(times)
		b.ReportMetric(times[len(times)/2], "p50-ms")
		b.ReportMetric(times[len(times)-1], "most-ms")
		f.Close()
	}
}

func busiestSecond(f *fleet.Fleet, seconds int) (reads, writes float64) {
	before := f.Store.Memory.Counts()
	for range seconds {
		time.Sleep(time.Second)
		now := f.Store.Memory.Counts()
		reads = max(reads, float64(now.Reads+now.Watches-before.Reads-before.Watches))
		writes = max(writes, float64(now.Writes-before.Writes))
		before = now
	}
	return reads, writes
}
