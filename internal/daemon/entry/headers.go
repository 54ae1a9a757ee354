package entry

import (
	"net/http"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
)

// internalHeaders are set between daemons and upstreams only; they are removed from what callers send.
var internalHeaders = []string{daisygap.HeaderHop, daisygap.HeaderCaller, daisygap.HeaderReason, daisygap.HeaderRun, daisygap.HeaderReceipt, daisygap.HeaderDrain}

// forwardHeader returns the headers that are forwarded with a request.
func forwardHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+6)
	forward.CopyHeaders(out, in)
	for _, name := range internalHeaders {
		out.Del(name)
	}
	return out
}

func copyHeader(to, from http.Header) {
	forward.CopyHeaders(to, from)
	to.Del(daisygap.HeaderDrain)
}

// startLineBytes estimates the first line of a message and the headers that the transport adds.
const startLineBytes = 64

// headerBytes estimates the size of a message's head on a link.
func headerBytes(h http.Header) int {
	n := startLineBytes
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
