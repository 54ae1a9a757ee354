package entry

import (
	"net/http"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
)

// Headers between daemons that callers may not set.
var internalHeaders = []string{daisygap.HeaderHop, daisygap.HeaderCaller, daisygap.HeaderReason, daisygap.HeaderRun, daisygap.HeaderReceipt, daisygap.HeaderDrain}

// forwardHeader copies the headers that go on to the next stage.
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

// startLineBytes is the first line of a message, with what the transport adds to the head.
const startLineBytes = 64

// headerBytes returns about how many bytes the head of a message takes on a link.
func headerBytes(h http.Header) int {
	n := startLineBytes
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
