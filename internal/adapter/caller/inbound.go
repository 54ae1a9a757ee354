package caller

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/forward"
)

const (
	// MaxBody is the largest request body in bytes.
	MaxBody = 64 << 20
	// MaxBodyPrefix is the part of a body that is read before a slot is acquired, so that a caller that sends a small
	// request slowly doesn't hold a slot meanwhile.
	MaxBodyPrefix = 64 << 10
	maxIDLength   = 64
	maxKeyLength  = 256
)

// Inbound is a received request with the properties that admission and routing are based on.
type Inbound struct {
	Request *daisygap.Request
	Kind    daisygap.Kind
	Address netip.Addr
	// Origin is the region of the daemon that forwarded the request, or "" if it came from a caller.
	Origin string
	// Retried is set if the caller marked the request as a further attempt.
	Retried bool
	// BodyPrefix is the start of the body, and all of it if BodyComplete is set.
	BodyPrefix   []byte
	BodyComplete bool
	HTTP         *http.Request
}

// Problem is the reason why a request is rejected before admission, with a text for the caller.
type Problem struct {
	Reason daisygap.Reason
	Text   string
}

// Reader turns HTTP requests into Inbounds. Its fields must be set before the first use.
type Reader struct {
	Clock          *daisygap.Clock
	TrustedProxies []netip.Prefix
}

// Read determines the kind, caller and deadline of a request. The hop argument is set if another daemon forwarded the request. The
// Inbound is never nil, but incomplete if there is a Problem. ReadBody must follow.
func (d *Reader) Read(c *daisygap.Configuration, r *http.Request, hop bool) (*Inbound, *Problem) {
	in := &Inbound{HTTP: r, Address: remoteAddress(r)}
	in.Request = &daisygap.Request{ID: r.Header.Get(daisygap.HeaderID)}
	if in.Request.ID == "" {
		in.Request.ID = uuid.NewString()
	}
	if len(in.Request.ID) > maxIDLength || len(r.Header.Get(daisygap.HeaderKey)) > maxKeyLength {
		in.Request.ID = in.Request.ID[:min(len(in.Request.ID), maxIDLength)]
		return in, &Problem{daisygap.ReasonBadRequest, "request ID longer than 64 bytes or idempotency key longer than 256 bytes"}
	}
	if _, unchanged := forward.TargetOf(r).URL(""); !unchanged {
		return in, &Problem{daisygap.ReasonBadRequest, "the path can't be forwarded unchanged"}
	}
	name, kind, ok := MatchKind(c, r)
	if !ok {
		return in, &Problem{daisygap.ReasonUnknownKind, "no kind of request matches the host, method and path"}
	}
	in.Kind = kind
	in.Request.Kind, in.Request.Rank, in.Request.Idempotent = name, kind.Rank, kind.Idempotent
	in.Request.Key = r.Header.Get(daisygap.HeaderKey)
	if attempt, err := strconv.Atoi(r.Header.Get(daisygap.HeaderAttempt)); err == nil && attempt > 1 {
		in.Retried = true
	}
	remaining, problem := timeLeft(r, kind)
	if problem != nil {
		return in, problem
	}
	in.Request.Deadline = d.Clock.Now() + remaining
	d.setCaller(in, r, hop)
	return in, nil
}

// setCaller sets the caller and its address, and the origin of a forwarded request. Only trusted proxies and other daemons
// may name the caller in a header.
func (d *Reader) setCaller(in *Inbound, r *http.Request, hop bool) {
	in.Request.Caller = in.Address.String()
	if !hop && !d.trusted(in.Address) {
		return
	}
	if name := r.Header.Get(daisygap.HeaderCaller); name != "" {
		in.Request.Caller = name[:min(len(name), maxIDLength)]
		if address, err := netip.ParseAddr(name); err == nil {
			in.Address = address.Unmap()
		}
	}
	if hop {
		in.Request.Hop = 1
		in.Origin = r.Header.Get(daisygap.HeaderHop)
	}
}

func (d *Reader) trusted(address netip.Addr) bool {
	for _, p := range d.TrustedProxies {
		if p.Contains(address) {
			return true
		}
	}
	return false
}

// ReadBody reads the start of the body and computes the fingerprint. The caller bounds the time for it.
func (in *Inbound) ReadBody() *Problem {
	r := in.HTTP
	if r.ContentLength > MaxBody {
		return &Problem{daisygap.ReasonTooLarge, "request body larger than 64 MiB"}
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		in.BodyComplete = true
		in.Request.Fingerprint = fingerprint(r, nil)
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyPrefix+1))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &Problem{daisygap.ReasonTooLarge, "request body larger than 64 MiB"}
		}
		return &Problem{daisygap.ReasonBadRequest, "reading the request body: " + err.Error()}
	}
	in.BodyPrefix = prefix
	in.BodyComplete = len(prefix) <= MaxBodyPrefix
	in.Request.Fingerprint = fingerprint(r, prefix)
	return nil
}

// Body returns a reader of the whole body and its length in bytes, or -1 if the length is unknown.
func (in *Inbound) Body() (io.Reader, int64) {
	if in.BodyComplete {
		return bytes.NewReader(in.BodyPrefix), int64(len(in.BodyPrefix))
	}
	return io.MultiReader(bytes.NewReader(in.BodyPrefix), in.HTTP.Body), in.HTTP.ContentLength
}

// MatchKind returns the name and the kind of the most specific match for a request. A longer path prefix goes before a
// shorter one, then a match by host before one by method, and then the first name in alphabetical order. The last result
// reports whether any kind matches.
func MatchKind(c *daisygap.Configuration, r *http.Request) (string, daisygap.Kind, bool) {
	bestName, bestKind, bestSpecificity := "", daisygap.Kind{}, -1
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	path := forward.TargetOf(r).Path
	for name, kind := range c.Kinds {
		for _, m := range kind.Match {
			if !matches(m, host, path, r.Method) {
				continue
			}
			specificity := 4*len(m.Path) + 2*min(len(m.Host), 1) + min(len(m.Method), 1)
			if specificity > bestSpecificity || (specificity == bestSpecificity && name < bestName) {
				bestName, bestKind, bestSpecificity = name, kind, specificity
			}
		}
	}
	return bestName, bestKind, bestSpecificity >= 0
}

func matches(m daisygap.Match, host, path, method string) bool {
	if m.Host != "" && !strings.EqualFold(m.Host, host) {
		return false
	}
	if m.Method != "" && m.Method != method {
		return false
	}
	return strings.HasPrefix(path, m.Path)
}

// timeLeft returns the time until a request's deadline. This is the caller's value, limited to the kind's longest deadline,
// or the kind's target latency if the caller sent none.
func timeLeft(r *http.Request, k daisygap.Kind) (daisygap.Millis, *Problem) {
	text := r.Header.Get(daisygap.HeaderDeadline)
	if text == "" {
		return k.TargetLatency, nil
	}
	remaining, err := strconv.ParseInt(text, 10, 32)
	if err != nil || remaining < 0 {
		return 0, &Problem{daisygap.ReasonBadRequest, daisygap.HeaderDeadline + " must be a non-negative number of milliseconds"}
	}
	return min(daisygap.Millis(remaining), k.MaxDeadline), nil
}

// fingerprint hashes the method, the URL and the start of the body, so that further attempts of a request have the same
// fingerprint. Requests that differ only after the first 64 KiB of their bodies share one.
func fingerprint(r *http.Request, bodyPrefix []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString("\x00" + forward.TargetOf(r).String() + "\x00")
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(bodyPrefix)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(bodyPrefix)
	return h.Sum64()
}

func remoteAddress(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return ap.Addr().Unmap()
}
