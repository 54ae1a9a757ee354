package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisygap/daisygap"
)

// Faults are switched on and off while the stand-in runs.
type Faults struct {
	// Down makes every call fail without an answer.
	Down bool `json:"down"`
	// Slow delays every answer.
	Slow daisygap.Millis `json:"slow"`
	// Silent leaves every call without an answer for good, also those that wait when it begins.
	Silent bool `json:"silent"`
	// DropResponses drops the answers of that many writes that took effect.
	DropResponses int `json:"lose"`
	// StaleLists answers lists and watches as if nothing had changed since the fault began.
	StaleLists bool `json:"stale"`
}

// Server offers a Memory over HTTP and JSON, within the platform's rates.
type Server struct {
	Memory *Memory
	// Reads and Writes limit the calls; nil doesn't limit.
	Reads  *rate.Limiter
	Writes *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	stale    uint64
	silenced int
	cutPeers map[string]bool
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleLists && !s.faults.StaleLists {
		s.stale = s.Memory.revisionNow()
	}
	if f.Silent && !s.faults.Silent {
		s.silenced++
	}
	s.faults = f
}

// silences counts the times at which the store fell silent.
func (s *Server) silences() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenced
}

// Partition makes calls from one entry host fail, as a network partition does.
func (s *Server) Partition(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutPeers == nil {
		s.cutPeers = make(map[string]bool)
	}
	s.cutPeers[host] = cut
}

func (m *Memory) revisionNow() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Handler returns the HTTP face of the store, as the platform speaks it.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.read(s.get))
	mux.HandleFunc("GET /kv-range", s.read(s.list))
	mux.HandleFunc("GET /kv-watch", s.read(s.watch))
	mux.HandleFunc("POST /kv-txn", s.write(s.commit))
	mux.HandleFunc("POST /kv-lease", s.write(s.grant))
	mux.HandleFunc("POST /kv-keep/{lease}", s.write(s.renew))
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", s.write(s.revoke))
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	return mux
}

type answer func(w http.ResponseWriter, r *http.Request) (any, error)

func (s *Server) read(do answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, r, s.Reads) {
			return
		}
		before := s.silences()
		result, err := do(w, r)
		if s.silences() != before {
			<-r.Context().Done()
			return
		}
		reply(w, result, err)
	}
}

func (s *Server) write(do answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, r, s.Writes) {
			return
		}
		result, err := do(w, r)
		if s.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		reply(w, result, err)
	}
}

// enter applies the faults and the rate limit, aborts the connection of a call that must not be answered, and reports whether the call goes on.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	s.mu.Lock()
	f := s.faults
	cut := s.cutPeers[r.Header.Get(daisygap.HeaderHost)]
	s.mu.Unlock()
	if f.Down || cut {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		// The end of a connection is only noticed once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	if f.Slow > 0 {
		s.sleep(r.Context(), f.Slow)
	}
	if limit != nil && !limit.Allow() {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) sleep(ctx context.Context, span daisygap.Millis) {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	<-ctx.Done()
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) get(_ http.ResponseWriter, r *http.Request) (any, error) {
	e, err := s.Memory.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && e.Revision == 0 {
		return nil, errMissing
	}
	return itemOf(e), err
}

func (s *Server) list(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	b, err := s.Memory.List(r.Context(), q.Get("prefix"), q.Get("after"))
	b = s.asOfFault(b)
	return page{Items: itemsOf(b.Entries), More: b.More, AsOf: b.Revision}, err
}

func (s *Server) watch(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil {
		return nil, err
	}
	b, err := s.Memory.Watch(r.Context(), q.Get("prefix"), after, daisygap.Millis(wait))
	b = s.asOfFault(b)
	return page{Events: itemsOf(b.Entries), AsOf: b.Revision}, err
}

// asOfFault hides the entries that changed after a stale-reads fault began.
func (s *Server) asOfFault(b daisygap.StoreBatch) daisygap.StoreBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.StaleLists {
		return b
	}
	var old []daisygap.StoreEntry
	for _, e := range b.Entries {
		if e.Revision <= s.stale {
			old = append(old, e)
		}
	}
	return daisygap.StoreBatch{Entries: old, Revision: min(b.Revision, s.stale)}
}

// commit takes transactions of one key, which is all that daisygap sends.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) (any, error) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&t); err != nil {
		return nil, err
	}
	if len(t.Expect) != 1 || len(t.Puts)+len(t.Deletes) != 1 {
		return nil, errors.New("expected one condition and one change")
	}
	var value []byte
	lease := ""
	if len(t.Puts) == 1 {
		value = t.Puts[0].Value
		if t.Puts[0].Lease != 0 {
			lease = strconv.FormatUint(t.Puts[0].Lease, 10)
		}
	}
	e, err := s.Memory.Swap(r.Context(), t.Expect[0].Key, value, t.Expect[0].Revision, lease)
	return revisionAnswer{Revision: e.Revision}, err
}

func (s *Server) grant(_ http.ResponseWriter, r *http.Request) (any, error) {
	var q leaseSpan
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, err
	}
	length, err := time.ParseDuration(q.TTL)
	if err != nil {
		return nil, err
	}
	name, err := s.Memory.Grant(r.Context(), daisygap.Millis(length/time.Millisecond))
	if err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(name, 10, 64)
	return leaseSpan{Lease: id, TTL: q.TTL}, err
}

func (s *Server) renew(_ http.ResponseWriter, r *http.Request) (any, error) {
	return struct{}{}, s.Memory.Renew(r.Context(), r.PathValue("lease"))
}

func (s *Server) revoke(_ http.ResponseWriter, r *http.Request) (any, error) {
	return struct{}{}, s.Memory.Revoke(r.Context(), r.PathValue("lease"))
}
