package mirror

import (
	"slices"
	"sort"

	"github.com/daisygap/daisygap"
)

// maxLogEntries is the number of changes kept for other daemons. A daemon that is further behind gets a full copy.
const maxLogEntries = 1_000

// Mirror is a copy of the store as of a revision. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]daisygap.StoreEntry
	// tombstones holds the revisions of deletions, so that an older write can't restore an entry.
	tombstones map[string]daisygap.StoreRevision
	// log holds the latest changes. It is complete from the revision after logStart on.
	log      []daisygap.StoreEntry
	logStart daisygap.StoreRevision
	// gaps holds the ranges of revisions that the log skips. It leads over a gap as a whole, but not from a revision within it.
	gaps     []gap
	revision daisygap.StoreRevision
}

// gap is a range of revisions between two states of the copy whose single changes are unknown. An entry that was written and
// deleted within it doesn't appear in the log.
type gap struct{ from, to daisygap.StoreRevision }

func (g gap) contains(revision daisygap.StoreRevision) bool {
	return g.from < revision && revision < g.to
}

// Revision returns the revision up to which the copy is complete, or 0 before the first full copy.
func (m *Mirror) Revision() daisygap.StoreRevision {
	return m.revision
}

// Entries returns the entries sorted by key.
func (m *Mirror) Entries() []daisygap.StoreEntry {
	list := make([]daisygap.StoreEntry, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Entry returns the entry of a key. If there is none, its revision is 0.
func (m *Mirror) Entry(key string) daisygap.StoreEntry {
	return m.entries[key]
}

// Apply applies an update and returns the entries that changed. Changes that are older than the known entries are ignored.
func (m *Mirror) Apply(u daisygap.StoreUpdate) []daisygap.StoreEntry {
	if m.entries == nil {
		m.entries = make(map[string]daisygap.StoreEntry)
		m.tombstones = make(map[string]daisygap.StoreRevision)
	}
	var changed []daisygap.StoreEntry
	present := make(map[string]bool)
	for _, e := range u.Entries {
		present[e.Key] = true
		if m.applyEntry(e) {
			changed = append(changed, e)
		}
	}
	if u.Full {
		changed = append(changed, m.deleteMissing(present, u.Revision)...)
	}
	m.appendLog(changed, u)
	m.revision = max(m.revision, u.Revision)
	return changed
}

// applyEntry applies a write or a deletion, and reports whether it changed the copy.
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

// deleteMissing deletes the entries that are missing from a full copy of the given revision and were not written after it.
func (m *Mirror) deleteMissing(present map[string]bool, revision daisygap.StoreRevision) []daisygap.StoreEntry {
	var deleted []daisygap.StoreEntry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= revision {
			delete(m.entries, key)
			m.tombstones[key] = revision
			deleted = append(deleted, daisygap.StoreEntry{Key: key, Revision: revision, Deleted: true})
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Key < deleted[j].Key })
	return deleted
}

// pruneTombstones removes tombstones from before the start of the log. An older write could only come from a copy that is behind
// this one, and Since never sends such a copy.
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

// appendLog appends changes to the log. The first full copy starts the log, because the changes before it are unknown. It may contain
// later changes, which were made while it was read in pages. A later copy adds the difference to the former state, so that daemons that
// have that state get only the difference.
func (m *Mirror) appendLog(changed []daisygap.StoreEntry, u daisygap.StoreUpdate) {
	if u.Full && m.revision == 0 {
		m.log = slices.DeleteFunc(slices.Clone(changed), func(e daisygap.StoreEntry) bool { return e.Revision <= u.Revision })
		m.logStart = u.Revision
		return
	}
	if (u.Full || u.Skips) && u.Revision > m.revision {
		m.gaps = append(m.gaps, gap{m.revision, u.Revision})
	}
	m.log = append(m.log, changed...)
	excess := len(m.log) - maxLogEntries
	if excess <= 0 {
		return
	}
	// The difference to a full copy is not in the order of the revisions.
	for _, e := range m.log[:excess] {
		m.logStart = max(m.logStart, e.Revision)
	}
	m.log = append([]daisygap.StoreEntry(nil), m.log[excess:]...)
	m.gaps = slices.DeleteFunc(m.gaps, func(g gap) bool { return g.to <= m.logStart })
}

// Since returns the changes after a revision, or a full copy if the log doesn't lead there from it.
func (m *Mirror) Since(revision daisygap.StoreRevision) daisygap.StoreUpdate {
	if revision >= m.revision {
		return daisygap.StoreUpdate{Revision: m.revision}
	}
	if revision < m.logStart || revision == 0 || slices.ContainsFunc(m.gaps, func(g gap) bool { return g.contains(revision) }) {
		return daisygap.StoreUpdate{Entries: m.Entries(), Revision: m.revision, Full: true}
	}
	u := daisygap.StoreUpdate{Revision: m.revision}
	u.Skips = slices.ContainsFunc(m.gaps, func(g gap) bool { return g.to > revision })
	for _, e := range m.log {
		if e.Revision > revision {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}
