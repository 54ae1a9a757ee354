package daisygap

import (
	"context"
	"encoding/json"
)

// View is the agreed list of a domain's daemons that hold shares.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Seq     uint64   `json:"seq"`
	Members []string `json:"members"`
	// Next is the list that follows; while it is set, a daemon uses the smaller of its shares under both lists.
	Next []string `json:"next,omitempty"`
}

// Heartbeat is a daemon's heartbeat to its domain's leaseholder.
type Heartbeat struct {
	// Domain, Name, Host, Loads and Sum are left out while they are what the leaseholder was told last.
	Domain      string `json:"d,omitempty"`
	Name        string `json:"n,omitempty"`
	Host        *Host  `json:"h,omitempty"`
	Incarnation string `json:"i"`
	// Epoch and Seq name the last view that the daemon heard of.
	Epoch uint64 `json:"e"`
	Seq   uint64 `json:"s"`
	// Ack is the last view that the daemon's use of its shares fits.
	Ack uint64 `json:"a"`
	// HoldsLease tells that the daemon holds a lease from an earlier heartbeat, maybe of a former leaseholder.
	HoldsLease      bool            `json:"o,omitempty"`
	Leaving         bool            `json:"l,omitempty"`
	Version         uint64          `json:"v"`
	RecordsChecksum uint64          `json:"m,omitempty"`
	Loads           map[string]Load `json:"g,omitempty"`
	// RefusalTotals are the refusal counts of this incarnation that changed since the leaseholder last kept them.
	RefusalTotals []RefusalTotal `json:"t,omitempty"`
}

// HeartbeatReply answers a heartbeat; a span of 0 gives no lease.
type HeartbeatReply struct {
	LeaseRemaining Millis `json:"t"`
	// LeaseLength is the length of leases, and Longest the longest time that a request may run, as the leaseholder counts; they come with a view.
	LeaseLength     Millis `json:"y,omitempty"`
	LongestDeadline Millis `json:"x,omitempty"`
	Epoch           uint64 `json:"e"`
	View            *View  `json:"w,omitempty"`
	// OutOfSync tells that the leaseholder has another configuration version or other records.
	OutOfSync   bool     `json:"d,omitempty"`
	LostDomains []string `json:"l,omitempty"`
	// FullHeartbeatNeeded asks for a full heartbeat; without an Epoch nothing of this one was taken in.
	FullHeartbeatNeeded bool `json:"r,omitempty"`
	// LeaseholderAddress is the address of the leaseholder to ask instead, when the answering daemon isn't it.
	LeaseholderAddress string `json:"h,omitempty"`
}

// Patch is one committed change of the configuration, as it is kept in the store under its version.
type Patch struct {
	Version uint64          `json:"version"`
	ID      string          `json:"id"`
	Author  string          `json:"author"`
	Time    Millis          `json:"time"`
	Merge   json.RawMessage `json:"merge"`
}

// Digest tells what a daemon has, so that the other side sends only what is newer.
type Digest struct {
	Version uint64 `json:"v"`
	// RecordsChecksum is equal on two daemons with the same records.
	RecordsChecksum uint64 `json:"m"`
	// Heartbeats holds the newest sign of life of each domain.
	Heartbeats map[string]uint64 `json:"b,omitempty"`
	// Full tells that Seqs names the newest record of each key, after the sums were found to differ; a daemon that starts has none.
	Full bool              `json:"f,omitempty"`
	Seqs map[string]uint64 `json:"s,omitempty"`
}

// Delta is what one side has that is newer than the other's digest.
type Delta struct {
	Version uint64         `json:"v"`
	Patches []Patch        `json:"p,omitempty"`
	Records []DomainRecord `json:"r,omitempty"`
	// Heartbeats holds the newer signs of life.
	Heartbeats map[string]uint64 `json:"b,omitempty"`
	// SnapshotNeeded tells that the patches no longer reach back; a snapshot is needed.
	SnapshotNeeded bool `json:"f,omitempty"`
	// SeqsNeeded asks for a digest with Seqs, since the sums differ.
	SeqsNeeded bool `json:"a,omitempty"`
	// Want lists the keys of which the answering side's record is older.
	Want []string `json:"w,omitempty"`
}

// Push spreads changes; with a Root, inside a domain along a tree over its members.
type Push struct {
	Patches []Patch        `json:"p,omitempty"`
	Records []DomainRecord `json:"r,omitempty"`
	Crashes []Crash        `json:"c,omitempty"`
	// RefusalTotals are the leaseholder's own refusal counts under its Incarnation, which others keep in case it is lost.
	RefusalTotals []RefusalTotal `json:"t,omitempty"`
	Incarnation   string         `json:"i,omitempty"`
	Root          string         `json:"o,omitempty"`
}

// Crash reports that a request was running on an upstream when it crashed.
type Crash struct {
	Upstream    string `json:"u"`
	Fingerprint uint64 `json:"p"`
	// Suspect tells that the request had been at a crash before and was the only such one there.
	Suspect bool `json:"s,omitempty"`
}

// Loan is one loan of slots as the lender grants it.
type Loan struct {
	ID       uint64 `json:"i"`
	Upstream string `json:"u"`
	Slots    int    `json:"n"`
}

// LoanRequest asks a peer to lend for work of a rank, extend, take back or recall loans of one group.
type LoanRequest struct {
	Group  string   `json:"g"`
	Host   string   `json:"h"`
	Slots  int      `json:"n,omitempty"`
	Rank   Rank     `json:"k,omitempty"`
	Extend []uint64 `json:"e,omitempty"`
	Return []uint64 `json:"r,omitempty"`
	Recall bool     `json:"c,omitempty"`
}

// LoanReply holds new loans and the extended ones.
type LoanReply struct {
	Granted  []Loan   `json:"l,omitempty"`
	Extended []uint64 `json:"e,omitempty"`
}

// IdempotencyRequest asks a daemon to remember the idempotency key of a request, or to forget one that was not run.
type IdempotencyRequest struct {
	Scope    string `json:"s"`
	Key      string `json:"k"`
	Repeated bool   `json:"r,omitempty"`
	Release  bool   `json:"e,omitempty"`
}

// IdempotencyReply holds the verdict on a key.
type IdempotencyReply struct {
	Verdict string `json:"v"`
}

// SnapshotPart is one piece of a configuration snapshot.
type SnapshotPart struct {
	Version uint64 `json:"v"`
	Count   int    `json:"n"`
	Data    []byte `json:"d"`
}

// RefusalTotal counts refusals of one reason, kind, rank and minute in a domain.
type RefusalTotal struct {
	Minute int64  `json:"m"`
	Reason Reason `json:"w"`
	Kind   string `json:"k"`
	Rank   Rank   `json:"r"`
	Domain string `json:"d"`
	Count  int64  `json:"n"`
}

// Peers calls other daemons by their peer address.
type Peers interface {
	Heartbeat(ctx context.Context, address string, b Heartbeat) (HeartbeatReply, error)
	Sync(ctx context.Context, address string, d Digest) (Delta, error)
	Push(ctx context.Context, address string, p Push) error
	SnapshotPart(ctx context.Context, address string, version uint64, part int) (SnapshotPart, error)
	Loan(ctx context.Context, address string, c LoanRequest) (LoanReply, error)
	RefusalTotals(ctx context.Context, address string) ([]RefusalTotal, error)
	Members(ctx context.Context, address string) (MemberList, error)
	Idempotency(ctx context.Context, address string, c IdempotencyRequest) (IdempotencyReply, error)
}

// PeerService answers the calls of other daemons.
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
