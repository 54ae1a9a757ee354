package daisygap

// Steering is one version of the configuration that the platform's operators keep in the store.
type Steering struct {
	Version uint64
	Routes  []Route
	Pools   map[string]PoolLimits
	Limits  CallLimits
}

// Route says how the requests below a path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeat tells that a request may run more than once.
	Repeat bool
	// Bulk tells that answers are large.
	Bulk bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Millis
	// Target is the time within which an answer is of full value.
	Target Millis
	// Rank orders routes when capacity runs short; 0 goes first.
	Rank int
	// Split names the pools that share the route's requests.
	Split []SplitPart
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int
	// Affinity tells that an upstream serves objects faster that it has served lately.
	Affinity bool
	// Homes lists the only regions that may serve the route; empty allows all.
	Homes []string
}

// SplitPart is one pool's share of a route.
type SplitPart struct {
	Pool   string
	Weight float64
}

// PoolLimits are the figures that hold for every upstream of a pool.
type PoolLimits struct {
	HealthPath  string
	Connections int
	// ColdSpan is how long an upstream stays cold after a start.
	ColdSpan Millis
	// ColdRate is the number of requests a second that a cold upstream bears from all daemons together.
	ColdRate float64
}

// CallLimits bound what a caller may send.
type CallLimits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  Millis
	IdleTime    Millis
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
	// Cold is how long it was to stay cold when it wrote its entry.
	Cold Millis
	// Born is the Unix time of its start in milliseconds; Sequence counts its entries since.
	Born     int64
	Sequence int64
}

// Peer is one daemon as the others find it.
type Peer struct {
	Name        string `json:"name"`
	Incarnation string `json:"run"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Caller      string `json:"caller"`
	Address     string `json:"peer"`
}

// Fact is what one entry of the store says; at most one field is set.
type Fact struct {
	Steering *Steering
	Instance *Instance
	// Evacuated is a domain whose upstreams get no new work.
	Evacuated string
	Peer      *Peer
}

// Catalogue decodes the entries of the platform's store.
type Catalogue interface {
	// Decode returns what an entry says; an entry of no meaning here gives an empty Fact.
	Decode(e Entry) (Fact, error)
	// PeerKey returns the key under which a daemon registers.
	PeerKey(name string) string
	// IsInstance tells whether a key belongs to an upstream.
	IsInstance(key string) bool
}
