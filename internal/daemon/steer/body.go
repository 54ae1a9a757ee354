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
	// minBodyBuffer is the size in bytes of the first buffer for a body. It grows with what arrives.
	minBodyBuffer = 4 << 10
	// maxBufferedBody is the largest body of a request in bytes that is buffered; larger ones are streamed.
	maxBufferedBody = 1 << 20
	// minStreamedBody is the number of bytes of a larger body that are buffered before the rest is streamed.
	minStreamedBody = 64 << 10
	// memoryRetryAfter is the Retry-After for a request for whose body there is no memory. Bodies leave within the time of a request.
	memoryRetryAfter = daisygap.Millis(500)
	// responseGrace is how long after a request's deadline its caller may still read the response.
	responseGrace = daisygap.Millis(2_000)
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
		whole, err := e.bufferBody()
		if err != nil {
			e.refuseBody(err)
			return false
		}
		if !whole {
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

// errMemoryFull is returned when the budget has no room for a body.
var errMemoryFull = errors.New("no memory for the body")

// bufferBody reads the body up to maxBufferedBody bytes, and reports whether that is all of it. If the budget allows no more, it reads
// less of a body of which a useful part is buffered, so that the rest is streamed.
func (e *exchange) bufferBody() (whole bool, err error) {
	for {
		if len(e.body) == cap(e.body) {
			if len(e.body) >= maxBufferedBody {
				return false, nil
			}
			if !e.growBody() {
				if len(e.body) >= minStreamedBody {
					return false, nil
				}
				return false, errMemoryFull
			}
		}
		n, err := e.in.Body.Read(e.body[len(e.body):cap(e.body)])
		e.body = e.body[:len(e.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// growBody doubles the buffer of the body, or allocates the first one. It returns false if the budget has no room for it.
func (e *exchange) growBody() bool {
	size := max(minBodyBuffer, 2*cap(e.body))
	if n := e.in.ContentLength; n > 0 {
		// One more byte lets the reader find the end of the body.
		size = min(size, int(min(n, maxBufferedBody))+1)
	}
	size = min(size, maxBufferedBody)
	if !e.takeBodyBytes(int64(size - cap(e.body))) {
		return false
	}
	e.body = append(make([]byte, 0, size), e.body...)
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
	} else if err != nil {
		var tooLarge *http.MaxBytesError
		r.e.bodyTooLarge.Store(errors.As(err, &tooLarge))
		r.e.bodyFailed.Store(true)
	}
	return n, err
}

// refuseBody refuses a request whose body could not be read.
func (e *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemoryFull):
		e.refuse(http.StatusServiceUnavailable, daisygap.ReasonMemoryFull, placement.Choice{RetryAfter: memoryRetryAfter})
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
	// A caller that doesn't read must not hold the response forever.
	until := max(e.deadline, e.d.Clock.Now()) + responseGrace
	_ = http.NewResponseController(e.w).SetWriteDeadline(time.Now().Add((until - e.d.Clock.Now()).Duration()))
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
