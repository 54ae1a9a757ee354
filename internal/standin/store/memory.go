package store

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/daisygap/daisygap"
)

// lease is a lease and the keys that are deleted when it ends.
type lease struct {
	ttl       daisygap.Millis
	expiresAt daisygap.Millis
	keys      map[string]bool
}

const (
	// pageSize is the maximum number of entries that List returns.
	pageSize = 500
	// historySize is the number of changes that are kept for watches. Older changes are compacted.
	historySize = 10_000
)

// Counts are the numbers of calls since the start.
type Counts struct {
	Reads int64
	// Writes are the writes of keys and the operations on leases.
	Writes  int64
	Watches int64
	// Waiting is the number of watches that are waiting now.
	Waiting int64
}

// Memory is a key-value store with leases and a history of changes. It is safe for concurrent use.
type Memory struct {
	Clock *daisygap.Clock

	mu       sync.Mutex
	entries  map[string]daisygap.StoreEntry
	leases   map[string]*lease
	revision daisygap.StoreRevision
	// history holds the changes after revision compacted; older ones are no longer available.
	history   []daisygap.StoreEntry
	compacted daisygap.StoreRevision
	lastLease int
	// changed is closed and replaced on every change, to wake up the watches.
	changed chan struct{}
	counts  Counts
	era     uint64
}

// Copy is the state of a store at one moment.
type Copy struct {
	entries  map[string]daisygap.StoreEntry
	leases   map[string]lease
	history  []daisygap.StoreEntry
	revision daisygap.StoreRevision
}

// NewMemory returns an empty store.
func NewMemory(clock *daisygap.Clock) *Memory {
	return &Memory{
		Clock:   clock,
		entries: make(map[string]daisygap.StoreEntry),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
	}
}

// Counts returns the numbers of calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get returns an entry. A missing key has revision 0.
func (m *Memory) Get(_ context.Context, key string) (daisygap.StoreEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.counts.Reads++
	e := m.entries[key]
	e.Key = key
	return e, nil
}

// List returns one page of the entries under a prefix, starting after the given key.
func (m *Memory) List(_ context.Context, prefix, after string) (daisygap.StoreBatch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.counts.Reads++
	found := m.entriesUnder(prefix, func(e daisygap.StoreEntry) bool { return e.Key > after })
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	return daisygap.StoreBatch{Entries: found, Revision: m.revision, More: more}, nil
}

// Swap writes a key if its revision is the expected one. An empty value deletes the key. It returns ErrConflict and the
// current entry if the revision differs, and ErrLeaseExpired if the lease doesn't exist.
func (m *Memory) Swap(_ context.Context, key string, value []byte, expect daisygap.StoreRevision, leaseName string) (daisygap.StoreEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.counts.Writes++
	if current := m.entries[key]; current.Revision != expect {
		return current, daisygap.ErrConflict
	}
	if leaseName != "" {
		l := m.leases[leaseName]
		if l == nil {
			return daisygap.StoreEntry{}, daisygap.ErrLeaseExpired
		}
		l.keys[key] = true
	}
	return m.put(key, value, leaseName), nil
}

// Grant creates a lease and returns its name.
func (m *Memory) Grant(_ context.Context, ttl daisygap.Millis) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	m.lastLease++
	name := strconv.Itoa(m.lastLease)
	m.leases[name] = &lease{ttl: ttl, expiresAt: m.Clock.Now() + ttl, keys: make(map[string]bool)}
	return name, nil
}

// Renew extends a lease by its full duration from now. It returns ErrLeaseExpired if the lease doesn't exist.
func (m *Memory) Renew(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.counts.Writes++
	l := m.leases[name]
	if l == nil {
		return daisygap.ErrLeaseExpired
	}
	l.expiresAt = m.Clock.Now() + l.ttl
	return nil
}

// Revoke ends a lease and deletes its keys. Revoking a lease that doesn't exist isn't an error.
func (m *Memory) Revoke(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if l := m.leases[name]; l != nil {
		m.dropLease(name, l)
	}
	return nil
}

// Watch waits for changes under a prefix after a revision, and returns an empty batch if there are none within the wait
// time. It returns ErrCompacted if the history no longer reaches back to that revision.
func (m *Memory) Watch(ctx context.Context, prefix string, after daisygap.StoreRevision, wait daisygap.Millis) (daisygap.StoreBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	m.mu.Lock()
	m.counts.Watches++
	m.counts.Waiting++
	defer func() {
		m.counts.Waiting--
		m.mu.Unlock()
	}()
	for {
		m.expireLeases()
		if after < m.compacted || after > m.revision {
			return daisygap.StoreBatch{}, daisygap.ErrCompacted
		}
		found := m.changesAfter(prefix, after)
		if len(found) > 0 || ctx.Err() != nil {
			return daisygap.StoreBatch{Entries: found, Revision: m.revision}, nil
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		m.mu.Lock()
	}
}

// Copy returns the current state.
func (m *Memory) Copy() *Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &Copy{entries: maps.Clone(m.entries), leases: make(map[string]lease), history: slices.Clone(m.history), revision: m.revision}
	for name, l := range m.leases {
		c.leases[name] = lease{ttl: l.ttl, keys: maps.Clone(l.keys)}
	}
	return c
}

// Restore returns to the state of a copy and begins a new era. Leases of the copy run from now. Revisions and leases are assigned
// again, and watches from a later revision fail with ErrCompacted.
func (m *Memory) Restore(c *Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries, m.history, m.revision = maps.Clone(c.entries), slices.Clone(c.history), c.revision
	m.leases, m.lastLease = make(map[string]*lease), 0
	for name, l := range c.leases {
		m.leases[name] = &lease{ttl: l.ttl, expiresAt: m.Clock.Now() + l.ttl, keys: maps.Clone(l.keys)}
		if id, err := strconv.Atoi(name); err == nil {
			m.lastLease = max(m.lastLease, id)
		}
	}
	m.era++
	close(m.changed)
	m.changed = make(chan struct{})
}

// currentEra returns the number of restores.
func (m *Memory) currentEra() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Compact drops the history of changes, so that watches from older revisions fail with ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compacted = nil, m.revision
}

func (m *Memory) changesAfter(prefix string, after daisygap.StoreRevision) []daisygap.StoreEntry {
	var changes []daisygap.StoreEntry
	for _, e := range m.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			changes = append(changes, e)
		}
	}
	return changes
}

func (m *Memory) entriesUnder(prefix string, keep func(daisygap.StoreEntry) bool) []daisygap.StoreEntry {
	var found []daisygap.StoreEntry
	for _, e := range m.entries {
		if strings.HasPrefix(e.Key, prefix) && keep(e) {
			found = append(found, e)
		}
	}
	return found
}

func (m *Memory) put(key string, value []byte, leaseName string) daisygap.StoreEntry {
	m.revision++
	e := daisygap.StoreEntry{Key: key, Value: value, Revision: m.revision, Lease: leaseName, Deleted: len(value) == 0}
	if e.Deleted {
		delete(m.entries, key)
	} else {
		m.entries[key] = e
	}
	m.history = append(m.history, e)
	if len(m.history) > historySize {
		m.compacted = m.history[0].Revision
		m.history = m.history[1:]
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return e
}

// expireLeases drops the leases that have expired. Every operation that depends on leases calls it first. The caller
// must hold m.mu.
func (m *Memory) expireLeases() {
	now := m.Clock.Now()
	for name, l := range m.leases {
		if now >= l.expiresAt {
			m.dropLease(name, l)
		}
	}
}

func (m *Memory) dropLease(name string, l *lease) {
	delete(m.leases, name)
	for key := range l.keys {
		if m.entries[key].Lease == name {
			m.put(key, nil, "")
		}
	}
}
