package mirror

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func put(key string, revision daisygap.StoreRevision) daisygap.StoreEntry {
	return daisygap.StoreEntry{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func deleted(key string, revision daisygap.StoreRevision) daisygap.StoreEntry {
	return daisygap.StoreEntry{Key: key, Revision: revision, Deleted: true}
}

func TestOldUpdatesChangeNothing(t *testing.T) {
	var m Mirror
	m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("a", 3), put("b", 4)}, Revision: 5, Full: true})
	m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{deleted("b", 6), put("a", 7)}, Revision: 7})
	for _, u := range []daisygap.StoreUpdate{
		{Entries: []daisygap.StoreEntry{put("a", 3), put("b", 4)}, Revision: 5, Full: true},
		{Entries: []daisygap.StoreEntry{put("b", 4)}, Revision: 4},
		{Entries: []daisygap.StoreEntry{deleted("a", 6)}, Revision: 6},
		{Entries: nil, Revision: 6, Full: true},
	} {
		if changed := m.Apply(u); len(changed) > 0 {
			t.Errorf("%+v changed %+v", u, changed)
		}
	}
	if diff := cmp.Diff([]daisygap.StoreEntry{put("a", 7)}, m.Entries()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if m.Revision() != 7 {
		t.Errorf("revision %d, want 7", m.Revision())
	}
}

func TestFullCopyDeletesMissingEntries(t *testing.T) {
	var m Mirror
	m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("a", 1), put("b", 2)}, Revision: 2, Full: true})
	m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("c", 9)}, Revision: 9})
	changed := m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("a", 1)}, Revision: 8, Full: true})
	if diff := cmp.Diff([]daisygap.StoreEntry{deleted("b", 8)}, changed); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestCopiesConverge applies random parts of a history to several copies, from the store and from each other, in any order. In the
// end all copies must hold the same entries.
func TestCopiesConverge(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		store := make(map[string]daisygap.StoreEntry)
		var history []daisygap.StoreEntry
		copies := make([]Mirror, 4)
		for revision := daisygap.StoreRevision(1); revision <= 200; revision++ {
			history = append(history, changeRandomly(r, store, revision))
			m := &copies[r.IntN(len(copies))]
			switch r.IntN(3) {
			case 0:
				m.Apply(full(store, revision))
			case 1:
				m.Apply(daisygap.StoreUpdate{Entries: history[m.Revision():], Revision: revision})
			case 2:
				m.Apply(copies[r.IntN(len(copies))].Since(m.Revision()))
			}
		}
		copies[0].Apply(full(store, 200))
		want := copies[0].Entries()
		for i := range copies {
			copies[i].Apply(copies[0].Since(copies[i].Revision()))
			if diff := cmp.Diff(want, copies[i].Entries()); diff != "" {
				t.Fatalf("seed %d, copy %d (-want +got):\n%s", seed, i, diff)
			}
		}
	}
}

// changeRandomly writes or deletes one of twelve keys, and returns the change.
func changeRandomly(r *rand.Rand, store map[string]daisygap.StoreEntry, revision daisygap.StoreRevision) daisygap.StoreEntry {
	e := put(fmt.Sprint("k", r.IntN(12)), revision)
	if _, known := store[e.Key]; known && r.IntN(3) == 0 {
		delete(store, e.Key)
		return deleted(e.Key, revision)
	}
	store[e.Key] = e
	return e
}

// TestCopiesConvergeAfterRestores is like TestCopiesConverge with a store that comes back from an older copy now and then and
// assigns revisions again.
func TestCopiesConvergeAfterRestores(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 11))
		store, saved := make(map[string]daisygap.StoreEntry), make(map[string]daisygap.StoreEntry)
		var history []daisygap.StoreEntry
		var era, last, savedLast uint64
		copies := make([]Mirror, 4)
		now := func() daisygap.StoreRevision { return daisygap.NewStoreRevision(era, last) }
		for range 300 {
			switch r.IntN(25) {
			case 0:
				saved, savedLast = maps.Clone(store), last
			case 1:
				store, last, history = maps.Clone(saved), savedLast, nil
				era++
				for key, e := range store {
					e.Revision = daisygap.NewStoreRevision(era, e.Revision.InEra())
					store[key] = e
				}
			}
			last++
			history = append(history, changeRandomly(r, store, now()))
			m := &copies[r.IntN(len(copies))]
			switch r.IntN(3) {
			case 0:
				m.Apply(full(store, now()))
			case 1:
				if m.Revision() == 0 || m.Revision().Era() != era {
					break
				}
				u := daisygap.StoreUpdate{Revision: now()}
				for _, e := range history {
					if e.Revision > m.Revision() {
						u.Entries = append(u.Entries, e)
					}
				}
				m.Apply(u)
			case 2:
				m.Apply(copies[r.IntN(len(copies))].Since(m.Revision()))
			}
		}
		copies[0].Apply(full(store, now()))
		for i := range copies {
			copies[i].Apply(copies[0].Since(copies[i].Revision()))
			got := make(map[string]daisygap.StoreEntry)
			for _, e := range copies[i].Entries() {
				got[e.Key] = e
			}
			if diff := cmp.Diff(store, got); diff != "" {
				t.Fatalf("seed %d, copy %d (-want +got):\n%s", seed, i, diff)
			}
		}
	}
}

func full(store map[string]daisygap.StoreEntry, revision daisygap.StoreRevision) daisygap.StoreUpdate {
	u := daisygap.StoreUpdate{Revision: revision, Full: true}
	for _, e := range store {
		u.Entries = append(u.Entries, e)
	}
	return u
}

// TestFullCopyReachesOthersAsChanges guards against a relay that read all entries again, because the store had lost its history,
// and then sent all of them to each daemon that waits for changes.
func TestFullCopyReachesOthersAsChanges(t *testing.T) {
	store := make(map[string]daisygap.StoreEntry)
	for revision := daisygap.StoreRevision(1); revision <= 2*maxLogEntries; revision++ {
		key := fmt.Sprint("k", revision)
		store[key] = put(key, revision)
	}
	var relay, follower Mirror
	relay.Apply(full(store, 2*maxLogEntries))
	follower.Apply(relay.Since(0))
	store["k7"] = put("k7", 2*maxLogEntries+1)
	store["new"] = put("new", 2*maxLogEntries+2)
	delete(store, "k8")
	relay.Apply(full(store, 2*maxLogEntries+3))
	u := relay.Since(follower.Revision())
	if u.Full || len(u.Entries) != 3 {
		t.Errorf("full=%v with %d entries, want 3 changes", u.Full, len(u.Entries))
	}
	follower.Apply(u)
	if diff := cmp.Diff(relay.Entries(), follower.Entries()); diff != "" {
		t.Errorf("(-relay +follower):\n%s", diff)
	}
}

// TestEntryWithinAGapIsDeleted guards against an entry that stays for good at a daemon that saw it being written, because the
// daemon asks another one whose copy skips over both the write and the deletion.
func TestEntryWithinAGapIsDeleted(t *testing.T) {
	var relay, follower, other Mirror
	start := daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("a", 1)}, Revision: 1, Full: true}
	for _, m := range []*Mirror{&relay, &follower, &other} {
		m.Apply(start)
	}
	other.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("short", 2)}, Revision: 2})
	relay.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("a", 1)}, Revision: 9, Full: true})
	follower.Apply(relay.Since(follower.Revision()))
	other.Apply(follower.Since(other.Revision()))
	if diff := cmp.Diff(relay.Entries(), other.Entries()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestLaggingCopyGetsFullUpdate(t *testing.T) {
	var m Mirror
	m.Apply(daisygap.StoreUpdate{Revision: 1, Full: true})
	for revision := daisygap.StoreRevision(2); revision < 3*maxLogEntries; revision++ {
		m.Apply(daisygap.StoreUpdate{Entries: []daisygap.StoreEntry{put("k", revision)}, Revision: revision})
	}
	if u := m.Since(3); !u.Full {
		t.Error("a copy that is further behind than the log got no full update")
	}
	if u := m.Since(3*maxLogEntries - 3); u.Full || len(u.Entries) != 2 {
		t.Errorf("a copy that is two revisions behind got full=%v and %d entries, want 2 changes", u.Full, len(u.Entries))
	}
}

// TestChangesBetweenPagesReachFollowers guards against a change that a first load in pages already contains, and that the log for other
// daemons would therefore never get.
func TestChangesBetweenPagesReachFollowers(t *testing.T) {
	var m, follower Mirror
	m.Apply(daisygap.StoreUpdate{Full: true, Revision: 10, Entries: []daisygap.StoreEntry{{Key: "a", Revision: 5}, {Key: "b", Revision: 12}}})
	follower.Apply(daisygap.StoreUpdate{Full: true, Revision: 10, Entries: []daisygap.StoreEntry{{Key: "a", Revision: 5}, {Key: "b", Revision: 7}}})
	m.Apply(daisygap.StoreUpdate{Revision: 13, Entries: []daisygap.StoreEntry{{Key: "b", Revision: 12}, {Key: "c", Revision: 13}}})
	follower.Apply(m.Since(follower.Revision()))
	if diff := cmp.Diff(m.Entries(), follower.Entries()); diff != "" {
		t.Errorf("follower (-want +got):\n%s", diff)
	}
}
