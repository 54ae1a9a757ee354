package daisygap

import (
	"context"
	"errors"
	"fmt"
	"strconv"
)

// ErrConflict is returned by Store.Swap if the key does not have the expected revision.
var ErrConflict = errors.New("the key does not have the expected revision")

// ErrLeaseExpired is returned by Store.Renew if the lease no longer exists.
var ErrLeaseExpired = errors.New("the lease has expired")

// ErrCompacted is returned by Store.Watch if the store no longer has the history after the revision.
var ErrCompacted = errors.New("the history after the revision has been compacted")

// ErrRestored is returned by Store.Watch if the store has come back from an older copy since the revision. It wraps
// ErrCompacted.
var ErrRestored = fmt.Errorf("the store has come back from an older copy: %w", ErrCompacted)

// eraShift is the position of the era in a StoreRevision.
const eraShift = 40

// StoreRevision is a point in the store's history: the store's own revision below the number of its era. A store that comes
// back from an older copy begins a new era and assigns revisions again, so revisions of different eras compare by their eras.
type StoreRevision uint64

// NewStoreRevision returns the point at which the store has the given revision in an era.
func NewStoreRevision(era, revision uint64) StoreRevision {
	return StoreRevision(era<<eraShift | revision&(1<<eraShift-1))
}

// Era returns the number of the store's era.
func (r StoreRevision) Era() uint64 { return uint64(r >> eraShift) }

// InEra returns the store's own revision.
func (r StoreRevision) InEra() uint64 { return uint64(r & (1<<eraShift - 1)) }

// String returns the revision with its era in front, if the store counts eras.
func (r StoreRevision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.InEra(), 10)
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.InEra())
}

// StoreEntry is a key of the platform's key-value service with its value, or the deletion of a key.
type StoreEntry struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value,omitempty"`
	Revision StoreRevision `json:"revision"`
	// Lease is the lease that the key is bound to, or "".
	Lease   string `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// Age is the time in milliseconds since a daemon first read the change from the store. It is set in updates between daemons.
	Age Millis `json:"age,omitempty"`
}

// StoreBatch is the result of a list or a watch, with the store's revision at that time.
type StoreBatch struct {
	Entries  []StoreEntry  `json:"entries"`
	Revision StoreRevision `json:"revision"`
	// More reports whether a list continues after its last entry.
	More bool `json:"more,omitempty"`
}

// Store is the platform's key-value service. The outcome of a write that fails with another error than ErrConflict is
// unknown.
type Store interface {
	// Get returns the entry of a key. A missing key has revision 0.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// List returns one page of the entries under a prefix that follow the key after, in key order.
	List(ctx context.Context, prefix, after string) (StoreBatch, error)
	// Swap writes a key if it has the expected revision. 0 means that the key must not exist.
	Swap(ctx context.Context, key string, value []byte, expect StoreRevision, lease string) (StoreEntry, error)
	// Grant creates a lease of a length in milliseconds and returns its ID.
	Grant(ctx context.Context, length Millis) (string, error)
	// Renew extends a lease to its full length from now. It returns ErrLeaseExpired if the lease no longer exists.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes the keys that are bound to it.
	Revoke(ctx context.Context, lease string) error
	// Watch returns the entries under a prefix that were changed or deleted after a revision. It waits up to the given
	// time for the first.
	Watch(ctx context.Context, prefix string, after StoreRevision, wait Millis) (StoreBatch, error)
}
