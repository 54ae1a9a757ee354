package daisygap

import "context"

// GossipHeartbeat is the newest known heartbeat of a daemon, which the other daemons forward.
type GossipHeartbeat struct {
	Name string `json:"n"`
	// Peer is the daemon's registration. Only heartbeats that the daemon sends itself include it; other daemons
	// read it from the store.
	Peer *Peer `json:"p,omitempty"`
	// StartTime is the Unix time of the process's start in milliseconds. Counter grows while the process is alive.
	StartTime int64  `json:"s"`
	Counter   uint64 `json:"c"`
	Leaving   bool   `json:"l,omitempty"`
	// Ready reports whether the daemon has a configuration and accepts callers.
	Ready bool `json:"k,omitempty"`
	// Revision is the store revision of the daemon's replica.
	Revision StoreRevision `json:"r,omitempty"`
	// StoreLost reports whether the daemon's last call of the store failed.
	StoreLost bool `json:"d,omitempty"`
	// ConfigVersion is the version of the daemon's configuration, or 0 if it has none.
	ConfigVersion uint64 `json:"v,omitempty"`
}

// Process names one process of an upstream. A process that starts again under the same ID has another start time.
type Process struct {
	ID string `json:"i"`
	// StartTime is the Unix time of the process's start in milliseconds.
	StartTime int64 `json:"s,omitempty"`
}

// CrashReport reports that an upstream closed the connection of a request before it sent any byte of a response.
type CrashReport struct {
	Fingerprint uint64  `json:"p"`
	Process     Process `json:"u"`
	// Host is the daemon that sent the request. Sent and Broken are times on its clock: of the request, and of the end of its
	// connection.
	Host   string `json:"h"`
	Sent   Millis `json:"b"`
	Broken Millis `json:"e"`
	// Age is the time since Broken when the message was sent.
	Age Millis `json:"a"`
	// Ended reports whether the process is known to have ended, so that the request may have crashed it.
	Ended bool `json:"d,omitempty"`
	// Survived reports whether the process accepted a connection some time later. Unless another process had replaced it by then, the
	// request didn't crash it.
	Survived bool `json:"v,omitempty"`
	// Alone reports whether no other suspected request ran at the process.
	Alone bool `json:"o,omitempty"`
}

// AnswerReport reports that an upstream answered a suspected request.
type AnswerReport struct {
	Fingerprint uint64 `json:"p"`
	// SentAge is the time since the request was sent.
	SentAge Millis `json:"q"`
}

// RestartReport reports that the process of an upstream ended, or what a status check found at its address afterwards.
type RestartReport struct {
	// Upstream is the truncated hash of the upstream's name, and StartTime the Unix time of the start of the process in milliseconds that
	// the store shows.
	Upstream  uint32 `json:"u"`
	StartTime int64  `json:"s"`
	// Checked reports whether a process responded to a status check. Cold is how long it is still cold.
	Checked bool   `json:"c,omitempty"`
	Cold    Millis `json:"r,omitempty"`
	// Age is the time since the latest evidence, or since the status check.
	Age Millis `json:"a"`
}

// LoadObservation is the load of an upstream as one daemon observed it.
type LoadObservation struct {
	// Upstream is the truncated hash of the upstream's name.
	Upstream uint32 `json:"u"`
	// Load is the number of running and waiting requests, and Age the time since the observation.
	Load int    `json:"l"`
	Age  Millis `json:"a"`
}

// SpeedEstimate is how long work takes at an upstream relative to its pool, by the observations of several daemons.
type SpeedEstimate struct {
	// Upstream is the truncated hash of the upstream's name, and StartTime the Unix time of its process's start in milliseconds.
	Upstream  uint32 `json:"u"`
	StartTime int64  `json:"s,omitempty"`
	// Low is the mean logarithm of the time factor in thousandths while up to half of the slots are in use, and High with more in use.
	Low  int `json:"l,omitempty"`
	High int `json:"h,omitempty"`
	// LowWeight and HighWeight are the numbers of observations in thousandths. Older ones count less.
	LowWeight  int `json:"w,omitempty"`
	HighWeight int `json:"v,omitempty"`
	// Age is the time since the newest observation.
	Age Millis `json:"a,omitempty"`
}

// RateReport is what a response of an upstream said about the rate of requests that it takes from all daemons together.
type RateReport struct {
	// Upstream is the truncated hash of the upstream's name, and StartTime the Unix time of its process's start in milliseconds.
	Upstream  uint32 `json:"u"`
	StartTime int64  `json:"s"`
	// Named reports whether the response names a rate. Rate is in requests per second.
	Named bool    `json:"n,omitempty"`
	Rate  float64 `json:"r,omitempty"`
	// SentAge is the time since the request was sent, and Age the time since its response arrived.
	SentAge Millis `json:"q"`
	Age     Millis `json:"a"`
}

// PermitRequest asks an upstream's arbiter for the permission to send it requests.
type PermitRequest struct {
	// Report is what the asking daemon knows of the upstream's rate.
	Report RateReport `json:"l"`
	// From is the name of the asking daemon.
	From string `json:"f"`
	// Waiting reports whether a request waits for a permit.
	Waiting bool `json:"w,omitempty"`
	// Demand is the number of requests that the daemon had for the upstream since it asked last.
	Demand int `json:"d,omitempty"`
	// Priority is that of the request's route. 0 is the highest.
	Priority int `json:"p,omitempty"`
}

// PermitReply is the response to a PermitRequest.
type PermitReply struct {
	// Granted reports whether the waiting request may be sent, and Lent is the rate in requests per second at which the daemon may
	// send further ones for a while.
	Granted bool    `json:"g,omitempty"`
	Lent    float64 `json:"r,omitempty"`
	// Wait is the time after which the daemon may ask again, if no permit was granted.
	Wait Millis `json:"w,omitempty"`
	// Report is what the arbiter knows of the upstream's rate. It is nil if the arbiter doesn't know the upstream's process.
	Report *RateReport `json:"l,omitempty"`
}

// Gossip is the message that each of two daemons sends in one gossip exchange.
type Gossip struct {
	Heartbeats []GossipHeartbeat `json:"b"`
	Crashes    []CrashReport     `json:"x,omitempty"`
	Answers    []AnswerReport    `json:"w,omitempty"`
	// NewsOnly is set in a message that only brings new reports of crashes and restarts. Its reply is empty.
	NewsOnly bool `json:"o,omitempty"`
	// AllCrashes asks for all reports that the receiver holds, and not only for the recent ones.
	AllCrashes bool              `json:"q,omitempty"`
	Loads      []LoadObservation `json:"l,omitempty"`
	Rates      []RateReport      `json:"t,omitempty"`
	Restarts   []RestartReport   `json:"e,omitempty"`
	// Speeds lists upstreams that may not be even with their pools. A reply lists those of the message, with the sender's estimates merged
	// into the receiver's, for the sender to adopt.
	Speeds []SpeedEstimate `json:"v,omitempty"`
}

// StoreUpdate transfers entries of the store from one daemon to another: the changes after a revision, or a full copy.
type StoreUpdate struct {
	Entries []StoreEntry `json:"e,omitempty"`
	// Revision is the revision of the receiver after it has applied the update.
	Revision StoreRevision `json:"r"`
	// Full reports whether the update is a full copy, so that entries which it does not contain do not exist.
	Full bool `json:"f,omitempty"`
	// Skips reports whether an entry that was written and deleted meanwhile may be missing from the update.
	Skips bool `json:"k,omitempty"`
	// StoreLost reports whether the sender's last call of the store failed, so that changes reach it late.
	StoreLost bool `json:"d,omitempty"`
	// StoreErrorAge is the time since the sender's last failed call of the store, or 0 if there was none recently.
	StoreErrorAge Millis `json:"t,omitempty"`
}

// MirrorQuery asks a daemon for the changes of its replica of the store.
type MirrorQuery struct {
	// After is the revision of the caller's replica.
	After StoreRevision `json:"a"`
	// Wait is how long to wait for the first change.
	Wait Millis `json:"w,omitempty"`
	// FromStore asks for a response without a wait when the daemon can't reach the store, so that the caller can choose another
	// one that does.
	FromStore bool `json:"s,omitempty"`
	// InForce asks only for the entry of the configuration that the daemon uses, which the store may have lost.
	InForce bool `json:"f,omitempty"`
}

// SteeringPeers is the client side of the calls between steering daemons.
type SteeringPeers interface {
	// Gossip exchanges heartbeats, crash reports and loads with a daemon.
	Gossip(address string, g Gossip) (Gossip, error)
	// Permit asks the arbiter of an upstream's rate for the permission to send it requests.
	Permit(ctx context.Context, address string, r PermitRequest) (PermitReply, error)
	// Mirror fetches the changes of a daemon's replica of the store.
	Mirror(ctx context.Context, address string, q MirrorQuery) (StoreUpdate, error)
	AllowancePeers
}

// SteeringService is the server side of the calls between steering daemons.
type SteeringService interface {
	ServeGossip(g Gossip) Gossip
	ServePermit(r PermitRequest) PermitReply
	// ServeMirror returns early when the context ends, because the caller no longer waits for the result.
	ServeMirror(ctx context.Context, q MirrorQuery) StoreUpdate
	AllowanceService
}
