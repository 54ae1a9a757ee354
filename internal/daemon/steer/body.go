package steer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/placement"
)

const (
	// maxBufferedBody is the largest body of a request in bytes that is buffered; larger ones are streamed.
	maxBufferedBody = 1 << 20
	// discardTime bounds the reading of the rest of a body that isn't needed.
	discardTime = daisygap.Millis(50)
)

// readBody buffers the body so that it can be sent again, or the first part of a large one, and computes the fingerprint. It waits for
// the body no longer than until the deadline. It returns false when it refused the request.
func (e *exchange) readBody() bool {
	if e.in.ContentLength != 0 {
		limit := e.snapshot.config.Limits.BodyBytes
		if limit > 0 {
			e.in.Body = http.MaxBytesReader(e.w, e.in.Body, limit)
		}
		e.setReadDeadline(e.deadline)
		body, err := io.ReadAll(io.LimitReader(e.in.Body, maxBufferedBody+1))
		if err != nil {
			e.refuseBody(err)
			return false
		}
		e.body = body
		if len(body) > maxBufferedBody {
			e.bodyRest = restReader{e}
			// The end of the exchange ends the reading, and this only bounds it.
			e.setReadDeadline(e.deadline + discardTime)
		} else {
			e.endBody()
		}
	} else {
		e.bodyRead.Store(true)
	}
	h := xxhash.New()
	for _, field := range []string{e.in.Method, e.in.Host, e.target.String(), e.head.AffinityKey} {
		_, _ = h.WriteString(field + "\x00")
	}
	_, _ = h.Write(e.body)
	e.fingerprint = h.Sum64()
	return true
}

// endBody records that the whole body was read.
func (e *exchange) endBody() {
	e.bodyRead.Store(true)
	// net/http already waits for the next request, and takes a timeout for the end of the connection.
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Time{})
}

// restReader reads the part of a body that isn't buffered.
type restReader struct{ e *exchange }

// Read reads from the caller's connection.
func (r restReader) Read(p []byte) (int, error) {
	n, err := r.e.in.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.e.endBody()
	}
	return n, err
}

// refuseBody refuses a request whose body could not be read.
func (e *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.refuse(http.StatusRequestEntityTooLarge, daisygap.ReasonTooLarge, placement.Choice{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.refuse(http.StatusRequestTimeout, daisygap.ReasonExpired, placement.Choice{})
	default:
		e.refuse(http.StatusBadRequest, daisygap.ReasonBadRequest, placement.Choice{})
	}
}

// stopReadingWith ends the reading of a streamed body with the context, since an attempt doesn't return while its body is being read.
func (e *exchange) stopReadingWith(ctx context.Context) (stop func() bool) {
	if e.bodyRest == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() {
		e.readingStopped.Store(true)
		e.setReadDeadline(e.d.Clock.Now())
	})
}

// isReadingStopped reports whether this daemon ended the reading of a streamed body. net/http then ends the context of the request as if
// the caller had left.
func (e *exchange) isReadingStopped() bool {
	return e.bodyRest != nil && !e.bodyRead.Load() && (e.readingStopped.Load() || e.d.Clock.Now() >= e.deadline)
}

// beforeResponse must be called before a response is sent to the caller. If the body wasn't read to its end, the connection is closed after
// the response, since net/http would first wait for the rest.
func (e *exchange) beforeResponse() {
	if !e.bodyRead.Load() && e.in.ContentLength != 0 {
		e.w.Header().Set("Connection", "close")
		e.setReadDeadline(e.d.Clock.Now() + discardTime)
	}
}

// setReadDeadline bounds the reading from the caller's connection.
func (e *exchange) setReadDeadline(at daisygap.Millis) {
	// An error means that the connection is closed.
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Now().Add((at - e.d.Clock.Now()).Duration()))
}
