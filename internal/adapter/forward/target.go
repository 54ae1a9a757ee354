package forward

import (
	"net/http"
	"net/url"
	"strings"
)

// Target is the path and query of a request as its caller sent them, byte for byte. net/http decodes the path, so that a
// percent-encoded slash looks like a separator, and encodes it again in its own way.
type Target struct {
	Path  string
	Query string
	// HasQuery reports whether there is a query, which may be empty.
	HasQuery bool
}

// TargetOf returns the target of a request that a server received. The path of the forms "*" and "host:port" (RFC 9112, section 3.2)
// begins with no slash.
func TargetOf(r *http.Request) Target {
	raw := r.RequestURI
	if _, rest, absolute := strings.Cut(raw, "://"); absolute && !strings.HasPrefix(raw, "/") {
		raw = "/"
		if at := strings.IndexAny(rest, "/?"); at >= 0 {
			raw = rest[at:]
		}
		if raw[0] == '?' {
			raw = "/" + raw
		}
	}
	var t Target
	t.Path, t.Query, t.HasQuery = strings.Cut(raw, "?")
	return t
}

// String returns the target in origin form.
func (t Target) String() string {
	if t.HasQuery {
		return t.Path + "?" + t.Query
	}
	return t.Path
}

// URL returns a URL with the scheme http and the given address as host that net/http sends unchanged. It returns false if there is
// none: for a path that begins with two slashes and has characters which a URL must escape.
func (t Target) URL(address string) (*url.URL, bool) {
	u := &url.URL{Scheme: "http", Host: address, Opaque: t.Path, RawQuery: t.Query, ForceQuery: t.HasQuery}
	if strings.HasPrefix(t.Path, "//") {
		// net/http would write an opaque part with two slashes in absolute form.
		path, err := url.PathUnescape(t.Path)
		if err != nil {
			return nil, false
		}
		u.Opaque, u.Path, u.RawPath = "", path, t.Path
	}
	return u, u.RequestURI() == t.String()
}
