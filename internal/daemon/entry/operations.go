package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sort"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

var (
	_ daisygap.Operations  = (*Daemon)(nil)
	_ daisygap.PeerService = (*Daemon)(nil)
)

// Status returns the daemon's view of its domain, the other domains and the upstreams.
func (d *Daemon) Status() daisygap.Status {
	d.members.mu.Lock()
	view := d.members.member.View()
	d.members.mu.Unlock()
	s := daisygap.Status{
		Host: d.Settings.Host, Domain: d.Settings.Domain, Region: d.Settings.Region,
		Version: d.Version(), Ready: d.Ready(), Leased: d.leaseValid(), IsLeaseholder: d.IsLeaseholder(),
		Stopping: d.stopping.Load(), InFlight: d.inFlightCount.Load(), View: view,
	}
	records := d.gossip.snapshot()
	c := d.config()
	for _, name := range slices.Sorted(maps.Keys(c.Domains)) {
		s.Domains = append(s.Domains, domainStatus(c, name, records[name]))
	}
	pools := *d.pools.Load()
	for _, group := range slices.Sorted(maps.Keys(pools)) {
		for _, u := range pools[group].Upstreams() {
			u.Group = group
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	return s
}

func domainStatus(c *daisygap.Configuration, name string, r daisygap.DomainRecord) daisygap.DomainStatus {
	s := daisygap.DomainStatus{
		Domain: name, Region: c.Domains[name].Region,
		Lost: r.Lost || r.Domain == "", Drained: c.DomainDrained(name), Loads: r.Groups, Offload: r.Offload,
	}
	for _, h := range r.Hosts {
		if !h.Unavailable {
			s.Hosts = append(s.Hosts, h.Name)
		}
	}
	if s.Drained {
		for group := range r.Groups {
			left := (1 - r.Offload[group]) / c.Lookup.OffloadStep * 1000
			s.DrainTimeLeft = max(s.DrainTimeLeft, daisygap.Millis(left))
		}
	}
	return s
}

// Document returns the current version as JSON with sorted names and masked signing keys.
func (d *Daemon) Document() (uint64, json.RawMessage, error) {
	snapshot := d.snapshot.Load()
	var fields map[string]any
	if err := json.Unmarshal(snapshot.Document, &fields); err != nil {
		return 0, nil, err
	}
	mask := make(map[string]string)
	for name := range snapshot.Config.Keys {
		mask[name] = "(hidden)"
	}
	fields["keys"] = mask
	document, err := json.Marshal(fields)
	return snapshot.Version, document, err
}

// History returns the patches after a version, from memory or from the store, with masked signing keys. It reports true if
// older patches are missing.
func (d *Daemon) History(ctx context.Context, since uint64) ([]daisygap.Patch, bool, error) {
	if err := d.catchUp(ctx); err != nil {
		d.Log.With("config").Debugf("history excludes the store: %v", err)
	}
	patches, tooOld := d.versions.since(since, d.Version())
	if tooOld {
		batch, err := d.Store.List(ctx, versionPrefix, versionKey(since))
		if err != nil {
			return nil, true, err
		}
		if patches, err = decodePatches(batch.Entries); err != nil {
			return nil, true, err
		}
		tooOld = len(patches) > 0 && patches[0].Version > since+1
	}
	return maskPatches(patches), tooOld, nil
}

func maskPatches(patches []daisygap.Patch) []daisygap.Patch {
	masked := slices.Clone(patches)
	for i, p := range masked {
		var m map[string]json.RawMessage
		if json.Unmarshal(p.Merge, &m) != nil || m["keys"] == nil {
			continue
		}
		m["keys"] = json.RawMessage(`"(hidden)"`)
		if merge, err := json.Marshal(m); err == nil {
			masked[i].Merge = merge
		}
	}
	return masked
}

// ServeMembers lists the domain's daemons if this daemon is the leaseholder, else it names the leaseholder.
func (d *Daemon) ServeMembers() daisygap.MemberList {
	if !d.IsLeaseholder() {
		d.members.mu.Lock()
		defer d.members.mu.Unlock()
		return daisygap.MemberList{LeaseholderAddress: d.members.leaseholderAddress}
	}
	now := d.Clock.Now()
	var list daisygap.MemberList
	for _, c := range d.aliveMembers() {
		status := daisygap.MemberStatus{
			Host: c.host.Name, Domain: d.Settings.Domain, Version: c.version, Leaving: c.host.Leaving, Age: now - c.seenAt,
		}
		if c.host.Name == d.Settings.Host {
			status.IsLeaseholder, status.Version = true, d.Version()
		}
		list.Members = append(list.Members, status)
	}
	return list
}

// Members asks every domain's leaseholder for its daemons. It returns the names of the domains that were not reached.
func (d *Daemon) Members(ctx context.Context) (list []daisygap.MemberStatus, missing []string) {
	records := d.gossip.snapshot()
	for name := range d.config().Domains {
		found, ok := d.domainMembers(ctx, name, records[name])
		if !ok {
			missing = append(missing, name)
		}
		list = append(list, found...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	sort.Strings(missing)
	return list, missing
}

func (d *Daemon) domainMembers(ctx context.Context, domain string, r daisygap.DomainRecord) ([]daisygap.MemberStatus, bool) {
	if domain == d.Settings.Domain && d.IsLeaseholder() {
		own := d.ServeMembers().Members
		return own, len(own) > 0
	}
	for _, h := range r.Hosts {
		reply, err := d.Peers.Members(ctx, h.PeerAddress)
		if err == nil && reply.Members == nil && reply.LeaseholderAddress != "" {
			reply, err = d.Peers.Members(ctx, reply.LeaseholderAddress)
		}
		if err == nil && reply.Members != nil {
			return reply.Members, true
		}
	}
	return nil, false
}

// Lookup returns the response to a look-up for an address and a kind.
func (d *Daemon) Lookup(address, kind string) (json.RawMessage, error) {
	table := d.table.Load()
	if table == nil {
		return nil, errors.New("this daemon has no configuration yet")
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return nil, &daisygap.FieldError{Field: "caller", Want: "an IP address", Got: address}
	}
	reply := table.Lookup(ip.Unmap(), kind)
	if reply == nil {
		return nil, &daisygap.FieldError{Field: "kind", Want: "a kind that some entry host may serve now", Got: kind}
	}
	return reply.Body, nil
}

// Table returns the current look-up table, or nil before the first configuration.
func (d *Daemon) Table() *routing.Table {
	return d.table.Load()
}

// RefuseLookup refuses a look-up.
func (d *Daemon) RefuseLookup(w http.ResponseWriter, reason daisygap.Reason, text string) {
	d.refuse(w, d.refusal(&daisygap.Request{}, reason, daisygap.NotRun, daisygap.RefusalMetrics{}), text)
}
