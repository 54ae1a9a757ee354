package daisygap

// Host is an entry host with the addresses that other daemons and callers use.
type Host struct {
	Name          string `json:"n"`
	CallerAddress string `json:"c"`
	// ForwardAddress receives requests that other daemons forward.
	ForwardAddress string `json:"h"`
	PeerAddress    string `json:"p"`
	Leaving        bool   `json:"l,omitempty"`
	// Unavailable reports whether the host should receive no new work, because it is leaving or holds no lease.
	Unavailable bool `json:"a,omitempty"`
}

// Load is the utilization of one group of upstreams in a domain.
type Load struct {
	// Slots is the number of requests that may run at a time.
	Slots   int `json:"s"`
	Running int `json:"r"`
	Waiting int `json:"w"`
}

// DomainRecord is published by a domain to all others. Each domain publishes two records with sequence numbers of their
// own: one with its hosts and one with its loads.
type DomainRecord struct {
	Domain string `json:"d"`
	// Seq grows with every change of the record.
	Seq uint64 `json:"q"`
	// Heartbeat is a counter that grows while the domain's leaseholder is alive.
	Heartbeat uint64 `json:"b"`
	// Hosts is set in the record of hosts only, which changes rarely.
	Hosts []Host `json:"h,omitempty"`
	// LeaseholderAddress is the peer address of the domain's leaseholder.
	LeaseholderAddress string          `json:"o,omitempty"`
	Groups             map[string]Load `json:"g,omitempty"`
	// Offload is the fraction of each group's usual work that should go to other domains, from 0 to 1.
	Offload map[string]float64 `json:"v,omitempty"`
	// Fingerprints are the fingerprints of the requests that the domain blocks.
	Fingerprints []uint64 `json:"p,omitempty"`
	// Lost reports whether the domain's heartbeats have stopped.
	Lost bool `json:"-"`
}
