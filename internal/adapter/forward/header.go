package forward

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// Headers that end at each hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders adds the headers that go on to the next stage.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	DropHopByHop(to)
}

// DropHopByHop removes the headers that concern one connection.
func DropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// URL returns where a request goes at an address.
func URL(in *http.Request, address string) *url.URL {
	u := *in.URL
	u.Scheme, u.Host = "http", address
	u.User = nil
	return &u
}
