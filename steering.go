package daisygap

// SteeringConfig is one version of the configuration that the platform's operators maintain in the store.
type SteeringConfig struct {
	Version uint64
	Routes  []Route
	Pools   map[string]PoolLimits
	Limits  RequestLimits
	// NeedsKeys reports whether requests on routes that aren't public need the key of one of Customers.
	NeedsKeys bool
	Customers []Customer
	// Dropped lists the rows that could not be used. The rest of the configuration takes effect without them.
	Dropped []DroppedRow
}

// CustomerKey is the secret by which the requests of a customer are recognized. It formats as "[redacted]", so that it never appears in
// logs, errors or messages.
type CustomerKey string

// String returns a fixed text instead of the key.
func (CustomerKey) String() string { return "[redacted]" }

// GoString returns a fixed text instead of the key.
func (CustomerKey) GoString() string { return "[redacted]" }

// MarshalText returns a fixed text instead of the key.
func (CustomerKey) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// Customer is an organization whose requests are recognized by its keys.
type Customer struct {
	Name string
	Keys []CustomerKey
	// Priority goes before the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second that all daemons together may accept, and Burst the number beyond that at once. A
	// customer whose Rate is 0 has no limit.
	Rate  float64
	Burst float64
	// AllowedRegions lists the regions that may serve the customer's requests. An empty list allows all.
	AllowedRegions []string
}

// The tables of a configuration, as DroppedRow and the metrics name them.
const (
	TableRoutes    = "routes"
	TableServices  = "services"
	TableCustomers = "customers"
	TableLimits    = "limits"
)

// The names of the limits in DroppedRow.
const (
	LimitHeaderBytes   = "header_bytes"
	LimitBodyBytes     = "body_bytes"
	LimitHeaderTimeout = "header_timeout"
	LimitIdleTimeout   = "idle_timeout"
)

// DroppedRow is a row of the configuration that could not be used.
type DroppedRow struct {
	// Table is TableRoutes, TableServices, TableCustomers or TableLimits, and Name the row's name if it has a readable one, or the name of
	// the limit.
	Table string
	Name  string
	// Whole reports whether no row of the table could be read.
	Whole bool
	// Reason says what is wrong with the row, without its values.
	Reason string
	// Kept reports whether the row of the previous version stays in force.
	Kept bool
}

// Route defines how the requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// LargeResponses and LargeRequests report whether the bodies of responses and requests are large.
	LargeResponses bool
	LargeRequests  bool
	// Public reports whether requests need no customer's key.
	Public bool
	// Timeout is the longest time that a caller waits for a response.
	Timeout Millis
	// TargetLatency is the latency within which a response has its full value for the caller.
	TargetLatency Millis
	// Priority orders routes when capacity is short. 0 is served first.
	Priority int
	// Split lists the pools that share the route's requests.
	Split []PoolWeight
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Affinity reports whether an upstream responds faster for objects that it has served recently.
	Affinity bool
	// AllowedRegions lists the regions that may serve the route. An empty list allows all.
	AllowedRegions []string
}

// PoolWeight is a pool with its relative share of a route's requests.
type PoolWeight struct {
	Pool   string
	Weight float64
}

// PoolLimits are the limits of every upstream of a pool.
type PoolLimits struct {
	HealthPath  string
	Connections int
	// ColdPeriod is how long an upstream stays cold after it started.
	ColdPeriod Millis
	// ColdRate is the number of requests per second that a cold upstream can serve, from all daemons together.
	ColdRate float64
}

// RequestLimits bound the size and the duration of what a caller sends.
type RequestLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// Instance is the registration of one process of an upstream.
type Instance struct {
	ID      string
	Pool    string
	Address string
	Domain  string
	Version string
	Slots   int
	// Draining reports whether the instance is leaving and accepts no new work.
	Draining bool
	// ColdRemaining is how long the instance would still be cold when it wrote its entry.
	ColdRemaining Millis
	// StartTime is the Unix time of the process's start in milliseconds. Sequence counts the entries written since then.
	StartTime int64
	Sequence  int64
}

// Peer is the registration by which other daemons find a daemon.
type Peer struct {
	Name          string `json:"name"`
	Incarnation   string `json:"run"`
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller"`
	Address       string `json:"peer"`
}

// DecodedEntry is the content of an entry of the store. At most one field is set.
type DecodedEntry struct {
	Steering *SteeringConfig
	Instance *Instance
	// Evacuated is the name of a domain whose upstreams should receive no new work.
	Evacuated string
	Peer      *Peer
	// Hint is what the daemons of HintRegion learned.
	Hint       *PlacementHint
	HintRegion string
}

// PlacementHint is what the daemons of a region have learned about its requests, by pool. Daemons that start continue from there
// instead of moving all objects again.
type PlacementHint struct {
	Pools map[string]PoolHint `json:"p"`
}

// PoolHint is what the daemons of a region have learned about one pool.
type PoolHint struct {
	// LocalShare is the fraction of the objects that are served in the region, and LargeLocalShare the same for large responses.
	LocalShare      float64 `json:"l"`
	LargeLocalShare float64 `json:"g"`
	// HitTimes and MissTimes are the service times in ms by route, and RoundTrips the round trip times in ms by region.
	HitTimes   map[string]float64 `json:"h,omitempty"`
	MissTimes  map[string]float64 `json:"m,omitempty"`
	RoundTrips map[string]float64 `json:"t,omitempty"`
}

// StoreSchema defines the keys and the encoding of the platform's store.
type StoreSchema interface {
	// Decode decodes an entry. An entry that is irrelevant to steering gives an empty DecodedEntry.
	Decode(e StoreEntry) (DecodedEntry, error)
	// PeerKey returns the key under which a daemon registers.
	PeerKey(name string) string
	// HintKey returns the key of a region's placement hint.
	HintKey(region string) string
	// IsInstance reports whether a key is that of an upstream instance.
	IsInstance(key string) bool
	// IsPlausible reports whether an entry has a known key and a size that its kind can have. The value of another entry is useless to
	// every daemon.
	IsPlausible(e StoreEntry) bool
}
