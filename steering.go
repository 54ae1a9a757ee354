package daisygap

// SteeringConfig is one version of the configuration that the platform's operators keep in the store.
type SteeringConfig struct {
	Version uint64
	Routes  []Route
	Pools   map[string]PoolLimits
	Limits  RequestLimits
}

// Route says how the requests below a path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// LargeResponses tells that answers are large.
	LargeResponses bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Millis
	// TargetLatency is the time within which an answer is of full value.
	TargetLatency Millis
	// Priority orders routes when capacity runs short; 0 goes first.
	Priority int
	// Split names the pools that share the route's requests.
	Split []PoolWeight
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Affinity tells that an upstream serves objects faster that it has served lately.
	Affinity bool
	// HomeRegions lists the only regions that may serve the route; empty allows all.
	HomeRegions []string
}

// PoolWeight is one pool's share of a route.
type PoolWeight struct {
	Pool   string
	Weight float64
}

// PoolLimits are the figures that hold for every upstream of a pool.
type PoolLimits struct {
	HealthPath  string
	Connections int
	// ColdPeriod is how long an upstream stays cold after a start.
	ColdPeriod Millis
	// ColdRate is the number of requests a second that a cold upstream bears from all daemons together.
	ColdRate float64
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// Instance is one process of an upstream, as it registered itself.
type Instance struct {
	ID      string
	Pool    string
	Address string
	Domain  string
	Version string
	Slots   int
	// Draining tells that it leaves and takes no new work.
	Draining bool
	// ColdRemaining is how long it was to stay cold when it wrote its entry.
	ColdRemaining Millis
	// StartTime is the Unix time of its start in milliseconds; Sequence counts its entries since.
	StartTime int64
	Sequence  int64
}

// Peer is one daemon as the others find it.
type Peer struct {
	Name          string `json:"name"`
	Incarnation   string `json:"run"`
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller"`
	Address       string `json:"peer"`
}

// DecodedEntry is what one entry of the store says; at most one field is set.
type DecodedEntry struct {
	Steering *SteeringConfig
	Instance *Instance
	// Evacuated is a domain whose upstreams get no new work.
	Evacuated string
	Peer      *Peer
}

// StoreSchema decodes the entries of the platform's store.
type StoreSchema interface {
	// Decode returns what an entry says; an entry of no meaning here gives an empty Fact.
	Decode(e StoreEntry) (DecodedEntry, error)
	// PeerKey returns the key under which a daemon registers.
	PeerKey(name string) string
	// IsInstance tells whether a key belongs to an upstream.
	IsInstance(key string) bool
}
