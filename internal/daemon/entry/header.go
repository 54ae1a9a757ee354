package entry

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/daisygap/daisygap"
)

// Headers that end at each hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Headers between daemons that callers may not set.
var internalOnly = []string{daisygap.HeaderHop, daisygap.HeaderCaller, daisygap.HeaderReason, daisygap.HeaderRun, daisygap.HeaderReceipt, daisygap.HeaderDrain}

// forwardHeader copies the headers that go on to the next stage.
func forwardHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+6)
	for name, values := range in {
		out[name] = values
	}
	dropHopByHop(out)
	for _, name := range internalOnly {
		out.Del(name)
	}
	return out
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropHopByHop(to)
	to.Del(daisygap.HeaderDrain)
}

func dropHopByHop(h http.Header) {
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

// lineBytes is the first line of a message, with what the transport adds to the head.
const lineBytes = 64

// headBytes returns about how many bytes the head of a message takes on a link.
func headBytes(h http.Header) int {
	n := lineBytes
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

func cloneURL(in *http.Request, address string) *url.URL {
	u := *in.URL
	u.Scheme, u.Host = "http", address
	u.User = nil
	return &u
}
