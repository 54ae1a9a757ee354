package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/daisygap/daisygap"
)

const (
	totalsPrefix = "totals/"
	minuteMillis = daisygap.Millis(60_000)
	// storedMinutes is the number of minutes of totals that the store keeps.
	storedMinutes = 24 * 60
	// openMinutes is the number of minutes that a leaseholder keeps in memory to add late counts.
	openMinutes = 3
)

type totalKey struct {
	Minute int64
	Reason daisygap.Reason
	Kind   string
	Rank   daisygap.Rank
}

// refusalTotals counts refusals per minute. The counts of an incarnation only grow, so they can be sent repeatedly.
type refusalTotals struct {
	mu     sync.Mutex
	counts map[totalKey]int64
	// acked holds the counts that the leaseholder has acknowledged.
	acked map[totalKey]int64
	// byMinute holds the counts of all incarnations of the domain while this daemon is the leaseholder.
	byMinute map[int64]map[string]map[totalKey]int64
	// dirty is the set of minutes that changed since they were last written to the store.
	dirty map[int64]bool
}

func (t *refusalTotals) add(r *daisygap.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[totalKey{int64(r.Time / minuteMillis), r.Reason, r.Kind, r.Rank}]++
}

// unacked returns the counts that changed since the leaseholder last acknowledged them.
func (t *refusalTotals) unacked() []daisygap.RefusalTotal {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []daisygap.RefusalTotal
	for key, n := range t.counts {
		if n != t.acked[key] {
			list = append(list, daisygap.RefusalTotal{Minute: key.Minute, Reason: key.Reason, Kind: key.Kind, Rank: key.Rank, Count: n})
		}
	}
	return list
}

// acknowledge records the counts that the leaseholder has, and drops old minutes.
func (t *refusalTotals) acknowledge(totals []daisygap.RefusalTotal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acked == nil {
		t.acked = make(map[totalKey]int64)
	}
	newest := int64(0)
	for _, total := range totals {
		t.acked[totalKey{total.Minute, total.Reason, total.Kind, total.Rank}] = total.Count
		newest = max(newest, total.Minute)
	}
	for key, n := range t.counts {
		if key.Minute < newest-openMinutes && t.acked[key] == n {
			delete(t.counts, key)
			delete(t.acked, key)
		}
	}
}

// resetAcked makes all open counts be sent again to a new leaseholder, which may lack what its predecessor had.
func (t *refusalTotals) resetAcked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked = nil
}

// merge adds the counts of one incarnation.
func (t *refusalTotals) merge(incarnation string, totals []daisygap.RefusalTotal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byMinute == nil {
		t.byMinute = make(map[int64]map[string]map[totalKey]int64)
		t.dirty = make(map[int64]bool)
	}
	for _, total := range totals {
		minute := t.byMinute[total.Minute]
		if minute == nil {
			minute = make(map[string]map[totalKey]int64)
			t.byMinute[total.Minute] = minute
		}
		if minute[incarnation] == nil {
			minute[incarnation] = make(map[totalKey]int64)
		}
		key := totalKey{total.Minute, total.Reason, total.Kind, total.Rank}
		minute[incarnation][key] = max(minute[incarnation][key], total.Count)
		t.dirty[total.Minute] = true
	}
}

// totalsValue is the stored value of one minute and domain: the counts by incarnation.
type totalsValue map[string][]daisygap.RefusalTotal

// takeDirty returns the minutes that changed since they were last written.
func (t *refusalTotals) takeDirty() map[int64]totalsValue {
	t.mu.Lock()
	defer t.mu.Unlock()
	values := make(map[int64]totalsValue)
	for minute := range t.dirty {
		values[minute] = toTotalsValue(t.byMinute[minute])
	}
	t.dirty = make(map[int64]bool)
	return values
}

func toTotalsValue(byIncarnation map[string]map[totalKey]int64) totalsValue {
	value := make(totalsValue)
	for incarnation, counts := range byIncarnation {
		for key, n := range counts {
			value[incarnation] = append(value[incarnation], daisygap.RefusalTotal{
				Minute: key.Minute, Reason: key.Reason, Kind: key.Kind, Rank: key.Rank, Count: n,
			})
		}
	}
	return value
}

func (t *refusalTotals) markDirty(minute int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dirty[minute] = true
}

// prune drops minutes that are no longer open. A leaseholder keeps those that are not stored yet.
func (t *refusalTotals) prune(before int64, isLeaseholder bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for minute := range t.byMinute {
		if minute < before && (!isLeaseholder || !t.dirty[minute]) {
			delete(t.byMinute, minute)
			delete(t.dirty, minute)
		}
	}
}

// runTotals writes the domain's totals to the store while this daemon is the leaseholder.
func (d *Daemon) runTotals() {
	for d.pause(d.withJitter(d.Timing.TotalsInterval)) {
		d.dropIdleSnapshot()
		now := int64(d.Clock.Wall() / minuteMillis)
		d.totals.prune(now-openMinutes, d.IsLeaseholder())
		if !d.holdsStoreLease() {
			continue
		}
		for minute, value := range d.totals.takeDirty() {
			if err := d.writeTotals(d.ctx, minute, value); err != nil {
				d.Log.With("totals").Debugf("cannot store totals of minute %d: %v", minute, err)
				d.totals.markDirty(minute)
			}
		}
		d.deleteOldTotals(d.ctx, now-storedMinutes)
	}
}

func (d *Daemon) totalsKey(minute int64) string {
	return fmt.Sprintf("%s%s/%012d", totalsPrefix, d.Settings.Domain, minute)
}

// writeTotals merges one minute into the store; it can be repeated, because counts only grow.
func (d *Daemon) writeTotals(ctx context.Context, minute int64, value totalsValue) error {
	key := d.totalsKey(minute)
	entry, err := d.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry.Revision > 0 {
		var stored totalsValue
		if err := json.Unmarshal(entry.Value, &stored); err == nil {
			for incarnation, totals := range stored {
				if _, ok := value[incarnation]; !ok {
					value[incarnation] = totals
				}
			}
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = d.Store.Swap(ctx, key, data, entry.Revision, "")
	return err
}

// deleteOldTotals deletes the oldest stored minute if it is older than the given one.
func (d *Daemon) deleteOldTotals(ctx context.Context, before int64) {
	batch, err := d.Store.List(ctx, totalsPrefix+d.Settings.Domain+"/", "")
	if err != nil || len(batch.Entries) == 0 || batch.Entries[0].Key >= d.totalsKey(before) {
		return
	}
	old := batch.Entries[0]
	if _, err := d.Store.Swap(ctx, old.Key, nil, old.Revision, ""); err != nil && !errors.Is(err, daisygap.ErrConflict) {
		d.Log.With("totals").Debugf("cannot delete old totals: %v", err)
	}
}

// ServeRefusalTotals returns the counts of the open minutes: a leaseholder's for its domain, another daemon's for itself.
func (d *Daemon) ServeRefusalTotals() []daisygap.RefusalTotal {
	isLeaseholder := d.IsLeaseholder()
	if isLeaseholder {
		d.totals.merge(d.incarnation, d.totals.unacked())
	}
	d.totals.mu.Lock()
	defer d.totals.mu.Unlock()
	if !isLeaseholder {
		return d.sortedTotals(d.totals.counts)
	}
	sums := make(map[totalKey]int64)
	for _, byIncarnation := range d.totals.byMinute {
		for _, counts := range byIncarnation {
			for key, n := range counts {
				sums[key] += n
			}
		}
	}
	return d.sortedTotals(sums)
}

func (d *Daemon) sortedTotals(sums map[totalKey]int64) []daisygap.RefusalTotal {
	var list []daisygap.RefusalTotal
	for key, n := range sums {
		list = append(list, daisygap.RefusalTotal{
			Minute: key.Minute, Reason: key.Reason, Kind: key.Kind, Rank: key.Rank, Domain: d.Settings.Domain, Count: n,
		})
	}
	SortTotals(list)
	return list
}

// SortTotals orders totals by minute, domain, kind and reason.
func SortTotals(list []daisygap.RefusalTotal) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Minute != b.Minute {
			return a.Minute < b.Minute
		}
		if a.Domain != b.Domain {
			return a.Domain < b.Domain
		}
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Reason < b.Reason
	})
}

// RefusalTotals sums the refusals of all domains, from the daemons for the open minutes and from the store for the
// others. It also returns the names of what it could not reach.
func (d *Daemon) RefusalTotals(ctx context.Context) (list []daisygap.RefusalTotal, missing []string) {
	stored, err := d.storedTotals(ctx)
	if err != nil {
		missing = append(missing, "the store")
	}
	counts := make(map[daisygap.RefusalTotal]int64)
	add := func(t daisygap.RefusalTotal) {
		n := t.Count
		t.Count = 0
		counts[t] = max(counts[t], n)
	}
	for _, t := range stored {
		add(t)
	}
	for name, r := range d.gossip.snapshot() {
		live, ok := d.liveTotals(ctx, r)
		if !ok {
			missing = append(missing, "domain "+name)
		}
		for _, t := range live {
			add(t)
		}
	}
	for t, n := range counts {
		t.Count = n
		list = append(list, t)
	}
	SortTotals(list)
	sort.Strings(missing)
	return list, missing
}

// liveTotals returns the open minutes of all daemons of a domain. The leaseholder's include the others', so the caller has
// to take the maximum of equal keys.
func (d *Daemon) liveTotals(ctx context.Context, r daisygap.DomainRecord) ([]daisygap.RefusalTotal, bool) {
	if r.Domain == d.Settings.Domain && d.IsLeaseholder() {
		return d.ServeRefusalTotals(), true
	}
	reached := false
	var all []daisygap.RefusalTotal
	for _, h := range r.Hosts {
		totals, err := d.Peers.RefusalTotals(ctx, h.PeerAddress)
		if err != nil {
			continue
		}
		reached = true
		all = append(all, totals...)
	}
	return all, reached
}

func (d *Daemon) storedTotals(ctx context.Context) ([]daisygap.RefusalTotal, error) {
	var list []daisygap.RefusalTotal
	after := ""
	for {
		batch, err := d.Store.List(ctx, totalsPrefix, after)
		if err != nil {
			return list, err
		}
		for _, e := range batch.Entries {
			list = append(list, sumStored(e)...)
			after = e.Key
		}
		if !batch.More {
			return list, nil
		}
	}
}

// sumStored sums one stored minute over its incarnations.
func sumStored(e daisygap.StoreEntry) []daisygap.RefusalTotal {
	var value totalsValue
	if json.Unmarshal(e.Value, &value) != nil {
		return nil
	}
	domain, _, _ := strings.Cut(strings.TrimPrefix(e.Key, totalsPrefix), "/")
	sums := make(map[daisygap.RefusalTotal]int64)
	for _, totals := range value {
		for _, t := range totals {
			n := t.Count
			t.Count, t.Domain = 0, domain
			sums[t] += n
		}
	}
	var list []daisygap.RefusalTotal
	for t, n := range sums {
		t.Count = n
		list = append(list, t)
	}
	return list
}
