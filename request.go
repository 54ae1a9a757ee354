package daisygap

// HTTP headers between callers, daemons and upstreams.
const (
	HeaderID       = "Daisygap-Id"
	HeaderDeadline = "Daisygap-Deadline"
	HeaderRank     = "Daisygap-Rank"
	HeaderKind     = "Daisygap-Kind"
	HeaderCaller   = "Daisygap-Caller"
	HeaderHop      = "Daisygap-Hop"
	HeaderReason   = "Daisygap-Reason"
	HeaderRun      = "Daisygap-Run"
	HeaderReceipt  = "Daisygap-Receipt"
	HeaderDrain    = "Daisygap-Drain"
	HeaderHost     = "Daisygap-Host"
	HeaderAttempt  = "Daisygap-Attempt"
	HeaderKey      = "Idempotency-Key"
)

// Request holds the properties of a request that steering decisions depend on.
type Request struct {
	ID     string
	Kind   string
	Rank   Rank
	Caller string
	// Deadline is a time of the daemon's monotonic clock.
	Deadline   Millis
	Idempotent bool
	// Hop is the number of times that the request was forwarded between daemons.
	Hop int
	// Fingerprint is a hash by which a request that is sent again is recognized.
	Fingerprint uint64
	// Key is the idempotency key, or "".
	Key string
}
