package daisygap

// Settings is the settings file of one daemon, which is read when the daemon starts.
type Settings struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// The daemon listens on these addresses for callers, for requests forwarded by other daemons, for calls of other
	// daemons and for operators.
	CallerAddress   string `json:"caller"`
	ForwardAddress  string `json:"carry"`
	PeerAddress     string `json:"peer"`
	OperatorAddress string `json:"operator"`
	// StoreAddress is the URL of the key-value service, and Peers lists the peer addresses of other daemons.
	StoreAddress string   `json:"store"`
	Peers        []string `json:"peers"`
	Token        string   `json:"token"`
	LogLevel     string   `json:"level"`
	Pprof        bool     `json:"pprof"`
	TLS          *TLS     `json:"tls,omitempty"`
	// Linger is how long a leaving daemon still serves callers that have cached a lookup answer. 0 means the TTL of
	// lookups plus the time until other daemons have noticed.
	Linger Millis `json:"linger"`
	// TrustedPrefixes lists the address prefixes whose Daisygap-Caller header is trusted to name the caller.
	TrustedPrefixes []string `json:"trust,omitempty"`
	// Steering is set for a steering daemon, which has no forward address, no operator address and no token.
	Steering *SteeringSettings `json:"steering,omitempty"`
}

// SteeringSettings are the additional settings of a steering daemon.
type SteeringSettings struct {
	// ReadyAddress serves the readiness checks of the platform, DirectoryAddress the lookups of callers, and
	// MetricsAddress the metrics.
	ReadyAddress     string `json:"ready"`
	DirectoryAddress string `json:"directory"`
	MetricsAddress   string `json:"metrics"`
	// AdvertiseAddress is the address at which other daemons reach PeerAddress. It is empty if the two are the same.
	AdvertiseAddress string `json:"advertise,omitempty"`
	// Domains maps each failure domain to its region.
	Domains map[string]string `json:"domains"`
	// In each RetryWindow all daemons together may retry the fraction RetryRatio of a pool's requests, plus RetrySlack
	// requests.
	RetryRatio  float64 `json:"ratio"`
	RetrySlack  float64 `json:"slack"`
	RetryWindow Span    `json:"window"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace Span `json:"grace"`
	// MemoryMB is the memory in megabytes that the process may use, or 0 if it isn't limited.
	MemoryMB int `json:"memory,omitempty"`
	// GCPercent is the growth of the heap in percent at which the garbage collector runs, or 0 for Go's default. A small value
	// saves memory at the cost of processor time.
	GCPercent int `json:"gc,omitempty"`
}

// TLS names the certificate files of the peer and operator listeners.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}
