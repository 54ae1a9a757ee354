package route

import (
	"strings"

	"github.com/daisygap/daisygap"
)

// Table holds the routes of one configuration version. It is immutable.
type Table struct {
	hosts map[string]map[string]*daisygap.Route // by lower-case host and prefix
}

// New returns a table of routes. Of several routes with the same host and prefix the first is used.
func New(routes []daisygap.Route) *Table {
	t := &Table{hosts: make(map[string]map[string]*daisygap.Route)}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*daisygap.Route)
		}
		if _, exists := t.hosts[host][r.Prefix]; !exists {
			t.hosts[host][r.Prefix] = r
		}
	}
	return t
}

// Find returns the route of a host with the longest prefix of a path, or nil if there is none. Only prefixes that end
// with a slash match. A port after the host is ignored.
func (t *Table) Find(host, path string) *daisygap.Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
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
