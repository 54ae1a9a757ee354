package caller

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/routing"
)

// LookupPath is the URL path at which callers look up entry hosts.
const LookupPath = "/v1/lookup"

// Lookup is an HTTP handler that serves look-ups from the current routing table.
type Lookup struct {
	// Table returns the current table, or nil before the first configuration.
	Table func() *routing.Table
	// Refuse writes the response to a refused look-up.
	Refuse func(w http.ResponseWriter, reason daisygap.Reason, text string)
}

// ServeHTTP serves GET /v1/lookup?kind=K with the entry hosts for the address block of the caller, or of ADDRESS if the
// query has caller=ADDRESS.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		l.Refuse(w, daisygap.ReasonBadRequest, "look-ups must use GET or HEAD")
		return
	}
	table := l.Table()
	if table == nil {
		l.Refuse(w, daisygap.ReasonNoConfiguration, "this daemon has no configuration yet")
		return
	}
	kind, requested, ok := parseQuery(r.URL.RawQuery)
	if !ok {
		l.Refuse(w, daisygap.ReasonBadRequest, "expected kind=K and optionally caller=ADDRESS")
		return
	}
	address := requested
	if !address.IsValid() {
		address = remoteAddress(r)
	}
	response := table.Lookup(address, kind)
	if response == nil {
		if !table.HasKind(kind) {
			l.Refuse(w, daisygap.ReasonUnknownKind, "the configuration has no kind "+strconv.Quote(kind))
			return
		}
		l.Refuse(w, daisygap.ReasonNoCapacity, "no entry host is available for this kind")
		return
	}
	h := w.Header()
	h["Content-Type"] = jsonContentType
	h["Cache-Control"] = response.CacheHeader
	h["Content-Length"] = response.LengthHeader
	_, _ = w.Write(response.Body)
}

var jsonContentType = []string{"application/json"}

// parseQuery parses the parameters kind and caller. Unlike url.ParseQuery, it allocates no map. It reports false if the kind
// is missing or the address invalid.
func parseQuery(query string) (kind string, address netip.Addr, ok bool) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "kind":
			kind = value
		case "caller":
			a, err := netip.ParseAddr(value)
			if err != nil {
				return "", netip.Addr{}, false
			}
			address = a.Unmap()
		}
	}
	return kind, address, kind != ""
}
