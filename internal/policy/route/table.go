package route

import (
	"strings"

	"github.com/daisygap/daisygap"
)

// Table holds the routes of one configuration version; it doesn't change after New.
type Table struct {
	hosts map[string]map[string]*daisygap.Route
}

// New returns the table of a list of routes; of two routes with one host and prefix the first counts.
func New(routes []daisygap.Route) *Table {
	t := &Table{hosts: make(map[string]map[string]*daisygap.Route)}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*daisygap.Route)
		}
		if _, taken := t.hosts[host][r.Prefix]; !taken {
			t.hosts[host][r.Prefix] = r
		}
	}
	return t
}

// Find returns the route with the longest prefix of a path, or nil; prefixes end at slashes.
func (t *Table) Find(host, path string) *daisygap.Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}
