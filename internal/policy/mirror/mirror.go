package mirror

import (
	"sort"

	"github.com/daisygap/daisygap"
)

// maxLogEntries is the number of changes kept for other daemons; a daemon that lags further takes a full copy.
const maxLogEntries = 1_000

// Mirror is a copy of the store as of a revision; it is not safe for concurrent use.
type Mirror struct {
	entries map[string]daisygap.StoreEntry
	// tombstones holds the revisions of deletions, so that an older write can't bring an entry back.
	tombstones map[string]uint64
	log        []daisygap.StoreEntry
	logStart   uint64
	revision   uint64
}

// Revision returns the revision up to which the copy is complete; 0 before the first full copy.
func (m *Mirror) Revision() uint64 {
	return m.revision
}

// Entries returns the entries in the order of their keys.
func (m *Mirror) Entries() []daisygap.StoreEntry {
	list := make([]daisygap.StoreEntry, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Entry returns the entry of a key; a missing one has revision 0.
func (m *Mirror) Entry(key string) daisygap.StoreEntry {
	return m.entries[key]
}

// Apply takes an update in and returns what changed; changes older than what is known are passed over.
func (m *Mirror) Apply(u daisygap.StoreUpdate) []daisygap.StoreEntry {
	if m.entries == nil {
		m.entries = make(map[string]daisygap.StoreEntry)
		m.tombstones = make(map[string]uint64)
	}
	var changed []daisygap.StoreEntry
	named := make(map[string]bool)
	for _, e := range u.Entries {
		named[e.Key] = true
		if m.applyEntry(e) {
			changed = append(changed, e)
		}
	}
	if u.Full {
		changed = append(changed, m.deleteMissing(named, u.Revision)...)
	}
	m.appendLog(changed, u)
	m.revision = max(m.revision, u.Revision)
	return changed
}

// applyEntry reports whether an entry is newer than what is known.
func (m *Mirror) applyEntry(e daisygap.StoreEntry) bool {
	if e.Revision <= m.entries[e.Key].Revision || e.Revision <= m.tombstones[e.Key] {
		return false
	}
	if e.Deleted {
		_, known := m.entries[e.Key]
		delete(m.entries, e.Key)
		m.tombstones[e.Key] = e.Revision
		m.pruneTombstones()
		return known
	}
	delete(m.tombstones, e.Key)
	m.entries[e.Key] = e
	return true
}

// deleteMissing deletes what a full copy doesn't hold and wasn't written after it.
func (m *Mirror) deleteMissing(named map[string]bool, revision uint64) []daisygap.StoreEntry {
	var gone []daisygap.StoreEntry
	for key, e := range m.entries {
		if !named[key] && e.Revision <= revision {
			delete(m.entries, key)
			m.tombstones[key] = revision
			gone = append(gone, daisygap.StoreEntry{Key: key, Revision: revision, Deleted: true})
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Key < gone[j].Key })
	return gone
}

// pruneTombstones forgets old deletions; an entry that old can only come from a copy that is older still, which Since never sends.
func (m *Mirror) pruneTombstones() {
	if len(m.tombstones) <= 2*maxLogEntries {
		return
	}
	for key, revision := range m.tombstones {
		if revision < m.logStart {
			delete(m.tombstones, key)
		}
	}
}

// appendLog keeps the changes for other daemons; after a full copy the history starts anew.
func (m *Mirror) appendLog(changed []daisygap.StoreEntry, u daisygap.StoreUpdate) {
	if u.Full {
		if u.Revision > m.revision {
			m.log, m.logStart = nil, u.Revision
		}
		return
	}
	m.log = append(m.log, changed...)
	if over := len(m.log) - maxLogEntries; over > 0 {
		m.logStart = m.log[over-1].Revision
		m.log = append([]daisygap.StoreEntry(nil), m.log[over:]...)
	}
}

// Since returns what a daemon that is up to a revision lacks.
func (m *Mirror) Since(revision uint64) daisygap.StoreUpdate {
	if revision >= m.revision {
		return daisygap.StoreUpdate{Revision: m.revision}
	}
	if revision < m.logStart || revision == 0 {
		return daisygap.StoreUpdate{Entries: m.Entries(), Revision: m.revision, Full: true}
	}
	u := daisygap.StoreUpdate{Revision: m.revision}
	for _, e := range m.log {
		if e.Revision > revision {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}
