package daisygap

import (
	"context"
	"encoding/json"
)

// View is the agreed membership of a domain: the daemons that hold shares of the upstreams' limits.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Seq     uint64   `json:"seq"`
	Members []string `json:"members"`
	// Next is the member list of the view that follows. While it is set, a daemon uses the smaller of its shares under
	// the two lists.
	Next []string `json:"next,omitempty"`
}

// Heartbeat is what a daemon periodically sends to its domain's leaseholder.
type Heartbeat struct {
	// Domain, Name, Host, Loads and RecordsChecksum are omitted while they equal the values last sent to the leaseholder.
	Domain      string `json:"d,omitempty"`
	Name        string `json:"n,omitempty"`
	Host        *Host  `json:"h,omitempty"`
	Incarnation string `json:"i"`
	// Epoch and Seq identify the last view that the daemon received.
	Epoch uint64 `json:"e"`
	Seq   uint64 `json:"s"`
	// Ack is the sequence number of the last view whose shares the daemon stays within.
	Ack uint64 `json:"a"`
	// HoldsLease reports whether the daemon holds a lease from an earlier heartbeat, possibly from a former leaseholder.
	HoldsLease      bool            `json:"o,omitempty"`
	Leaving         bool            `json:"l,omitempty"`
	Version         uint64          `json:"v"`
	RecordsChecksum uint64          `json:"m,omitempty"`
	Loads           map[string]Load `json:"g,omitempty"`
	// RefusalTotals are the refusal counts of this incarnation that changed since the leaseholder last stored them.
	RefusalTotals []RefusalTotal `json:"t,omitempty"`
}

// HeartbeatReply is the leaseholder's reply to a heartbeat.
type HeartbeatReply struct {
	// LeaseDuration is the time for which the granted lease is valid, counted from the sending of the heartbeat. 0 means
	// that no lease is granted.
	LeaseDuration Millis `json:"t"`
	// LeaseLength is the full length of a lease and LongestDeadline the longest time that a request may run, both by the
	// leaseholder's configuration. They are set when View is.
	LeaseLength     Millis `json:"y,omitempty"`
	LongestDeadline Millis `json:"x,omitempty"`
	Epoch           uint64 `json:"e"`
	View            *View  `json:"w,omitempty"`
	// OutOfSync reports whether the leaseholder has another configuration version or other records than the daemon.
	OutOfSync   bool     `json:"d,omitempty"`
	LostDomains []string `json:"l,omitempty"`
	// FullHeartbeatNeeded requests a heartbeat with all fields. If Epoch is 0, the leaseholder ignored this one.
	FullHeartbeatNeeded bool `json:"r,omitempty"`
	// LeaseholderAddress is the peer address of the leaseholder if the replying daemon is not the leaseholder.
	LeaseholderAddress string `json:"h,omitempty"`
}

// Patch is one committed change of the configuration, in the format that is stored under its version.
type Patch struct {
	Version uint64          `json:"version"`
	ID      string          `json:"id"`
	Author  string          `json:"author"`
	Time    Millis          `json:"time"`
	Merge   json.RawMessage `json:"merge"`
}

// Digest summarizes the data of a daemon, so that a peer sends only what is newer.
type Digest struct {
	Version uint64 `json:"v"`
	// RecordsChecksum is equal on two daemons that have the same records.
	RecordsChecksum uint64 `json:"m"`
	// Heartbeats holds the newest known heartbeat counter of each domain.
	Heartbeats map[string]uint64 `json:"b,omitempty"`
	// Full reports whether Seqs is set, which is so after the checksums were found to differ. Seqs holds the sequence
	// number of each record and is empty on a daemon that has just started.
	Full bool              `json:"f,omitempty"`
	Seqs map[string]uint64 `json:"s,omitempty"`
}

// Delta is the reply to a digest: the data that is newer than the digest.
type Delta struct {
	Version uint64         `json:"v"`
	Patches []Patch        `json:"p,omitempty"`
	Records []DomainRecord `json:"r,omitempty"`
	// Heartbeats holds the heartbeat counters that are newer.
	Heartbeats map[string]uint64 `json:"b,omitempty"`
	// SnapshotNeeded reports whether the patches after the digest's version are no longer complete, so that the requester
	// needs a snapshot.
	SnapshotNeeded bool `json:"f,omitempty"`
	// SeqsNeeded requests a digest with Seqs, because the checksums differ.
	SeqsNeeded bool `json:"a,omitempty"`
	// Want lists the keys of records that are older on the replying daemon.
	Want []string `json:"w,omitempty"`
}

// Push propagates changes. If Root is set, they are forwarded inside a domain along a tree of its members with that root.
type Push struct {
	Patches []Patch        `json:"p,omitempty"`
	Records []DomainRecord `json:"r,omitempty"`
	Crashes []CrashReport  `json:"c,omitempty"`
	// RefusalTotals are the refusal counts of the leaseholder with the given Incarnation, which other daemons store in
	// case the leaseholder fails.
	RefusalTotals []RefusalTotal `json:"t,omitempty"`
	Incarnation   string         `json:"i,omitempty"`
	Root          string         `json:"o,omitempty"`
}

// Loan grants slots of an upstream, or bandwidth of a link between regions, from one daemon to another.
type Loan struct {
	ID uint64 `json:"i"`
	// Upstream is "" in a loan of bandwidth.
	Upstream string `json:"u"`
	// Amount is the number of slots. In a loan of bandwidth it is the rate in bytes per second.
	Amount int `json:"n"`
}

// LoanRequest asks a peer to lend slots of a group for work of a rank, or to extend, take back or recall loans.
type LoanRequest struct {
	// Group is the name of a group, or "link:" and the name of a region for a loan of bandwidth to it.
	Group string `json:"g"`
	// Host is the peer address of the requesting daemon.
	Host string `json:"h"`
	// Amount is the wanted number of slots, or the wanted bandwidth in bytes per second.
	Amount int  `json:"n,omitempty"`
	Rank   Rank `json:"k,omitempty"`
	// Extend and Return list the IDs of loans.
	Extend []uint64 `json:"e,omitempty"`
	Return []uint64 `json:"r,omitempty"`
	Recall bool     `json:"c,omitempty"`
}

// LoanReply holds the new loans and the IDs of the extended ones.
type LoanReply struct {
	Granted  []Loan   `json:"l,omitempty"`
	Extended []uint64 `json:"e,omitempty"`
}

// IdempotencyRequest asks a daemon to record the idempotency key of a request, or to release the key of a request that
// was not run.
type IdempotencyRequest struct {
	// Scope is the region and the kind of the request.
	Scope string `json:"s"`
	Key   string `json:"k"`
	// Retried reports whether the caller marked the request as a retry.
	Retried bool `json:"r,omitempty"`
	Release bool `json:"e,omitempty"`
}

// IdempotencyReply holds the verdict on an idempotency key, such as whether it is new.
type IdempotencyReply struct {
	Verdict string `json:"v"`
}

// SnapshotPart is one part of a configuration snapshot that has Count parts.
type SnapshotPart struct {
	Version uint64 `json:"v"`
	Count   int    `json:"n"`
	Data    []byte `json:"d"`
}

// RefusalTotal is the number of refusals with one reason, kind and rank in a domain within a minute of Unix time.
type RefusalTotal struct {
	Minute int64  `json:"m"`
	Reason Reason `json:"w"`
	Kind   string `json:"k"`
	Rank   Rank   `json:"r"`
	Domain string `json:"d"`
	Count  int64  `json:"n"`
}

// Peers is the client side of the calls between daemons. The address is the peer address of the called daemon.
type Peers interface {
	Heartbeat(ctx context.Context, address string, b Heartbeat) (HeartbeatReply, error)
	Sync(ctx context.Context, address string, d Digest) (Delta, error)
	Push(ctx context.Context, address string, p Push) error
	// PushAndWait returns when the called daemon has merged the push.
	PushAndWait(ctx context.Context, address string, p Push) error
	SnapshotPart(ctx context.Context, address string, version uint64, part int) (SnapshotPart, error)
	Loan(ctx context.Context, address string, c LoanRequest) (LoanReply, error)
	RefusalTotals(ctx context.Context, address string) ([]RefusalTotal, error)
	Members(ctx context.Context, address string) (MemberList, error)
	Idempotency(ctx context.Context, address string, c IdempotencyRequest) (IdempotencyReply, error)
}

// PeerService is the server side of the calls between daemons.
type PeerService interface {
	ServeHeartbeat(b Heartbeat) HeartbeatReply
	ServeSync(d Digest) Delta
	ServePush(p Push)
	ServeSnapshotPart(version uint64, part int) (SnapshotPart, error)
	ServeLoan(c LoanRequest) LoanReply
	ServeRefusalTotals() []RefusalTotal
	ServeMembers() MemberList
	ServeIdempotency(c IdempotencyRequest) IdempotencyReply
}
