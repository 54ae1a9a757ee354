package daisygap

// Settings are what one daemon learns at its start.
type Settings struct {
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	Region   string   `json:"region"`
	Caller   string   `json:"caller"`
	Carry    string   `json:"carry"`
	Peer     string   `json:"peer"`
	Operator string   `json:"operator"`
	Store    string   `json:"store"`
	Peers    []string `json:"peers"`
	Token    string   `json:"token"`
	Level    string   `json:"level"`
	Pprof    bool     `json:"pprof"`
	TLS      *TLS     `json:"tls,omitempty"`
	// Linger is how long a leaving daemon still serves callers with cached answers; 0 takes the look-ups' time to live.
	Linger Millis `json:"linger"`
	// Trust lists the prefixes whose Daisygap-Caller header names the caller.
	Trust []string `json:"trust,omitempty"`
}

// TLS names the files for the peer and operator faces.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}
