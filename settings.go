package daisygap

// Settings are what one daemon learns at its start.
type Settings struct {
	Host            string   `json:"host"`
	Domain          string   `json:"domain"`
	Region          string   `json:"region"`
	CallerAddress   string   `json:"caller"`
	ForwardAddress  string   `json:"carry"`
	PeerAddress     string   `json:"peer"`
	OperatorAddress string   `json:"operator"`
	StoreAddress    string   `json:"store"`
	Peers           []string `json:"peers"`
	Token           string   `json:"token"`
	LogLevel        string   `json:"level"`
	Pprof           bool     `json:"pprof"`
	TLS             *TLS     `json:"tls,omitempty"`
	// Linger is how long a leaving daemon still serves callers with cached answers; 0 takes the look-ups' time to live.
	Linger Millis `json:"linger"`
	// TrustedPrefixes lists the prefixes whose Daisygap-Caller header names the caller.
	TrustedPrefixes []string `json:"trust,omitempty"`
	// Steering is set for a daemon on the platform, which has no carry and operator addresses and no token.
	Steering *SteeringSettings `json:"steering,omitempty"`
}

// SteeringSettings are what a daemon on the platform needs beside the others.
type SteeringSettings struct {
	// ReadyAddress, Directory and Metrics are the addresses for the platform's checks, for callers' look-ups and for metrics.
	ReadyAddress     string `json:"ready"`
	DirectoryAddress string `json:"directory"`
	MetricsAddress   string `json:"metrics"`
	// AdvertiseAddress is the address by which other daemons reach Peer; empty where that is the same.
	AdvertiseAddress string `json:"advertise,omitempty"`
	// Domains names the region of each failure domain.
	Domains map[string]string `json:"domains"`
	// RetryRatio is the part of the requests that all daemons together may send again, and RetrySlack what they may send again beside it in RetryWindow.
	RetryRatio  float64 `json:"ratio"`
	RetrySlack  float64 `json:"slack"`
	RetryWindow Span    `json:"window"`
	// Grace is the time from SIGTERM to the process's forced end.
	Grace Span `json:"grace"`
}

// TLS names the files for the peer and operator faces.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}
