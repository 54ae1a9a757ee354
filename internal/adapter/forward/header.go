package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that a proxy must not forward (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies all headers but the hop-by-hop ones. The values are shared with the source. A Connection header that the message had
// before stays.
func CopyHeaders(to, from http.Header) {
	own, hasOwn := to["Connection"]
	for name, values := range from {
		to[name] = values
	}
	DropHopByHop(to)
	if hasOwn {
		to["Connection"] = own
	}
}

// DropHopByHop removes the hop-by-hop headers, including those that the Connection header names.
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
