package daisygap

import "context"

// GossipHeartbeat is one daemon's sign of life, as daemons hand it on.
type GossipHeartbeat struct {
	Name string `json:"n"`
	// Peer is how to reach the daemon; only its own pulses carry it, since the store names it as well.
	Peer *Peer `json:"p,omitempty"`
	// StartTime is the Unix time in milliseconds of the process's start; Count grows while it lives.
	StartTime int64  `json:"s"`
	Counter   uint64 `json:"c"`
	Leaving   bool   `json:"l,omitempty"`
	// Ready tells that it has a configuration and takes callers.
	Ready bool `json:"k,omitempty"`
	// Revision is the store revision that its copy is up to.
	Revision uint64 `json:"r,omitempty"`
}

// CrashReport tells that an upstream's process ended while it ran a request.
type CrashReport struct {
	Fingerprint uint64 `json:"p"`
	Instance    string `json:"i"`
}

// LoadObservation is an upstream's load as some daemon saw it.
type LoadObservation struct {
	// Upstream is a part of the hash of its name.
	Upstream uint32 `json:"u"`
	// Load counts its requests, waiting ones included, and Age is the time since then.
	Load int    `json:"l"`
	Age  Millis `json:"a"`
}

// Gossip is what two daemons tell each other in one exchange.
type Gossip struct {
	Heartbeats []GossipHeartbeat `json:"b"`
	Crashes    []CrashReport     `json:"x,omitempty"`
	Loads      []LoadObservation `json:"l,omitempty"`
}

// StoreUpdate is what one daemon hands to another of the store's entries: the changes after a revision, or a full copy.
type StoreUpdate struct {
	Entries []StoreEntry `json:"e,omitempty"`
	// Revision is what the receiver is up to after it has taken the update in.
	Revision uint64 `json:"r"`
	// Full tells that entries which aren't named don't exist.
	Full bool `json:"f,omitempty"`
	// StoreErrorAge is the time since the sender last had trouble with the store, or 0 if it had none lately.
	StoreErrorAge Millis `json:"t,omitempty"`
}

// SteeringPeers calls other daemons on the platform.
type SteeringPeers interface {
	// Gossip exchanges signs of life.
	Gossip(address string, g Gossip) (Gossip, error)
	// Mirror fetches the store's entries that changed after a revision, and waits up to a span for the first.
	Mirror(ctx context.Context, address string, after uint64, wait Millis) (StoreUpdate, error)
}

// SteeringService answers other daemons on the platform.
type SteeringService interface {
	ServeGossip(g Gossip) Gossip
	ServeMirror(after uint64, wait Millis) StoreUpdate
}
