package daisygap

// Host is one entry host as other daemons know it.
type Host struct {
	Name           string `json:"n"`
	CallerAddress  string `json:"c"`
	ForwardAddress string `json:"h"`
	PeerAddress    string `json:"p"`
	Leaving        bool   `json:"l,omitempty"`
	// Unavailable tells that the host should get no new work: it is leaving, or holds no lease.
	Unavailable bool `json:"a,omitempty"`
}

// Load is the use of one group of upstreams in a domain.
type Load struct {
	Slots   int `json:"s"`
	Running int `json:"r"`
	Waiting int `json:"w"`
}

// DomainRecord is a part of what a domain tells the others about itself: its hosts or its loads, each with a number of its own.
type DomainRecord struct {
	Domain string `json:"d"`
	// Seq grows with every change of the record.
	Seq uint64 `json:"q"`
	// Heartbeat grows while the domain's leaseholder lives.
	Heartbeat uint64 `json:"b"`
	// Hosts is set in the record of hosts, which changes rarely.
	Hosts []Host `json:"h,omitempty"`
	// LeaseholderAddress is the peer address of the domain's leaseholder.
	LeaseholderAddress string          `json:"o,omitempty"`
	Groups             map[string]Load `json:"g,omitempty"`
	// Offload is the part of each group's usual work that should go to other domains, from 0 to 1.
	Offload map[string]float64 `json:"v,omitempty"`
	// Fingerprints are the fingerprints that the domain holds back.
	Fingerprints []uint64 `json:"p,omitempty"`
	Lost         bool     `json:"-"`
}
