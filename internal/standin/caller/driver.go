package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisygap/daisygap"
)

const (
	maxLatencyMicros = 120_000_000
	lookupTimeout    = 2 * time.Second
	// maxInFlight bounds the requests in flight of one flow.
	maxInFlight = 20_000
	// graceAfterDeadline is how long a caller waits for a response after the request's deadline.
	graceAfterDeadline = 2 * time.Second
)

// ErrResponseMismatch is the error of a request that received the response to another request.
var ErrResponseMismatch = errors.New("response belongs to another request")

// Flow is a stream of requests of one kind, sent at a fixed mean rate for a limited time.
type Flow struct {
	Kind   string
	Rank   daisygap.Rank
	Method string
	Path   string
	Body   string
	// Rate is the mean number of requests per second. Start and End are offsets from the driver's start.
	Rate   float64
	Start  time.Duration
	End    time.Duration
	Target daisygap.Millis
	// Callers is the number of distinct callers that send the requests in turn.
	Callers int
	// Name identifies the flow and starts the request IDs. Flows with the same name share one Row.
	Name string
	// AddressBlock is the first two octets of the callers' IPv4 addresses. If empty, every caller is 127.0.0.1.
	AddressBlock string
}

// Driver generates open-loop load: each request is sent at its scheduled time, however late the responses to earlier
// requests are. Set the exported fields before Run.
type Driver struct {
	// Targets are the caller addresses of the daemons that answer lookups.
	Targets []string
	Flows   []Flow
	Seed    uint64
	// MaxRequests limits the number of requests of all flows together; 0 means no limit.
	MaxRequests int
	// Direct sends every request to the first target, without lookups.
	Direct bool
	// Keys are the customers' keys, which the requests carry in turn.
	Keys []daisygap.CustomerKey
	// WriteHead, if set, writes the headers of a request for daemons on the platform. Requests then go to the targets in turn, without
	// lookups, and name Host.
	WriteHead func(h http.Header, head daisygap.RequestHead)
	Host      string

	client  *http.Client
	mu      sync.Mutex
	stats   map[string]*flowStats
	lookups map[string]cachedLookup
	sent    int
	results []Result
	// KeepResults makes Run record the result of each request for Results.
	KeepResults bool
}

// Result is the outcome of one request.
type Result struct {
	ID      string
	Kind    string
	Status  int
	Reason  daisygap.Reason
	Run     daisygap.RunState
	Receipt string
}

type cachedLookup struct {
	addresses []string
	expiresAt time.Time
}

type flowStats struct {
	Row
	latency *hdrhistogram.Histogram
}

// Row holds the statistics of one flow. Sent is the sum of OnTime, Late, Refused and Failed.
type Row struct {
	Flow    string         `json:"flow"`
	Kind    string         `json:"kind"`
	Rank    daisygap.Rank  `json:"rank"`
	Sent    int            `json:"sent"`
	OnTime  int            `json:"on_time"`
	Late    int            `json:"late"`
	Refused int            `json:"refused"`
	Failed  int            `json:"failed"`
	Reasons map[string]int `json:"reasons,omitempty"`
	// P50, P99 and P999 are latencies in milliseconds, from the scheduled send time to the end of a complete response.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// RefusedP50 is the median time from the scheduled send time to a refusal, in milliseconds.
	RefusedP50     float64 `json:"refused_p50"`
	refusalLatency *hdrhistogram.Histogram
}

// Run sends all flows, waits for the responses and returns one row for each flow name.
func (d *Driver) Run(ctx context.Context) []Row {
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true}}
	defer d.client.CloseIdleConnections()
	d.stats = make(map[string]*flowStats)
	d.lookups = make(map[string]cachedLookup)
	var wg sync.WaitGroup
	start := time.Now()
	for i, flow := range d.Flows {
		d.statsOf(flow)
		random := rand.New(rand.NewPCG(d.Seed, uint64(i)))
		wg.Go(func() { d.runFlow(ctx, start, flow, random) })
	}
	wg.Wait()
	return d.report()
}

// Results returns the result of each request, if KeepResults was set.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.results
}

func (d *Driver) report() []Row {
	var rows []Row
	seen := make(map[string]bool)
	for _, flow := range d.Flows {
		if seen[flow.Name] {
			continue
		}
		seen[flow.Name] = true
		r := d.stats[flow.Name]
		r.P50, r.P99, r.P999 = percentileMillis(r.latency, 50), percentileMillis(r.latency, 99), percentileMillis(r.latency, 99.9)
		r.RefusedP50 = percentileMillis(r.refusalLatency, 50)
		rows = append(rows, r.Row)
	}
	return rows
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func (d *Driver) statsOf(f Flow) *flowStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.stats[f.Name]
	if r == nil {
		r = &flowStats{latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
		r.Row = Row{Flow: f.Name, Kind: f.Kind, Rank: f.Rank, Reasons: make(map[string]int), refusalLatency: hdrhistogram.New(1, maxLatencyMicros, 3)}
		d.stats[f.Name] = r
	}
	return r
}

// runFlow sends the requests of one flow as a Poisson process, with exponentially distributed intervals.
func (d *Driver) runFlow(ctx context.Context, start time.Time, f Flow, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	due := f.Start
	for n := 0; ; n++ {
		due += time.Duration(random.ExpFloat64() / f.Rate * float64(time.Second))
		if due >= f.End || !SleepUntil(ctx, start.Add(due)) || !d.reserveRequest() {
			return
		}
		intended := start.Add(due)
		id := fmt.Sprintf("%s-%d-%d", f.Name, d.Seed, n)
		inFlight <- struct{}{}
		wg.Go(func() {
			d.sendToFirstReachable(ctx, f, n, id, intended)
			<-inFlight
		})
	}
}

// reserveRequest counts one request and reports whether MaxRequests allows it.
func (d *Driver) reserveRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	return d.MaxRequests == 0 || d.sent <= d.MaxRequests
}

// SleepUntil waits until the given time and reports whether the context is still alive.
func SleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendToFirstReachable sends one request and records its outcome. While a host refuses the connection, it tries the
// next host of the lookup.
func (d *Driver) sendToFirstReachable(ctx context.Context, f Flow, n int, id string, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(f.Target.Duration()+graceAfterDeadline))
	defer cancel()
	r := d.statsOf(f)
	addresses := d.entryHosts(ctx, f, n)
	var result Result
	err := errors.New("no entry host found")
	for _, address := range addresses {
		result, err = d.send(ctx, f, n, id, address, intended)
		if !notSent(err) {
			break
		}
	}
	took := time.Since(intended)
	result.ID, result.Kind = id, f.Kind
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.KeepResults {
		d.results = append(d.results, result)
	}
	r.Sent++
	switch {
	case err != nil:
		r.Failed++
		r.Reasons["failed: "+shortError(err)]++
	case result.Reason != "":
		r.Refused++
		r.Reasons[string(result.Reason)]++
		_ = r.refusalLatency.RecordValue(took.Microseconds())
	default:
		_ = r.latency.RecordValue(took.Microseconds())
		if took <= f.Target.Duration() {
			r.OnTime++
		} else {
			r.Late++
		}
	}
}

// notSentError is the error of a request that can safely be sent to another host, because the connection was refused.
type notSentError struct{ error }

func notSent(err error) bool {
	var e notSentError
	return errors.As(err, &e)
}

// shortError returns the innermost message of a wrapped error.
func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// entryHosts returns the addresses of the entry hosts for a request. They come from the lookup cache until the entry
// expires. If every lookup fails, the expired entry is used.
func (d *Driver) entryHosts(ctx context.Context, f Flow, n int) []string {
	if d.Direct {
		return d.Targets[:1]
	}
	if d.WriteHead != nil {
		return []string{d.Targets[n%len(d.Targets)]}
	}
	key := f.Kind + " " + f.AddressBlock + " " + strconv.Itoa(n%max(f.Callers, 1))
	d.mu.Lock()
	c, ok := d.lookups[key]
	d.mu.Unlock()
	if ok && time.Now().Before(c.expiresAt) {
		return c.addresses
	}
	for i := range d.Targets {
		fresh, err := d.lookup(ctx, f, n, d.Targets[(n+i)%len(d.Targets)])
		if err == nil {
			d.mu.Lock()
			d.lookups[key] = fresh
			d.mu.Unlock()
			return fresh.addresses
		}
	}
	return c.addresses
}

// address returns the IP address of the caller that sends request n.
func (f Flow) address(n int) string {
	if f.AddressBlock == "" {
		return "127.0.0.1"
	}
	caller := n % max(f.Callers, 1)
	return fmt.Sprintf("%s.%d.%d", f.AddressBlock, caller%250, 1+caller/250)
}

func (d *Driver) lookup(ctx context.Context, f Flow, n int, target string) (cachedLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := "http://" + target + "/v1/lookup?kind=" + f.Kind + "&caller=" + f.address(n)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return cachedLookup{}, err
	}
	res, err := d.client.Do(req)
	if err != nil {
		return cachedLookup{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var response struct {
		TTL   daisygap.Millis
		Hosts []struct{ Address string }
	}
	if err := json.NewDecoder(res.Body).Decode(&response); err != nil || len(response.Hosts) == 0 {
		return cachedLookup{}, errors.New("lookup returned no entry host")
	}
	c := cachedLookup{expiresAt: time.Now().Add(response.TTL.Duration())}
	for _, h := range response.Hosts {
		c.addresses = append(c.addresses, h.Address)
	}
	return c, nil
}

// writeHead sets the headers of request n of a flow.
func (d *Driver) writeHead(req *http.Request, f Flow, n int, id string, remaining daisygap.Millis) {
	var key daisygap.CustomerKey
	if len(d.Keys) > 0 {
		key = d.Keys[n%len(d.Keys)]
	}
	if d.WriteHead != nil {
		req.Host = d.Host
		d.WriteHead(req.Header, daisygap.RequestHead{ID: id, Timeout: remaining, HasTimeout: true, Key: key})
		return
	}
	req.Header.Set(daisygap.HeaderID, id)
	req.Header.Set(daisygap.HeaderCaller, f.address(n))
	req.Header.Set(daisygap.HeaderDeadline, strconv.FormatInt(int64(remaining), 10))
	if f.Method == http.MethodPost {
		req.Header.Set(daisygap.HeaderKey, id)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+string(key))
	}
}

// send sends the request to one host, reads the response and checks that it belongs to the request.
func (d *Driver) send(ctx context.Context, f Flow, n int, id, address string, intended time.Time) (Result, error) {
	req, err := http.NewRequestWithContext(ctx, f.Method, "http://"+address+f.Path, strings.NewReader(f.Body))
	if err != nil {
		return Result{}, err
	}
	remaining := f.Target - daisygap.Millis(time.Since(intended)/time.Millisecond)
	d.writeHead(req, f, n, id, max(remaining, 0))
	// net/http retries a request by itself if its body can be rewound, so the body is made non-rewindable.
	req.GetBody = nil
	if f.Body == "" {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
	res, err := d.client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return Result{}, notSentError{err}
		}
		return Result{}, err
	}
	defer func() { _ = res.Body.Close() }()
	result := Result{
		Status:  res.StatusCode,
		Reason:  daisygap.Reason(res.Header.Get(daisygap.HeaderReason)),
		Run:     daisygap.RunState(res.Header.Get(daisygap.HeaderRun)),
		Receipt: res.Header.Get(daisygap.HeaderReceipt),
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return result, err
	}
	if d.WriteHead == nil && result.Reason == "" && !strings.HasPrefix(string(body), id+" ") {
		return result, ErrResponseMismatch
	}
	return result, nil
}
