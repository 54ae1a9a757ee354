package daisygap

import (
	"context"
	"errors"
)

// ErrConflict is returned by Store.Swap when the key's revision is not the expected one.
var ErrConflict = errors.New("the key has another revision")

// ErrLeaseExpired is returned by Store.Renew when the lease no longer exists.
var ErrLeaseExpired = errors.New("the lease has lapsed")

// ErrCompacted is returned by Store.Watch when the history after the revision is no longer kept.
var ErrCompacted = errors.New("the history is no longer kept")

// StoreEntry is one key of the platform's key-value service, or its deletion.
type StoreEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Lease is the lease that the key ends with, or "".
	Lease   string `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// StoreBatch is what a list or a watch returns, with the store's revision at that time.
type StoreBatch struct {
	Entries  []StoreEntry `json:"entries"`
	Revision uint64       `json:"revision"`
	// More tells that a list goes on after its last entry.
	More bool `json:"more,omitempty"`
}

// Store is the platform's key-value service; an error other than ErrConflict leaves a write's outcome unknown.
type Store interface {
	// Get returns the entry of a key; a missing key has revision 0.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// List returns one page of the entries after a key under a prefix, in key order.
	List(ctx context.Context, prefix, after string) (StoreBatch, error)
	// Swap writes a key if its revision is the expected one; 0 means that the key must not exist.
	Swap(ctx context.Context, key string, value []byte, expect uint64, lease string) (StoreEntry, error)
	// Grant opens a lease of a length in milliseconds and returns its name.
	Grant(ctx context.Context, length Millis) (string, error)
	// Renew extends a lease to its full length from now, or returns ErrLapsed.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes the keys that were written under it.
	Revoke(ctx context.Context, lease string) error
	// Watch returns the entries under a prefix changed or deleted after a revision, waiting up to a span for the first.
	Watch(ctx context.Context, prefix string, after uint64, wait Millis) (StoreBatch, error)
}
